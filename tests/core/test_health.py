"""Check that failures are attributed to hosts or to work."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from kcr_core import health

HOSTS = 9


@settings(derandomize=True)
@given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, HOSTS - 1),
            strategies.integers(0, 40),
            strategies.booleans(),
        ),
        max_size=300,
    )
)
def test_quarantine_is_bounded(steps: list[tuple[int, int, bool]]) -> None:
    """Guard against a shared fault that quarantines all hosts."""
    state = health.Health()
    for number, (host, work, succeeded) in enumerate(steps):
        now = float(number)
        if succeeded:
            state.record_success(f'h{host}', f'w{work}', now)
        else:
            state.record_failure(f'h{host}', f'w{work}', 'failed', HOSTS, now)
        assert len(state.quarantined) <= HOSTS * health.MAX_QUARANTINED_SHARE


def make_bad_host() -> health.Health:
    """Return a state in which all work failed on the host `bad`."""
    state = health.Health()
    for number in range(10):
        state.record_failure('bad', f'w{number}', 'failed', HOSTS, 0.0)
    return state


def test_host_that_fails_everything_is_quarantined_and_probed() -> None:
    """Guard against a fast-failing host that attracts all work."""
    state = make_bad_host()
    assert state.access('bad', 0.0) == 'closed'
    assert state.access('good', 0.0) == 'open'
    assert state.access('bad', health.FIRST_PROBE_DELAY_S) == 'probe'
    state.probe_sent('bad', health.FIRST_PROBE_DELAY_S)
    assert state.access('bad', health.FIRST_PROBE_DELAY_S) == 'closed'


def test_good_probes_end_the_quarantine() -> None:
    """Guard against a host that gets no work after its recovery."""
    state = make_bad_host()
    for number in range(health.GOOD_PROBES):
        assert state.access('bad', 99.0) == 'probe'
        state.record_success('bad', f'probe{number}', 99.0)
    assert state.access('bad', 99.0) == 'open'


def test_bad_work_is_parked_and_its_hosts_are_cleared() -> None:
    """Guard against one failing job that quarantines healthy workers."""
    state = health.Health()
    parked = None
    for number in range(health.BAD_WORK_HOSTS):
        parked = state.record_failure(
            f'h{number}', 'job', 'exit 1', HOSTS, 0.0
        )
    assert isinstance(parked, health.Parked)
    assert 'exit 1' in parked.reason
    for number in range(health.BAD_WORK_HOSTS):
        assert state.hosts[f'h{number}'].failure_share == 0.0


def test_failures_of_one_request_do_not_quarantine_a_host() -> None:
    """Guard against a quarantine because of one repeated request."""
    state = health.Health()
    for _ in range(50):
        state.record_failure('h', 'same', 'failed', HOSTS, 0.0)
    assert not state.quarantined


def test_requests_that_fail_everywhere_quarantine_no_endpoint() -> None:
    """Guard against a quarantine of endpoints because of bad requests."""
    state = health.Health()
    for number in range(50 * HOSTS):
        host = f'h{number % HOSTS}'
        state.record_failure(host, f'w{number}', 'status 500', HOSTS, 0.0)
    assert not state.quarantined
