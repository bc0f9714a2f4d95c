"""Decide which assignments and stops go to each connected home, and when."""

import collections
import dataclasses

from kcr_core import ledger
from kcr_core import messages

# Messages that a session is given in one tick; a connection holds 256.
TICK_MESSAGES = 64
# Stops that are remembered for a sidecar that connects again, and instances
# for which they are; a start of what was dropped is answered with a stop.
STOPS_LIMIT = 64
STOPPED_LIMIT = 10_000

Order = messages.Assign | messages.StopTask


@dataclasses.dataclass(slots=True)
class Line:
    """Hold what one connected sidecar still has to be told."""

    # Session that leads to the sidecar.
    session: str
    # Incarnation of the sidecar.
    incarnation: str
    # Keys to assign, urgent ones first.
    assign: collections.OrderedDict[str, None]
    # Epochs to stop by key.
    stop: dict[str, int]


class Dispatcher:
    """Hold one line for each connected sidecar."""

    def __init__(self, state: ledger.Ledger) -> None:
        # The ledger of the region.
        self.state = state
        # Lines by instance.
        self.lines: dict[str, Line] = {}
        # Epochs to stop by instance and key, oldest first. A sidecar that was
        # away may still hold an assignment that it has not started.
        self._stops: dict[str, dict[str, int]] = {}

    def connect(
        self,
        instance: str,
        incarnation: str,
        session: str,
        running: frozenset[tuple[str, int]],
    ) -> None:
        """Begin a new session: tell it all tasks of its home again."""
        line = Line(session, incarnation, collections.OrderedDict(), {})
        self.lines[instance] = line
        for key in self.state.at.get(instance, {}):
            self._assign(line, key)
        line.stop.update(self._stops.get(instance, {}))
        for key, epoch in running:
            if self._is_over(key, epoch):
                line.stop[key] = epoch

    def disconnect(self, instance: str, session: str) -> None:
        """Drop the line of a session that has ended."""
        line = self.lines.get(instance)
        if line is not None and line.session == session:
            del self.lines[instance]

    def follow(self, change: ledger.Change) -> None:
        """Note a change of the ledger."""
        before = change.before
        over = change.effect in ('moved', 'cancelled')
        task = self.state.live.get(change.key)
        home = task.home if task is not None else None
        # The same instance starts a later epoch only if none runs.
        if over and before is not None:
            if home is None or home.instance != before.instance:
                self._stop(before.instance, change.key, change.epoch)
        if task is None or task.home is None:
            return
        line = self.lines.get(task.home.instance)
        if line is not None and change.effect != 'restated':
            self._assign(line, change.key)

    def _stop(self, instance: str, key: str, epoch: int) -> None:
        held = self._stops.setdefault(instance, {})
        held[key] = epoch
        if len(held) > STOPS_LIMIT:
            del held[next(iter(held))]
        if len(self._stops) > STOPPED_LIMIT:
            del self._stops[next(iter(self._stops))]
        line = self.lines.get(instance)
        if line is not None:
            line.stop[key] = epoch

    def again(self, session: str, order: Order) -> None:
        """Queue an order again that the session did not take."""
        for line in self.lines.values():
            if line.session != session:
                continue
            if isinstance(order, messages.Assign):
                self._assign(line, order.spec.key)
            else:
                line.stop[order.task] = order.epoch

    def repeat(self, key: str) -> None:
        """Queue the assignment of a live task again."""
        task = self.state.live[key]
        line = self.lines.get(task.home.instance) if task.home else None
        if line is not None:
            self._assign(line, key)

    def take(self) -> list[tuple[str, Order]]:
        """Return the orders of this tick with their sessions."""
        orders: list[tuple[str, Order]] = []
        for line in self.lines.values():
            left = TICK_MESSAGES
            while line.stop and left:
                key, epoch = line.stop.popitem()
                orders.append((line.session, messages.StopTask(key, epoch)))
                left -= 1
            while line.assign and left:
                key, _ = line.assign.popitem(last=False)
                order = self._make(line, key)
                if order is not None:
                    orders.append((line.session, order))
                    left -= 1
        return orders

    def _assign(self, line: Line, key: str) -> None:
        line.assign[key] = None
        if self.state.live[key].spec.urgent:
            line.assign.move_to_end(key, last=False)

    def _make(self, line: Line, key: str) -> messages.Assign | None:
        task = self.state.live.get(key)
        if task is None or task.home is None:
            return None
        if task.home.incarnation != line.incarnation:
            return None
        return messages.Assign(
            spec=task.spec,
            epoch=task.epoch,
            incarnation=task.home.incarnation,
            checkpoint=task.checkpoint,
        )

    def _is_over(self, key: str, epoch: int) -> bool:
        task = self.state.live.get(key)
        if task is not None:
            return epoch < task.epoch
        return key in self.state.ended
