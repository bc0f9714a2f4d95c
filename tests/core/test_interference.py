"""Test when tasks are throttled and evicted to protect the service."""

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
    """Pass one reading per second to a governor and apply its actions."""
    governor = interference.Governor(policy)
    tasks = {task.task: task for task in make_tasks([1.0] * 6)}
    steps = []
    for second, p99_ms in enumerate(readings):
        now = float(second)
        measurement = interference.Measurement(now - 2.0, p99_ms, 0.8)
        actions = governor.decide(
            measurement, list(tasks.values()), control, now
        )
        for action in actions:
            task = tasks.pop(action.task)
            if isinstance(action, interference.SetShare):
                tasks[action.task] = interference.Task(
                    task.task, task.kind, task.processors, action.share
                )
        steps.append((now, actions))
    return steps


READINGS = strategies.lists(strategies.floats(1.0, 2000.0), max_size=200)


@settings(derandomize=True, deadline=None)
@given(POLICY_NAMES, READINGS)
def test_evictions_per_minute_are_bounded(
    policy: str, readings: list[float]
) -> None:
    """Guard against evicting all tasks within one minute of overload."""
    times = [
        now
        for now, actions in drive(policy, readings)
        for action in actions
        if isinstance(action, interference.Evict)
    ]
    for start in times:
        window = [t for t in times if start <= t < start + 60.0]
        assert len(window) <= CONTROL.evictions_per_minute


@settings(derandomize=True, deadline=None)
@given(POLICY_NAMES, READINGS)
def test_no_second_action_before_the_first_can_show(
    policy: str, readings: list[float]
) -> None:
    """Guard against actions on measurements from before the last one."""
    times = [now for now, actions in drive(policy, readings) if actions]
    for earlier, later in zip(times, times[1:], strict=False):
        assert later - earlier >= interference.SETTLING_S
        # The measured window began 2 s before it arrived.
        assert later - 2.0 >= earlier


@settings(derandomize=True, deadline=None)
@given(READINGS)
def test_throttle_comes_before_eviction(readings: list[float]) -> None:
    """Guard against evicting a task that was never throttled."""
    throttled = set()
    for _, actions in drive('pairwise', readings):
        for action in actions:
            if isinstance(action, interference.Evict):
                assert action.task in throttled
            elif action.share <= interference.SHARES[-1]:
                throttled.add(action.task)


def test_weights_change_the_actions() -> None:
    """Guard against a policy that ignores the weights."""
    readings = [300.0] * 120
    tail = types.ControlSettings(weights=types.Weights(4.0, 0.1, 0.1))
    batch = types.ControlSettings(weights=types.Weights(0.01, 4.0, 4.0))
    assert any(actions for _, actions in drive('pairwise', readings, tail))
    assert not any(
        actions for _, actions in drive('pairwise', readings, batch)
    )


def test_urgent_tasks_are_neither_throttled_nor_evicted() -> None:
    """Guard against throttling urgent work to protect the service."""
    for policy in ('threshold', 'pairwise'):
        governor = interference.Governor(policy)
        measurement = interference.Measurement(0.0, 900.0, 0.8)
        tasks = make_tasks([1.0, 0.25], urgent=True)
        assert governor.decide(measurement, tasks, CONTROL, 2.0) == []


def test_learns_which_kind_slows_the_service() -> None:
    """Guard against throttling a kind that does not slow the service."""
    model = interference_model.Model()
    for _ in range(40):
        model.learn(60.0, 0.8, {'quiet': 4.0}, 100.0)
        model.learn(95.0, 0.8, {'quiet': 4.0, 'noisy': 1.0}, 100.0)
    assert model.effects['noisy'] > 5 * model.effects['quiet']


def test_effect_of_an_absent_kind_decays() -> None:
    """Guard against an old estimate that excludes a kind for good."""
    model = interference_model.Model()
    model.learn(300.0, 0.8, {'k': 4.0}, 100.0)
    before = model.effects['k']
    for _ in range(1000):
        model.learn(50.0, 0.8, {}, 100.0)
    assert model.effects['k'] < before / 10


def test_task_that_ignores_its_eviction_is_stopped_and_counted_once() -> None:
    """Guard against a task that ignores its eviction and keeps running."""
    governor = interference.Governor('threshold')
    tasks = make_tasks([0.25])
    evictions = []
    for second in range(60):
        measurement = interference.Measurement(second - 2.0, 900.0, 0.8)
        evictions += governor.decide(
            measurement, tasks, CONTROL, float(second)
        )
    kinds = [isinstance(a, interference.Evict) and a.stop for a in evictions]
    assert kinds == [False, True, True]
    assert len(governor.evicted_at) == 1
