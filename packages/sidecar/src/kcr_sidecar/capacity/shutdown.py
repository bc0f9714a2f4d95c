"""Drain the sidecar: requests finish, tasks are checkpointed and stopped."""

import typing

from kcr_core import types
from kcr_runtime import process
from kcr_runtime import task
from kcr_sidecar import addresses
from kcr_sidecar import events

# Tasks that must be idle before the process ends.
PARTS = (addresses.ADMISSION, addresses.TASK_CONTROL)


class Drain:
    """Ask for a graceful shutdown."""


class _Limit:
    pass


class Shutdown(task.Task):
    """Own the order and the bound of a graceful shutdown."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        # Settings of the document in force.
        self.settings = types.ControlSettings()
        self._draining = False
        self._left = set(PARTS)

    def dump(self) -> dict[str, typing.Any]:
        """Return the parts that are not idle yet."""
        return {
            **super().dump(),
            'draining': self._draining,
            'left': sorted(self._left),
        }

    @task.handles(events.SettingsInForce)
    def _on_settings(self, msg: events.SettingsInForce) -> None:
        self.settings = msg.settings

    @task.handles(Drain)
    def _on_drain(self, msg: Drain) -> None:
        if self._draining:
            return
        self._draining = True
        self.log.info('draining')
        for part in PARTS:
            self.send(part, events.BeginDrain())
        self.after(self.settings.drain_s, _Limit())

    @task.handles(events.PartDrained)
    def _on_part_drained(self, msg: events.PartDrained) -> None:
        if msg.part not in self._left:
            return
        self._left.discard(msg.part)
        if not self._left:
            self.send(process.PROCESS_ADDRESS, process.Drained())

    @task.handles(_Limit)
    def _on_limit(self, msg: _Limit) -> None:
        self.log.warning('drain limit reached', left=sorted(self._left))
        self.send(process.PROCESS_ADDRESS, process.Drained())
