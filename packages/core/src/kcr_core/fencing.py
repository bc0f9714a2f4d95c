"""Decide when a silent sidecar is fenced and when its tasks may move.

A fence needs silence for the failure timeout at this entry and at every
entry that answers. Tasks of a fenced home move after the wait of the fence,
and tasks of a home that a later incarnation replaced move at once unless
that incarnation runs them.
"""

from collections import abc
import dataclasses
import typing

from kcr_core import ledger
from kcr_core import live_task
from kcr_core import records
from kcr_core import types

# Time that peers get to say whether they hear a sidecar, in seconds. A peer
# without an answer by then counts as one that this entry does not know.
ASK_LIMIT_S = 1.0
# Time for which a sidecar that a peer hears is not asked about again.
HEARD_HOLD_S = 2.0
# Incarnations that were heard and are remembered; one that is forgotten gets
# the longer wait.
HEARD_LIMIT = 50_000

Name = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class QueryPeers:
    """Ask every connected entry whether it hears a sidecar."""

    # Instance in question.
    instance: str
    # Incarnation in question.
    incarnation: str


Action = QueryPeers | records.Fenced


@dataclasses.dataclass(slots=True)
class _Query:
    asked_at: float
    missing: set[str]


class FailureDetector:
    """Track which sidecars this entry and its peers hear."""

    def __init__(self, settings: types.ControlSettings, now: float) -> None:
        # Settings of the document in force.
        self.settings = settings
        # Monotonic time from which this entry may fence.
        self.fences_from = now + settings.isolation_s
        # Monotonic time at which each incarnation was last heard here.
        self.received_at: dict[Name, float] = {}
        # Monotonic time up to which a peer's word holds, by incarnation.
        self.confirmed_until: dict[Name, float] = {}
        self._since: dict[Name, float] = {}
        self._queries: dict[Name, _Query] = {}

    def record_message(self, name: Name, now: float) -> None:
        """Note a message of a sidecar."""
        self.received_at.pop(name, None)
        self.received_at[name] = now
        if len(self.received_at) > HEARD_LIMIT:
            del self.received_at[next(iter(self.received_at))]
        self._queries.pop(name, None)

    def record_reply(
        self, name: Name, peer: str, age_ms: int, now: float
    ) -> None:
        """Note what a peer says of a sidecar."""
        query = self._queries.get(name)
        if query is None:
            return
        query.missing.discard(peer)
        if 0 <= age_ms < self.settings.failure_timeout_s * 1000.0:
            self.confirmed_until[name] = now + HEARD_HOLD_S
            del self._queries[name]

    def step(
        self,
        homes: abc.Collection[Name],
        waits: abc.Mapping[Name, float],
        peers: abc.Collection[str],
        fresh: bool,
        now: float,
    ) -> list[Action]:
        """Return the questions and fences that are due.

        `homes` are the incarnations that live tasks name, `waits` those of
        the fences in the log; `fresh` tells whether the view of the log is.
        A fence with a long wait is followed by one with a short wait from an
        entry that knew the sidecar.
        """
        self._forget(homes)
        actions: list[Action] = []
        for name in homes:
            since = self._since.setdefault(name, now)
            last = self.received_at.get(name, since)
            silent = now - last >= self.settings.failure_timeout_s
            held = now < self.confirmed_until.get(name, now)
            wait = self.infer_wait(name)
            fenced = name in waits and waits[name] <= wait
            if fenced or not silent or held or not fresh:
                self._queries.pop(name, None)
                continue
            if now < self.fences_from:
                continue
            action = self._decide(name, peers, now)
            if action is not None:
                actions.append(action)
        return actions

    def _decide(
        self, name: Name, peers: abc.Collection[str], now: float
    ) -> Action | None:
        query = self._queries.get(name)
        if query is None:
            self._queries[name] = _Query(now, set(peers))
            if peers:
                return QueryPeers(*name)
            query = self._queries[name]
        query.missing &= set(peers)
        if query.missing and now - query.asked_at < ASK_LIMIT_S:
            return None
        # The question is repeated if the fence does not get into the log.
        del self._queries[name]
        return records.Fenced(*name, wait_s=self.infer_wait(name))

    def infer_wait(self, name: Name) -> float:
        """Return the wait after a fence of `name` by this entry."""
        cfg = self.settings
        limit = cfg.isolation_s if name in self.received_at else cfg.outage_s
        return limit + cfg.task_lease_s + cfg.allowance_s

    def _forget(self, homes: abc.Collection[Name]) -> None:
        for table in (self._since, self._queries, self.confirmed_until):
            for name in [n for n in table if n not in homes]:
                del typing.cast(dict[Name, typing.Any], table)[name]


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectedSidecar:
    """Describe the newest connected incarnation of an instance."""

    # Its name and controller epoch as a home.
    home: types.Home
    # Key and epoch of the tasks that ran when it connected.
    running: frozenset[tuple[str, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class Stay:
    """Leave the task at its home."""


@dataclasses.dataclass(frozen=True, slots=True)
class Adopt:
    """Record that a later incarnation runs the task under its epoch."""

    # The later incarnation.
    home: types.Home


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """Move the task away from its home, which cannot run it any more."""

    # Why.
    reason: str


Verdict = Stay | Adopt | Move
STAY = Stay()


def decide_home(
    key: str,
    task: live_task.Live,
    fence: live_task.Fence | None,
    present: ConnectedSidecar | None,
    now: float,
) -> Verdict:
    """Decide whether a task stays at its home."""
    home = task.home
    if home is None:
        return STAY
    replaced = present is not None and live_task.is_successor(
        home, present.home
    )
    if replaced and present is not None:
        if (key, task.epoch) not in present.running:
            return Move(f'sidecar of {home.instance} restarted without it')
        if fence is None:
            return Adopt(present.home)
    if fence is None or now < fence.movable_at:
        return STAY
    return Move(f'instance {home.instance} was lost')


def is_fenced(
    name: Name,
    running: abc.Iterable[tuple[str, int]],
    state: ledger.Ledger,
) -> bool:
    """Tell whether a connected incarnation must not be vouched for.

    One that runs a task of a fenced older incarnation is fenced as well,
    because readers of that fence move the task.
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
    task: live_task.Live, home: types.Home | None, reason: str
) -> records.Moved | records.FinishedRecord:
    """Return the record that takes a task from a lost home.

    A task that must not run again ends as unknown, because it may have ended
    before the home was lost.
    """
    key = task.spec.key
    if not task.spec.restartable:
        return records.FinishedRecord(key, task.epoch, 'unknown', reason)
    return records.Moved(key, task.epoch + 1, home, task.checkpoint, reason)
