"""Shut the sidecar down gracefully.

The process posts `Drain` on a stop signal, and the task control posts it when
the incarnation is fenced. The admission task then finishes the running
requests and refuses the others, and the task control checkpoints and stops the
tasks. The process ends when both have drained, at the latest after `drain_s`.
"""

import typing

from kcr_core import types
from kcr_runtime import process
from kcr_runtime import task
from kcr_sidecar import addresses
from kcr_sidecar import events

# Addresses of the tasks that must drain before the process ends.
PARTS = (addresses.ADMISSION, addresses.TASK_CONTROL)


class Drain:
    """Request a graceful shutdown."""


class _DrainTimeout:
    pass


class Shutdown(task.Task):
    """Own the progress and the timeout of a graceful shutdown."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        # Settings of the document in force.
        self.settings = types.ControlSettings()
        self._draining = False
        self._undrained = set(PARTS)

    def dump(self) -> dict[str, typing.Any]:
        """Return the parts that have not drained."""
        return {
            **super().dump(),
            'draining': self._draining,
            'left': sorted(self._undrained),
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
        self.after(self.settings.drain_s, _DrainTimeout())

    @task.handles(events.PartDrained)
    def _on_part_drained(self, msg: events.PartDrained) -> None:
        if msg.part not in self._undrained:
            return
        self._undrained.discard(msg.part)
        if not self._undrained:
            self.send(process.PROCESS_ADDRESS, process.Drained())

    @task.handles(_DrainTimeout)
    def _on_drain_timeout(self, msg: _DrainTimeout) -> None:
        self.log.warning(
            'drain timed out, stopping', left=sorted(self._undrained)
        )
        self.send(process.PROCESS_ADDRESS, process.Drained())
