"""Run one emulated service (runner, worker or log) as a process.

`harness` starts these processes for a deployment.
"""

import typing

import defopt
from twisted.internet import reactor as default_reactor

from kcr_emulator import log as log_emulator
from kcr_emulator import noise as task_noise
from kcr_emulator import runner as runner_emulator
from kcr_emulator import worker as worker_emulator
from kcr_emulator import worker_state


def runner(
    *,
    port: int,
    slots: int = 8,
    service_ms: float = 5.0,
    seed: int = 1,
    worker: str = '',
    noise: typing.Sequence[str] = (),
    noise_lag_s: float = 0.5,
) -> None:
    """Serve an emulated runner.

    :param port: port on the loopback address
    :param slots: number of calls served at the same time
    :param service_ms: mean service time in milliseconds
    :param seed: seed of the service times
    :param worker: host:port of the worker whose tasks slow down the service
    :param noise: kind=share by which one core of a kind slows a loaded service
    :param noise_lag_s: delay until a change of tasks has effect, in seconds
    """
    reactor: typing.Any = default_reactor
    emulator = runner_emulator.RunnerEmulator(reactor, slots, service_ms, seed)
    if worker:
        effects = task_noise.infer_effects(noise)
        emulator.noise = task_noise.Noise(effects, noise_lag_s)
        emulator.noise.poll(reactor, worker)
    reactor.listenTCP(port, emulator.site(), interface='127.0.0.1')
    reactor.run()


def log(
    *,
    port: int,
    appends_per_s: int = 300,
    retention_s: float = 3600.0,
    seed: int = 1,
) -> None:
    """Serve an emulated log.

    :param port: port on the loopback address
    :param appends_per_s: appends accepted in any second
    :param retention_s: age in seconds at which records are dropped
    :param seed: seed of the choice of dropped answers
    """
    reactor: typing.Any = default_reactor
    emulator = log_emulator.LogEmulator(
        reactor, appends_per_s, retention_s, seed
    )
    reactor.listenTCP(port, emulator.site(), interface='127.0.0.1')
    reactor.run()


def worker(
    *,
    port: int,
    processors: float = 16.0,
    memory_mb: float = 60_000.0,
    accelerators: int = 0,
    min_factor: float = 0.5,
    max_factor: float = 2.0,
    lag_s: float = 1.0,
    seed: int = 1,
) -> None:
    """Serve an emulated worker of the platform.

    :param port: port on the loopback address
    :param processors: cores of the instance
    :param memory_mb: MiB of memory of the instance
    :param accelerators: accelerators of the instance
    :param min_factor: smallest factor of real over declared size and run time
    :param max_factor: largest factor of real over declared size and run time
    :param lag_s: delay of the reported use in seconds
    :param seed: seed of failures and dropped answers
    """
    reactor: typing.Any = default_reactor
    span = (min_factor, max_factor)
    machine = worker_state.Machine(
        {
            'processors': processors,
            'memory_mb': memory_mb,
            'accelerators': accelerators,
        },
        worker_state.Factors(span, span),
        lag_s,
        seed,
    )
    emulator = worker_emulator.WorkerEmulator(reactor, machine, seed)
    reactor.listenTCP(port, emulator.site(), interface='127.0.0.1')
    reactor.run()


def main() -> None:
    """Run the command line."""
    commands: list[typing.Any] = [runner, worker, log]
    defopt.run(commands)


if __name__ == '__main__':
    main()
