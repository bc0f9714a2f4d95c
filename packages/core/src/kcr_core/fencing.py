"""Decide when a silent sidecar is fenced and when its tasks may move.

An entry fences a sidecar that was silent for the failure timeout, at this
entry and at every peer that replies. Tasks of a fenced home move after the
wait of the fence, and tasks of a home that a later incarnation replaced move
at once unless that incarnation runs them. The entry's task for fences drives
the failure detector; its owner of the tasks calls the functions.
"""

from collections import abc
import dataclasses
import typing

from kcr_core import ledger
from kcr_core import live_task
from kcr_core import records
from kcr_core import types

# Time in which peers must reply to a query about a sidecar, in seconds. A peer
# that does not reply by then does not prevent the fence.
QUERY_TIMEOUT_S = 1.0
# Time for which a peer's confirmation of a sidecar lasts, in seconds; until
# then no further query is sent.
CONFIRMATION_S = 2.0
# Maximum number of incarnations whose last message is stored; a fence of one
# that was dropped gets the longer wait.
MAX_INCARNATIONS = 50_000

# Instance and incarnation of a sidecar.
SidecarName = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class QueryPeers:
    """Request a query to every connected peer about a silent sidecar."""

    # Instance of the sidecar.
    instance: str
    # Incarnation of the sidecar.
    incarnation: str


Action = QueryPeers | records.Fenced


@dataclasses.dataclass(slots=True)
class _Query:
    sent_at: float
    unanswered: set[str]


class FailureDetector:
    """Track which sidecars send messages to this entry and its peers."""

    def __init__(self, settings: types.ControlSettings, now: float) -> None:
        # Settings of the document in force.
        self.settings = settings
        # Monotonic time from which this entry may fence; before it, running
        # sidecars may not have connected yet.
        self.fences_from = now + settings.isolation_s
        # Monotonic time of the last message, by incarnation.
        self.received_at: dict[SidecarName, float] = {}
        # Monotonic time until which a peer's confirmation lasts, by
        # incarnation.
        self.confirmed_until: dict[SidecarName, float] = {}
        # Monotonic time from which each home was checked; its silence counts
        # from then if it has sent no message.
        self._since: dict[SidecarName, float] = {}
        self._queries: dict[SidecarName, _Query] = {}

    def record_message(self, name: SidecarName, now: float) -> None:
        """Record that a sidecar sent a message."""
        self.received_at.pop(name, None)
        self.received_at[name] = now
        if len(self.received_at) > MAX_INCARNATIONS:
            del self.received_at[next(iter(self.received_at))]
        self._queries.pop(name, None)

    def record_reply(
        self, name: SidecarName, peer: str, age_ms: int, now: float
    ) -> None:
        """Record the reply of a peer to a query about a sidecar.

        `age_ms` is the age of the last message that the peer received; -1 if
        it received none.
        """
        query = self._queries.get(name)
        if query is None:
            return
        query.unanswered.discard(peer)
        if 0 <= age_ms < self.settings.failure_timeout_s * 1000.0:
            self.confirmed_until[name] = now + CONFIRMATION_S
            del self._queries[name]

    def step(
        self,
        homes: abc.Collection[SidecarName],
        waits: abc.Mapping[SidecarName, float],
        peers: abc.Collection[str],
        fresh: bool,
        now: float,
    ) -> list[Action]:
        """Return the queries and fences that are due.

        `homes` are the incarnations that live tasks are assigned to, `waits`
        the waits of the fences in the log, by incarnation; `fresh` says
        whether this entry's view of the log is fresh. After a fence with the
        long wait, an entry that received messages of the sidecar adds one
        with the short wait.
        """
        self._forget(homes)
        actions: list[Action] = []
        for name in homes:
            since = self._since.setdefault(name, now)
            last = self.received_at.get(name, since)
            silent = now - last >= self.settings.failure_timeout_s
            confirmed = now < self.confirmed_until.get(name, now)
            wait = self.infer_wait(name)
            fenced = name in waits and waits[name] <= wait
            if fenced or not silent or confirmed or not fresh:
                self._queries.pop(name, None)
                continue
            if now < self.fences_from:
                continue
            action = self._decide(name, peers, now)
            if action is not None:
                actions.append(action)
        return actions

    def _decide(
        self, name: SidecarName, peers: abc.Collection[str], now: float
    ) -> Action | None:
        query = self._queries.get(name)
        if query is None:
            self._queries[name] = _Query(now, set(peers))
            if peers:
                return QueryPeers(*name)
            query = self._queries[name]
        query.unanswered &= set(peers)
        if query.unanswered and now - query.sent_at < QUERY_TIMEOUT_S:
            return None
        # The query is repeated if the fence is not appended to the log.
        del self._queries[name]
        return records.Fenced(*name, wait_s=self.infer_wait(name))

    def infer_wait(self, name: SidecarName) -> float:
        """Return the wait of a fence of `name` by this entry, in seconds.

        It covers the time for which the sidecar may have authority: the
        isolation limit if this entry received its messages, else the outage
        limit; and after that the task lease and the allowance.
        """
        cfg = self.settings
        limit = cfg.isolation_s if name in self.received_at else cfg.outage_s
        return limit + cfg.task_lease_s + cfg.allowance_s

    def _forget(self, homes: abc.Collection[SidecarName]) -> None:
        for table in (self._since, self._queries, self.confirmed_until):
            for name in [n for n in table if n not in homes]:
                del typing.cast(dict[SidecarName, typing.Any], table)[name]


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectedSidecar:
    """Describe the newest incarnation of an instance that has connected."""

    # The incarnation, as the home that tasks may be assigned to.
    home: types.Home
    # Key and epoch of each task that ran when it connected.
    running: frozenset[tuple[str, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class Stay:
    """Keep the task at its home."""


@dataclasses.dataclass(frozen=True, slots=True)
class Adopt:
    """Assign the task to a later incarnation that runs its epoch."""

    # The later incarnation.
    home: types.Home


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """Move the task from its home, which cannot run it any more."""

    # Reason for the log and the caller.
    reason: str


HomeDecision = Stay | Adopt | Move
STAY = Stay()


def decide_home(
    key: str,
    task: live_task.LiveTask,
    fence: live_task.Fence | None,
    connected: ConnectedSidecar | None,
    now: float,
) -> HomeDecision:
    """Decide whether a task stays at its home.

    `fence` is the fence of its home, `connected` the newest incarnation of
    the instance that has connected to this entry.
    """
    home = task.home
    if home is None:
        return STAY
    is_replaced = connected is not None and live_task.is_successor(
        home, connected.home
    )
    if is_replaced and connected is not None:
        if (key, task.epoch) not in connected.running:
            return Move(f'sidecar of {home.instance} restarted without it')
        if fence is None:
            return Adopt(connected.home)
    if fence is None or now < fence.movable_at:
        return STAY
    return Move(f'instance {home.instance} was lost')


def is_fenced(
    name: SidecarName,
    running: abc.Iterable[tuple[str, int]],
    state: ledger.Ledger,
) -> bool:
    """Return whether an entry must not renew an incarnation's authority.

    An incarnation that runs a task of a fenced older incarnation counts as
    fenced as well, because readers of that fence move the task.
    """
    if name in state.fences:
        return True
    for key, epoch in running:
        task = state.live.get(key)
        if task is None or task.home is None or task.epoch != epoch:
            continue
        home = task.home
        older = home.instance == name[0] and home.incarnation != name[1]
        if older and (home.instance, home.incarnation) in state.fences:
            return True
    return False


def choose_loss_record(
    task: live_task.LiveTask, home: types.Home | None, reason: str
) -> records.Moved | records.FinishedRecord:
    """Return the record that removes a task from a lost home.

    A task that must not run again ends with outcome `unknown`, because it may
    have ended before the home was lost.
    """
    key = task.spec.key
    if not task.spec.restartable:
        return records.FinishedRecord(key, task.epoch, 'unknown', reason)
    return records.Moved(key, task.epoch + 1, home, task.checkpoint, reason)
