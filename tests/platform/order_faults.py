"""Define the faults of orders, channels and cancels, drawn by their weights.

The soak draws them with choices of their own, so that those of faults.py stay
the same for a seed.
"""

from collections import abc
import dataclasses
import random
import signal
import time

import deployment as deployments
import faults
import platform_fakes

from kcr_core import registry

# Times for which a runner refuses orders as busy, in seconds.
BUSY_S = (0.5, 3.0)
# Ends that are added to a list, several times the limit of one list.
FILLED_ENDS = (600, 1500)
# Time from the start of an incarnation to its first heartbeat, in seconds.
BEAT_INTERVAL_S = (0.5, 1.5)
# Delays of the lists of a runner that has just restarted, in seconds; short
# tasks end while the longest ones are on their way.
LIST_DELAYS_S = (0.0, 0.4, 0.9, 0.9)
# Number of times that connections fall silent in a row, and the pause after
# each, in seconds; four missed pulses make an owner count as failed.
SILENT_TIMES = (2, 4)
SILENT_PAUSE_S = (0.1, 1.3)
# Longest wait for a caller that waits for the answer to a cancel, in seconds.
CANCEL_WAIT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Weighted:
    """Store a fault and how often it is drawn."""

    weight: float
    inject: faults.Fault


FAULTS: registry.Registry[Weighted] = registry.Registry('weighted fault')
# Faults that are played alone (`only` of fault_soak.py) and never drawn, so
# that the draws of older seeds stay the same.
ALONE: registry.Registry[faults.Fault] = registry.Registry('fault alone')


def _register(
    name: str, weight: float
) -> abc.Callable[[faults.Fault], faults.Fault]:
    def decorate(inject: faults.Fault) -> faults.Fault:
        FAULTS.register(name)(Weighted(weight, inject))
        return inject

    return decorate


def draw(rng: random.Random) -> str:
    """Return the name of a fault."""
    names = FAULTS.names()
    return rng.choices(names, [FAULTS.get(n).weight for n in names])[0]


def find(name: str) -> faults.Fault:
    """Return a fault by its name."""
    if name in ALONE.names():
        return ALONE.get(name)
    return FAULTS.get(name).inject


def _choose_runners(
    deployment: deployments.Deployment, rng: random.Random
) -> list[platform_fakes.Runner]:
    names = rng.sample(sorted(deployment.runners), k=rng.choice((1, 1, 2)))
    return [deployment.runners[name] for name in names]


def _do_nothing() -> None:
    pass


@_register('refused_repeats', 3.0)
def refuse_repeats(
    deployment: deployments.Deployment, rng: random.Random
) -> faults.Heal:
    """Carry out a start or a stop late; refuse its repeats as busy."""
    chosen = _choose_runners(deployment, rng)
    for runner in chosen:
        delays = rng.uniform(*platform_fakes.LATE_DELAY_S)
        kinds = rng.choice(('start', 'stop', 'start stop'))
        runner.late_start_s = delays if 'start' in kinds else 0.0
        runner.late_stop_s = delays if 'stop' in kinds else 0.0
        runner.busy_until = time.monotonic() + rng.uniform(*BUSY_S)

    def heal() -> None:
        for runner in chosen:
            runner.late_start_s = runner.late_stop_s = runner.busy_until = 0.0

    return heal


@_register('unanswered_orders', 3.0)
def leave_unanswered(
    deployment: deployments.Deployment, rng: random.Random
) -> faults.Heal:
    """Leave starts and stops unanswered; carry out some of them."""
    chosen = _choose_runners(deployment, rng)
    for runner in chosen:
        runner.unanswered_share = rng.choice((0.0, 0.3, 0.6))
        runner.dropped_share = rng.choice((0.1, 0.3))

    def heal() -> None:
        for runner in chosen:
            runner.unanswered_share = runner.dropped_share = 0.0

    return heal


@_register('restart_at_once', 4.0)
def restart_at_once(
    deployment: deployments.Deployment, rng: random.Random
) -> faults.Heal:
    """Restart a runner under its id, while late orders are on their way."""
    name = rng.choice(sorted(deployment.runners))
    runner = deployment.runners[name]
    link = deployment.links[f'runner of {name}']
    runner.keeps_late_orders = True
    runner.late_share = 0.4
    link.set_faults(delay_s=rng.choice((0.0, 0.0, 0.1, 0.5)))
    runner.list_delay_s = rng.choice(LIST_DELAYS_S)
    time.sleep(rng.uniform(0.2, 0.6))
    runner.late_share = 0.0
    # Its agent learns of the restart from the next heartbeat or list.
    runner.beats_from = time.monotonic() + rng.uniform(*BEAT_INTERVAL_S)
    runner.start_incarnation()

    def heal() -> None:
        runner.list_delay_s = 0.0
        link.set_faults()

    return heal


@_register('full_lists', 1.5)
def fill_lists(
    deployment: deployments.Deployment, rng: random.Random
) -> faults.Heal:
    """Fill the lists of ended runs beyond their limit."""
    for runner in _choose_runners(deployment, rng):
        runner.fill_ends(rng.randint(*FILLED_ENDS))
    return _do_nothing


@_register('silent_channels', 2.0)
def silence_channels(
    deployment: deployments.Deployment, rng: random.Random
) -> faults.Heal:
    """Let open connections to runners and schedulers carry no more bytes."""
    names = [n for n in sorted(deployment.links) if 'store' not in n]
    links = [
        deployment.links[name]
        for name in rng.sample(names, k=rng.randint(2, len(names)))
    ]
    for link in links:
        link.silence()

    def heal() -> None:
        for link in links:
            link.reset()

    return heal


@ALONE.register('silent_series')
def silence_in_series(
    deployment: deployments.Deployment, rng: random.Random
) -> faults.Heal:
    """Let connections fall silent for good in a row; replace the owner.

    No connection is reset afterwards, so only timeouts end them.
    """
    names = [n for n in sorted(deployment.links) if 'store' not in n]
    for _ in range(rng.randint(*SILENT_TIMES)):
        for name in rng.sample(names, k=rng.randint(1, len(names))):
            deployment.links[name].silence()
        time.sleep(rng.uniform(*SILENT_PAUSE_S))
    if rng.random() < 0.5:
        return _do_nothing
    process = deployment.processes[deployment.find_owner()]
    process.send_signal(signal.SIGSTOP)
    return lambda: process.send_signal(signal.SIGCONT)


@_register('held_submissions', 3.0)
def hold_submissions(
    deployment: deployments.Deployment, rng: random.Random
) -> faults.Heal:
    """Suspend a scheduler that callers submit to; they cancel elsewhere."""
    owner = deployment.find_owner()
    running = [n for n in deployment.list_running() if n.startswith('s')]
    others = [n for n in running if n != owner]
    if deployment.held or not others:
        return _do_nothing
    name = rng.choice(others)
    process = deployment.processes[name]
    process.send_signal(signal.SIGSTOP)
    deployment.held = name

    def heal() -> None:
        deployment.held = ''
        process.send_signal(signal.SIGCONT)

    return heal


@_register('owner_lost_in_cancel', 2.0)
def lose_owner_in_cancel(
    deployment: deployments.Deployment, rng: random.Random
) -> faults.Heal:
    """Kill or suspend the owner while a caller waits for a cancel."""
    until = time.monotonic() + CANCEL_WAIT_S
    while not deployment.cancelling and time.monotonic() < until:
        time.sleep(0.002)
    name = deployment.find_owner()
    process = deployment.processes[name]
    if rng.random() < 0.5:
        process.send_signal(signal.SIGKILL)
        return lambda: deployment.restart_stopped({name: process})
    process.send_signal(signal.SIGSTOP)
    return lambda: process.send_signal(signal.SIGCONT)


@_register('no_owner', 3.0)
def lose_every_owner(
    deployment: deployments.Deployment, rng: random.Random
) -> faults.Heal:
    """Kill the owner while the store is down, so that no other can claim."""
    deployment.store.down = True
    name = deployment.find_owner()
    process = deployment.processes[name]
    process.send_signal(signal.SIGKILL)
    # The other schedulers notice it after a second at most.
    time.sleep(rng.uniform(0.5, 1.0))
    deployment.ownerless = True

    def heal() -> None:
        deployment.ownerless = False
        deployment.store.down = False
        deployment.restart_stopped({name: process})

    return heal
