"""Check when a silent sidecar is fenced and its tasks may move."""

from kcr_core import fencing
from kcr_core import ledger
from kcr_core import records
from kcr_core import types

CFG = types.ControlSettings()
NAME = ('i', 'a')
HOMES = frozenset({NAME})


def step(
    watch: fencing.FailureDetector,
    now: float,
    peers: tuple[str, ...] = (),
    fresh: bool = True,
    wait_s: float | None = None,
) -> list[fencing.Action]:
    """Return what the watch asks for at `now`."""
    waits = {} if wait_s is None else {NAME: wait_s}
    return watch.step(HOMES, waits, peers, fresh, now)


def test_new_entry_waits_before_it_fences() -> None:
    """Guard against a new entry that fences what it has not met yet."""
    watch = fencing.FailureDetector(CFG, 0.0)
    assert step(watch, 0.0) == []
    assert step(watch, 9.9) == []
    assert step(watch, 10.0) == [records.Fenced('i', 'a', 3607.0)]


def test_known_sidecar_gets_the_short_wait_after_silence() -> None:
    """Guard against a fence before the failure timeout."""
    watch = fencing.FailureDetector(CFG, 0.0)
    watch.record_message(NAME, 20.0)
    assert step(watch, 24.9) == []
    assert step(watch, 25.0) == [records.Fenced('i', 'a', 17.0)]
    assert step(watch, 26.0, wait_s=17.0) == []
    # An entry that did not know the sidecar was first with a long wait.
    fence = [records.Fenced('i', 'a', 17.0)]
    assert step(watch, 26.0, wait_s=3607.0) == fence


def test_stale_view_fences_nothing() -> None:
    """Guard against fences by an entry that does not read the log."""
    watch = fencing.FailureDetector(CFG, 0.0)
    assert step(watch, 0.0) == []
    assert step(watch, 30.0, fresh=False) == []


def test_peer_that_hears_the_sidecar_prevents_the_fence() -> None:
    """Guard against a fence because of one broken connection."""
    watch = fencing.FailureDetector(CFG, 0.0)
    watch.record_message(NAME, 20.0)
    ask = [fencing.QueryPeers('i', 'a')]
    assert step(watch, 25.0, ('p', 'q')) == ask
    watch.record_reply(NAME, 'p', -1, 25.1)
    assert step(watch, 25.5, ('p', 'q')) == []
    watch.record_reply(NAME, 'q', 300, 25.6)
    assert step(watch, 26.5, ('p', 'q')) == []
    assert step(watch, 28.0, ('p', 'q')) == ask
    watch.record_reply(NAME, 'p', -1, 28.1)
    watch.record_reply(NAME, 'q', 5000, 28.1)
    fence = [records.Fenced('i', 'a', 17.0)]
    assert step(watch, 28.5, ('p', 'q')) == fence


def test_peer_without_an_answer_does_not_block_the_fence() -> None:
    """Guard against a frozen peer that keeps tasks at a lost home."""
    watch = fencing.FailureDetector(CFG, 0.0)
    watch.record_message(NAME, 20.0)
    assert len(step(watch, 25.0, ('p',))) == 1
    assert step(watch, 25.9, ('p',)) == []
    assert step(watch, 26.0, ('p',)) == [records.Fenced('i', 'a', 17.0)]


def make_state() -> ledger.Ledger:
    """Return a ledger with one task at incarnation `a`."""
    state = ledger.Ledger()
    spec = types.TaskSpec('t', 'c', 'x', 'k', types.Demand())
    home = types.Home('i', 'a', 1)
    state.apply(records.Accepted(spec, home, 0), 0.0, 0)
    return state


def judge(
    state: ledger.Ledger, present: fencing.ConnectedSidecar | None, now: float
) -> fencing.Verdict:
    """Return the verdict for the task."""
    task = state.live['c/t']
    fence = state.fences.get(NAME)
    return fencing.decide_home('c/t', task, fence, present, now)


def test_tasks_of_a_fenced_home_move_after_the_wait() -> None:
    """Guard against a move while the old home may still run the task."""
    state = make_state()
    state.apply(records.Fenced('i', 'a', 17.0), 100.0, 0)
    assert judge(state, None, 116.9) == fencing.STAY
    assert isinstance(judge(state, None, 117.0), fencing.Move)


def test_restarted_home_adopts_what_it_runs_and_loses_the_rest() -> None:
    """Guard against moving a task that a new incarnation runs."""
    state = make_state()
    newer = types.Home('i', 'b', 2)
    runs = fencing.ConnectedSidecar(newer, frozenset({('c/t', 1)}))
    assert judge(state, runs, 0.0) == fencing.Adopt(newer)
    idle = fencing.ConnectedSidecar(newer, frozenset({('c/t', 0)}))
    assert isinstance(judge(state, idle, 0.0), fencing.Move)
    for epoch in (0, 1):
        older = fencing.ConnectedSidecar(
            types.Home('i', 'b', epoch), frozenset()
        )
        assert judge(state, older, 0.0) == fencing.STAY


def test_new_incarnation_with_a_fenced_task_gets_no_vouch() -> None:
    """Guard against a vouch for a task that readers of the fence move."""
    state = make_state()
    runs = [('c/t', 1)]
    assert not fencing.is_fenced(('i', 'b'), runs, state)
    state.apply(records.Fenced('i', 'a', 17.0), 0.0, 0)
    assert fencing.is_fenced(('i', 'a'), [], state)
    assert fencing.is_fenced(('i', 'b'), runs, state)
    assert not fencing.is_fenced(('i', 'b'), [('c/t', 0)], state)
    assert not fencing.is_fenced(('j', 'b'), runs, state)


def test_task_that_must_not_repeat_ends_unknown() -> None:
    """Guard against a second run of a task whose end is not known."""
    spec = types.TaskSpec('t', 'c', 'x', 'k', types.Demand(), False, False)
    state = ledger.Ledger()
    home = types.Home('i', 'a', 1)
    state.apply(records.Accepted(spec, home, 0), 0.0, 0)
    end = fencing.choose_loss_record(state.live['c/t'], home, 'lost')
    assert end == records.FinishedRecord('c/t', 1, 'unknown', 'lost')
