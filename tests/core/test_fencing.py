"""Test when a silent sidecar is fenced and when its tasks may move."""

from kcr_core import fencing
from kcr_core import ledger
from kcr_core import records
from kcr_core import types

CFG = types.ControlSettings()
NAME = ('i', 'a')
HOMES = frozenset({NAME})


def step(
    detector: fencing.FailureDetector,
    now: float,
    peers: tuple[str, ...] = (),
    fresh: bool = True,
    wait_s: float | None = None,
) -> list[fencing.Action]:
    """Return the actions that are due at `now`."""
    waits = {} if wait_s is None else {NAME: wait_s}
    return detector.step(HOMES, waits, peers, fresh, now)


def test_new_entry_waits_before_it_fences() -> None:
    """Guard against fencing sidecars that have not connected yet."""
    detector = fencing.FailureDetector(CFG, 0.0)
    assert step(detector, 0.0) == []
    assert step(detector, 9.9) == []
    assert step(detector, 10.0) == [records.Fenced('i', 'a', 3607.0)]


def test_known_sidecar_gets_the_short_wait_after_silence() -> None:
    """Guard against a fence before the failure timeout."""
    detector = fencing.FailureDetector(CFG, 0.0)
    detector.record_message(NAME, 20.0)
    assert step(detector, 24.9) == []
    assert step(detector, 25.0) == [records.Fenced('i', 'a', 17.0)]
    assert step(detector, 26.0, wait_s=17.0) == []
    # An entry without messages of the sidecar has fenced with the long wait.
    fence = [records.Fenced('i', 'a', 17.0)]
    assert step(detector, 26.0, wait_s=3607.0) == fence


def test_stale_view_fences_nothing() -> None:
    """Guard against fences by an entry with a stale view of the log."""
    detector = fencing.FailureDetector(CFG, 0.0)
    assert step(detector, 0.0) == []
    assert step(detector, 30.0, fresh=False) == []


def test_peer_with_recent_messages_prevents_the_fence() -> None:
    """Guard against a fence after the loss of a single connection."""
    detector = fencing.FailureDetector(CFG, 0.0)
    detector.record_message(NAME, 20.0)
    query = [fencing.QueryPeers('i', 'a')]
    assert step(detector, 25.0, ('p', 'q')) == query
    detector.record_reply(NAME, 'p', -1, 25.1)
    assert step(detector, 25.5, ('p', 'q')) == []
    detector.record_reply(NAME, 'q', 300, 25.6)
    assert step(detector, 26.5, ('p', 'q')) == []
    assert step(detector, 28.0, ('p', 'q')) == query
    detector.record_reply(NAME, 'p', -1, 28.1)
    detector.record_reply(NAME, 'q', 5000, 28.1)
    fence = [records.Fenced('i', 'a', 17.0)]
    assert step(detector, 28.5, ('p', 'q')) == fence


def test_peer_without_a_reply_does_not_block_the_fence() -> None:
    """Guard against an unresponsive peer that keeps tasks at a lost home."""
    detector = fencing.FailureDetector(CFG, 0.0)
    detector.record_message(NAME, 20.0)
    assert len(step(detector, 25.0, ('p',))) == 1
    assert step(detector, 25.9, ('p',)) == []
    assert step(detector, 26.0, ('p',)) == [records.Fenced('i', 'a', 17.0)]


def make_state() -> ledger.Ledger:
    """Return a ledger with one task at incarnation `a`."""
    state = ledger.Ledger()
    spec = types.TaskSpec('t', 'c', 'x', 'k', types.Demand())
    home = types.Home('i', 'a', 1)
    state.apply(records.Accepted(spec, home, 0), 0.0, 0)
    return state


def decide(
    state: ledger.Ledger,
    connected: fencing.ConnectedSidecar | None,
    now: float,
) -> fencing.HomeDecision:
    """Return the decision for the task."""
    task = state.live['c/t']
    fence = state.fences.get(NAME)
    return fencing.decide_home('c/t', task, fence, connected, now)


def test_tasks_of_a_fenced_home_move_after_the_wait() -> None:
    """Guard against a move while the old home may still run the task."""
    state = make_state()
    state.apply(records.Fenced('i', 'a', 17.0), 100.0, 0)
    assert decide(state, None, 116.9) == fencing.STAY
    assert isinstance(decide(state, None, 117.0), fencing.Move)


def test_restarted_home_keeps_only_the_tasks_that_it_runs() -> None:
    """Guard against moving a task that a new incarnation runs."""
    state = make_state()
    newer = types.Home('i', 'b', 2)
    runs = fencing.ConnectedSidecar(newer, frozenset({('c/t', 1)}))
    assert decide(state, runs, 0.0) == fencing.Adopt(newer)
    idle = fencing.ConnectedSidecar(newer, frozenset({('c/t', 0)}))
    assert isinstance(decide(state, idle, 0.0), fencing.Move)
    for epoch in (0, 1):
        older = fencing.ConnectedSidecar(
            types.Home('i', 'b', epoch), frozenset()
        )
        assert decide(state, older, 0.0) == fencing.STAY


def test_new_incarnation_with_a_fenced_task_is_not_renewed() -> None:
    """Guard against authority for a task that readers of the fence move."""
    state = make_state()
    runs = [('c/t', 1)]
    assert not fencing.is_fenced(('i', 'b'), runs, state)
    state.apply(records.Fenced('i', 'a', 17.0), 0.0, 0)
    assert fencing.is_fenced(('i', 'a'), [], state)
    assert fencing.is_fenced(('i', 'b'), runs, state)
    assert not fencing.is_fenced(('i', 'b'), [('c/t', 0)], state)
    assert not fencing.is_fenced(('j', 'b'), runs, state)


def test_task_that_must_not_repeat_ends_unknown() -> None:
    """Guard against a second run of a task with an unknown outcome."""
    spec = types.TaskSpec('t', 'c', 'x', 'k', types.Demand(), False, False)
    state = ledger.Ledger()
    home = types.Home('i', 'a', 1)
    state.apply(records.Accepted(spec, home, 0), 0.0, 0)
    end = fencing.choose_loss_record(state.live['c/t'], home, 'lost')
    assert end == records.FinishedRecord('c/t', 1, 'unknown', 'lost')
