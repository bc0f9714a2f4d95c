"""Decide which assignments and stops go to each connected home, and when.

The entry reports the connections of sidecars and the changes of the ledger,
and sends the commands of each tick.
"""

import collections
import dataclasses

from kcr_core import ledger
from kcr_core import messages

# Messages for one session in one tick; a connection buffers 256.
MESSAGES_PER_TICK = 64
# Stops to keep per instance until its sidecar connects again, and instances
# to keep them for. When the start of an epoch whose stop was dropped is
# reported, it is answered with a stop.
MAX_STOPS_PER_INSTANCE = 64
MAX_STOP_INSTANCES = 10_000

Command = messages.Assign | messages.StopTask


@dataclasses.dataclass(slots=True)
class SendQueue:
    """Store the commands to send to one connected sidecar."""

    # Session to the sidecar.
    session: str
    # Incarnation of the sidecar.
    incarnation: str
    # Keys to assign, urgent ones first.
    keys_to_assign: collections.OrderedDict[str, None]
    # Epochs to stop by key.
    epochs_to_stop: dict[str, int]


class TaskDispatcher:
    """Queue assignments and stops for each connected sidecar."""

    def __init__(self, state: ledger.Ledger) -> None:
        # The ledger of the region.
        self.state = state
        # Queues by instance.
        self.queues: dict[str, SendQueue] = {}
        # Epochs to stop by instance and key, oldest first. A sidecar that was
        # disconnected may have an assignment that it has not started yet.
        self._stops: dict[str, dict[str, int]] = {}

    def connect(
        self,
        instance: str,
        incarnation: str,
        session: str,
        running: frozenset[tuple[str, int]],
    ) -> None:
        """Begin a new session: queue all tasks of its home again."""
        queue = SendQueue(session, incarnation, collections.OrderedDict(), {})
        self.queues[instance] = queue
        for key in self.state.keys_by_instance.get(instance, {}):
            self._assign(queue, key)
        queue.epochs_to_stop.update(self._stops.get(instance, {}))
        for key, epoch in running:
            if self._is_over(key, epoch):
                queue.epochs_to_stop[key] = epoch

    def disconnect(self, instance: str, session: str) -> None:
        """Remove the queue of a session that has ended."""
        queue = self.queues.get(instance)
        if queue is not None and queue.session == session:
            del self.queues[instance]

    def apply_change(self, change: ledger.Change) -> None:
        """Queue the commands that follow from a change of the ledger."""
        before = change.before
        over = change.effect in ('moved', 'cancelled')
        task = self.state.live.get(change.key)
        home = task.home if task is not None else None
        # An instance starts a later epoch only once no earlier one runs.
        if over and before is not None:
            if home is None or home.instance != before.instance:
                self._stop(before.instance, change.key, change.epoch)
        if task is None or task.home is None:
            return
        queue = self.queues.get(task.home.instance)
        if queue is not None and change.effect != 'restated':
            self._assign(queue, change.key)

    def _stop(self, instance: str, key: str, epoch: int) -> None:
        stops = self._stops.setdefault(instance, {})
        stops[key] = epoch
        if len(stops) > MAX_STOPS_PER_INSTANCE:
            del stops[next(iter(stops))]
        if len(self._stops) > MAX_STOP_INSTANCES:
            del self._stops[next(iter(self._stops))]
        queue = self.queues.get(instance)
        if queue is not None:
            queue.epochs_to_stop[key] = epoch

    def requeue(self, session: str, command: Command) -> None:
        """Queue a command again that the session did not accept."""
        for queue in self.queues.values():
            if queue.session != session:
                continue
            if isinstance(command, messages.Assign):
                self._assign(queue, command.spec.key)
            else:
                queue.epochs_to_stop[command.task] = command.epoch

    def requeue_assignment(self, key: str) -> None:
        """Queue the assignment of a live task again."""
        task = self.state.live[key]
        queue = self.queues.get(task.home.instance) if task.home else None
        if queue is not None:
            self._assign(queue, key)

    def take_commands(self) -> list[tuple[str, Command]]:
        """Return the commands of this tick with their sessions."""
        commands: list[tuple[str, Command]] = []
        for queue in self.queues.values():
            budget = MESSAGES_PER_TICK
            while queue.epochs_to_stop and budget:
                key, epoch = queue.epochs_to_stop.popitem()
                commands.append((queue.session, messages.StopTask(key, epoch)))
                budget -= 1
            while queue.keys_to_assign and budget:
                key, _ = queue.keys_to_assign.popitem(last=False)
                command = self._make_assign(queue, key)
                if command is not None:
                    commands.append((queue.session, command))
                    budget -= 1
        return commands

    def _assign(self, queue: SendQueue, key: str) -> None:
        queue.keys_to_assign[key] = None
        if self.state.live[key].spec.urgent:
            queue.keys_to_assign.move_to_end(key, last=False)

    def _make_assign(
        self, queue: SendQueue, key: str
    ) -> messages.Assign | None:
        task = self.state.live.get(key)
        if task is None or task.home is None:
            return None
        if task.home.incarnation != queue.incarnation:
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
