"""Start the stand-ins and the programs of a case, play it and report."""

import asyncio
import os
import pathlib
import signal
import sys

import stand_deployment as deployment
import stand_platform as platform

# Whether the case brings its disruption.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


class CannotRun(Exception):
    """Report that a case could not run, with the reason."""


def read_site(folder):
    """Return the site that the claim of a case names."""
    lines = (folder / 'claim.txt').read_text().splitlines()
    return lines[1].partition(': ')[2]


class Case:
    """What a case has: record, store, programs and runners."""

    def __init__(self, folder):
        self.record = deployment.Record(folder / 'record.txt')
        self.store = platform.Store(self.record)
        # Name of the site whose settings the programs get.
        self.site = read_site(folder)
        self.deploy = None
        self.runners = []
        self.closing = []

    async def start(self, config, schedulers=2, advice=''):
        """Start the store with a configuration, and the schedulers."""
        await self.store.start()
        self.store.put('keyed.op', 'config', config)
        self.deploy = deployment.Deployment(
            self.record, self.store.server.address, self.site, schedulers,
            advice,
        )
        self.deploy.start_schedulers()

    async def add_runner(self, made, channel=False):
        """Start a runner with its agent; return the channel between them."""
        made.max_hold_ms = deployment.MAX_HOLD_MS[self.site]
        await made.start()
        self.runners.append(made)
        address, way = made.server.address, None
        if channel:
            way = await platform.Channel(address).start()
            self.closing.append(way)
            address = way.address
        name = made.name.replace('i-', 'side-')
        control = self.deploy.start_agent(name, address, made.service)
        made.start_beats(control)
        return way

    async def wait_ready(self):
        """Wait until every program serves; else the case can't run."""
        if not await self.deploy.wait_ready(self.runners):
            raise CannotRun('the programs are not ready')
        self.record.write('case', 'the programs are ready')

    def close(self):
        """End everything that was started."""
        if self.deploy is not None:
            self.deploy.close(keep=os.environ.get('KEEP') or None)
        for item in [*self.runners, *self.closing]:
            item.close()
        self.store.server.close()


async def _run(folder, rule, play):
    # A case that is ended from outside ends its processes as well.
    this, loop = asyncio.current_task(), asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, this.cancel)
    case = Case(folder)
    found, reason = None, ''
    try:
        found = await play(case)
    except CannotRun as exc:
        reason = str(exc)
    finally:
        case.close()
        result = f'{rule} held'
        if found is None:
            result = f'the case could not run: {reason or "an error"}'
        elif found:
            result = f'{rule} was broken: {len(found)} times'
        case.record.write('result', result)
        for line in (found or [])[:20]:
            case.record.write('result', line)
        case.record.close()
        print(result)
    return 2 if found is None else int(bool(found))


def main(folder, rule, play):
    """Play a case; exit with 1 if its rule was broken, 2 if it can't run."""
    try:
        status = asyncio.run(
            asyncio.wait_for(_run(pathlib.Path(folder), rule, play), 115.0)
        )
    except (Exception, asyncio.CancelledError) as exc:
        # The case has no result then.
        print(f'{type(exc).__name__}: {exc}')
        status = 2
    sys.exit(status)
