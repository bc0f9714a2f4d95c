"""Check that bad hosts and bad work are told apart."""

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
    """Guard against a shared fault that takes the whole fleet away."""
    owner = health.Health()
    for number, (host, work, good) in enumerate(steps):
        now = float(number)
        if good:
            owner.record_success(f'h{host}', f'w{work}', now)
        else:
            owner.record_failure(f'h{host}', f'w{work}', 'failed', HOSTS, now)
        assert len(owner.quarantined) <= HOSTS * health.MAX_QUARANTINED


def make_bad_host() -> health.Health:
    """Return a state in which the host `bad` has failed all its work."""
    owner = health.Health()
    for number in range(10):
        owner.record_failure('bad', f'w{number}', 'failed', HOSTS, 0.0)
    return owner


def test_host_that_fails_everything_is_quarantined_and_probed() -> None:
    """Guard against an endpoint that fails at once and draws all work."""
    owner = make_bad_host()
    assert owner.access('bad', 0.0) == 'closed'
    assert owner.access('good', 0.0) == 'open'
    assert owner.access('bad', health.FIRST_PROBE_S) == 'probe'
    owner.probe_sent('bad', health.FIRST_PROBE_S)
    assert owner.access('bad', health.FIRST_PROBE_S) == 'closed'


def test_good_probes_end_the_quarantine() -> None:
    """Guard against a repaired endpoint that gets no work again."""
    owner = make_bad_host()
    for number in range(health.GOOD_PROBES):
        assert owner.access('bad', 99.0) == 'probe'
        owner.record_success('bad', f'probe{number}', 99.0)
    assert owner.access('bad', 99.0) == 'open'


def test_bad_work_is_parked_and_its_hosts_are_cleared() -> None:
    """Guard against one bad job that quarantines good workers."""
    owner = health.Health()
    parked = None
    for number in range(health.BAD_WORK_HOSTS):
        parked = owner.record_failure(
            f'h{number}', 'job', 'exit 1', HOSTS, 0.0
        )
    assert isinstance(parked, health.Parked)
    assert 'exit 1' in parked.reason
    for number in range(health.BAD_WORK_HOSTS):
        assert owner.hosts[f'h{number}'].failure_share == 0.0


def test_one_work_alone_does_not_quarantine_a_host() -> None:
    """Guard against blaming a host for one request that is repeated."""
    owner = health.Health()
    for _ in range(50):
        owner.record_failure('h', 'same', 'failed', HOSTS, 0.0)
    assert not owner.quarantined


def test_requests_that_fail_everywhere_quarantine_no_endpoint() -> None:
    """Guard against a caller of bad requests that takes endpoints away."""
    owner = health.Health()
    for number in range(50 * HOSTS):
        host = f'h{number % HOSTS}'
        owner.record_failure(host, f'w{number}', 'status 500', HOSTS, 0.0)
    assert not owner.quarantined
