"""Keep a whole deployment running on loopback, to try the command line.

`make local` runs it until it is interrupted.
"""

import signal
import time
import types

import defopt

from kcr_emulator import documents
from kcr_emulator import harness

# Interval between two scans of the processes, in seconds.
SCAN_INTERVAL_S = 0.5


class Interrupted(Exception):
    """Request the stop of the deployment; raised by a signal handler."""


def interrupt(signum: int, frame: types.FrameType | None) -> None:
    """Raise `Interrupted`, so that the `with` block stops the processes."""
    raise Interrupted(signal.Signals(signum).name)


def run(*, entries: int = 2, instances: int = 3, seed: int = 1) -> None:
    """Start a deployment and keep it until SIGINT or SIGTERM.

    :param entries: number of entries
    :param instances: number of instances with runner, worker and sidecar
    :param seed: seed of the emulated sizes and times
    """
    for signum in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signum, interrupt)
    shape = harness.Shape(entries=entries, instances=instances, seed=seed)
    try:
        with harness.Deployment(shape) as deployment:
            deployment.start()
            path = deployment.folder / 'document.yaml'
            path.write_text(documents.make_document(shape))
            print(f'export KCR_ENTRIES={deployment.addresses()}')
            print(f'document: {path}', flush=True)
            report_exits(deployment)
    except Interrupted as exc:
        print(f'stopped by {exc}')


def report_exits(deployment: harness.Deployment) -> None:
    """Print each process that has exited, until interrupted."""
    ended: set[str] = set()
    while True:
        for name, process in deployment.processes.items():
            if not process.is_running() and name not in ended:
                ended.add(name)
                print(
                    f'{name} has exited; its log is {process.log_path}',
                    flush=True,
                )
        time.sleep(SCAN_INTERVAL_S)


def main() -> None:
    """Run the command line."""
    defopt.run(run)


if __name__ == '__main__':
    main()
