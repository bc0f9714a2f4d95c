"""Check when tasks are held back for the sake of the service."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from kcr_core import interference
from kcr_core import interference_model
from kcr_core import types

CONTROL = types.ControlSettings(evictions_per_minute=2.0)
POLICY_NAMES = strategies.sampled_from(['none', 'threshold', 'pairwise'])


def make_tasks(
    shares: list[float], urgent: bool = False
) -> list[interference.Task]:
    """Return one task of kind `k` per share."""
    return [
        interference.Task(f't{n}', 'k', 4.0, share, urgent)
        for n, share in enumerate(shares)
    ]


def drive(
    policy: str,
    readings: list[float],
    control: types.ControlSettings = CONTROL,
) -> list[tuple[float, list[interference.Action]]]:
    """Feed one reading per second and carry out the acts."""
    governor = interference.Governor(policy)
    tasks = {task.task: task for task in make_tasks([1.0] * 6)}
    out = []
    for second, p99_ms in enumerate(readings):
        now = float(second)
        measured = interference.Measurement(now - 2.0, p99_ms, 0.8)
        acts = governor.decide(measured, list(tasks.values()), control, now)
        for act in acts:
            held = tasks.pop(act.task)
            if isinstance(act, interference.SetShare):
                tasks[act.task] = interference.Task(
                    held.task, held.kind, held.processors, act.share
                )
        out.append((now, acts))
    return out


READINGS = strategies.lists(strategies.floats(1.0, 2000.0), max_size=200)


@settings(derandomize=True, deadline=None)
@given(POLICY_NAMES, READINGS)
def test_evictions_per_minute_are_bounded(
    policy: str, readings: list[float]
) -> None:
    """Guard against evicting everything in one bad minute."""
    times = [
        now
        for now, acts in drive(policy, readings)
        for act in acts
        if isinstance(act, interference.Evict)
    ]
    for start in times:
        window = [t for t in times if start <= t < start + 60.0]
        assert len(window) <= CONTROL.evictions_per_minute


@settings(derandomize=True, deadline=None)
@given(POLICY_NAMES, READINGS)
def test_no_second_act_before_the_first_can_show(
    policy: str, readings: list[float]
) -> None:
    """Guard against acting again on measurements from before the act."""
    times = [now for now, acts in drive(policy, readings) if acts]
    for earlier, later in zip(times, times[1:], strict=False):
        assert later - earlier >= interference.SETTLING_S
        # The measured window began 2 s before it arrived.
        assert later - 2.0 >= earlier


@settings(derandomize=True, deadline=None)
@given(READINGS)
def test_throttle_comes_before_eviction(readings: list[float]) -> None:
    """Guard against evicting a task that was never throttled."""
    throttled = set()
    for _, acts in drive('pairwise', readings):
        for act in acts:
            if isinstance(act, interference.Evict):
                assert act.task in throttled
            elif act.share <= interference.SHARES[-1]:
                throttled.add(act.task)


def test_weights_change_the_acts() -> None:
    """Guard against weights that the policy ignores."""
    readings = [300.0] * 120
    tail = types.ControlSettings(weights=types.Weights(4.0, 0.1, 0.1))
    batch = types.ControlSettings(weights=types.Weights(0.01, 4.0, 4.0))
    assert any(acts for _, acts in drive('pairwise', readings, tail))
    assert not any(acts for _, acts in drive('pairwise', readings, batch))


def test_urgent_tasks_are_not_held_back() -> None:
    """Guard against throttling urgent work for the sake of the service."""
    for policy in ('threshold', 'pairwise'):
        governor = interference.Governor(policy)
        measured = interference.Measurement(0.0, 900.0, 0.8)
        tasks = make_tasks([1.0, 0.25], urgent=True)
        assert governor.decide(measured, tasks, CONTROL, 2.0) == []


def test_learns_which_kind_slows_the_service() -> None:
    """Guard against throttling the kind that does no harm."""
    model = interference_model.Model()
    for _ in range(40):
        model.learn(60.0, 0.8, {'quiet': 4.0}, 100.0)
        model.learn(95.0, 0.8, {'quiet': 4.0, 'noisy': 1.0}, 100.0)
    assert model.effects['noisy'] > 5 * model.effects['quiet']


def test_effect_of_an_absent_kind_decays() -> None:
    """Guard against an old estimate that bars a kind for ever."""
    model = interference_model.Model()
    model.learn(300.0, 0.8, {'k': 4.0}, 100.0)
    before = model.effects['k']
    for _ in range(1000):
        model.learn(50.0, 0.8, {}, 100.0)
    assert model.effects['k'] < before / 10


def test_task_that_does_not_leave_is_stopped_and_counted_once() -> None:
    """Guard against a task that ignores its eviction and stays for ever."""
    governor = interference.Governor('threshold')
    tasks = make_tasks([0.25])
    removes = []
    for second in range(60):
        measured = interference.Measurement(second - 2.0, 900.0, 0.8)
        removes += governor.decide(measured, tasks, CONTROL, float(second))
    kinds = [isinstance(a, interference.Evict) and a.stop for a in removes]
    assert kinds == [False, True, True]
    assert len(governor.evicted_at) == 1
