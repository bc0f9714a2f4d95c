"""Decide from failures which hosts to quarantine and which work to park.

A host is an endpoint or a worker; work is a request or a task. A failure
counts against the host until the same work has failed on several hosts; then
it counts against the work and no longer against the hosts. A quarantined host
gets only probes until enough of them succeed. The share of hosts that are
quarantined at the same time is bounded, because removing hosts does not help
against a fault that all of them share. The dispatcher of an entry uses this
for endpoints, the placement of tasks for workers.
"""

import collections
import dataclasses
import typing

# Weight of a new result in the failure share of a host, a moving average.
RESULT_WEIGHT = 0.1
# Minimum failure share for a quarantine: about 7 consecutive failures.
MIN_QUARANTINE_SHARE = 0.5
# A host is quarantined only if its failure share is at least this multiple of
# the mean of the other hosts: requests that fail on every endpoint are not the
# fault of the endpoints.
MIN_RATIO_TO_OTHERS = 2.0
# Minimum number of distinct requests or tasks that failed on a host for a
# quarantine.
MIN_WORK = 3
# Maximum share of the hosts in quarantine at the same time.
MAX_QUARANTINED_SHARE = 1 / 3
# Time until the first probe and maximum time between probes, in seconds; the
# time between probes doubles with each probe.
FIRST_PROBE_DELAY_S = 1.0
MAX_PROBE_INTERVAL_S = 30.0
# Number of consecutive successful probes that end a quarantine.
GOOD_PROBES = 3
# Number of hosts on which work must fail to be parked.
BAD_WORK_HOSTS = 3
# Maximum number of requests or tasks whose failures are stored.
MAX_WORK = 4096
# Maximum number of hosts; an entry has at most about 2,300.
MAX_HOSTS = 10_000
# Maximum number of failed requests or tasks stored per host.
MAX_FAILED_WORK = 64

Access = typing.Literal['open', 'probe', 'closed']


@dataclasses.dataclass(slots=True)
class Host:
    """Store the recent results of a host and its quarantine."""

    # Moving average of the share of failed results.
    failure_share: float = 0.0
    # Failed work that counts against the host, oldest first.
    failed_work: dict[str, None] = dataclasses.field(default_factory=dict)
    # Monotonic time of the next probe; none outside of quarantine.
    probe_at: float | None = None
    # Time between the next two probes, in seconds.
    probe_interval_s: float = FIRST_PROBE_DELAY_S
    # Number of consecutive successful probes.
    good_probes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Parked:
    """Represent work to be parked because it fails on several hosts."""

    # Key of the work.
    work: str
    # Why it is parked.
    reason: str


class Health:
    """Decide which hosts are quarantined and which work is parked."""

    def __init__(self) -> None:
        # Hosts by name.
        self.hosts: dict[str, Host] = {}
        # Names of the quarantined hosts.
        self.quarantined: set[str] = set()
        # Sum of the failure shares of all hosts.
        self._total_failure_share = 0.0
        # Hosts on which each request or task failed, with the reason.
        self._failures: collections.OrderedDict[str, dict[str, str]] = (
            collections.OrderedDict()
        )

    def access(self, name: str, now: float) -> Access:
        """Return whether a host may get work, a probe or nothing."""
        if name not in self.quarantined:
            return 'open'
        host = self.hosts[name]
        assert host.probe_at is not None, 'quarantine without a probe'
        return 'probe' if now >= host.probe_at else 'closed'

    def probe_sent(self, name: str, now: float) -> None:
        """Schedule the next probe and double the time between probes."""
        host = self.hosts[name]
        host.probe_at = now + host.probe_interval_s
        host.probe_interval_s = min(
            MAX_PROBE_INTERVAL_S, host.probe_interval_s * 2
        )

    def record_success(self, name: str, work: str, now: float) -> None:
        """Record a success of a host; it may end its quarantine."""
        self._failures.pop(work, None)
        host = self.hosts.get(name)
        if host is None:
            return
        self._set_failure_share(host, host.failure_share * (1 - RESULT_WEIGHT))
        if name in self.quarantined:
            host.good_probes += 1
            host.probe_at = now
            if host.good_probes >= GOOD_PROBES:
                self._release(name)

    def record_failure(
        self, name: str, work: str, reason: str, host_count: int, now: float
    ) -> Parked | None:
        """Record a failure; `host_count` is the number of all hosts.

        It may quarantine the host. Work that has failed on enough hosts is
        returned as parked.
        """
        host = self._host(name)
        if host is None:
            return None
        hosts = self._add_failure(work, name, reason)
        if len(hosts) >= BAD_WORK_HOSTS:
            for other in hosts:
                self._clear_failure(other, work)
            last = next(reversed(hosts.values()))
            why = f'failed on {len(hosts)} hosts, last: {last}'
            return Parked(work, why[:300])
        self._set_failure_share(
            host,
            host.failure_share + RESULT_WEIGHT * (1.0 - host.failure_share),
        )
        host.good_probes = 0
        host.failed_work[work] = None
        if len(host.failed_work) > MAX_FAILED_WORK:
            del host.failed_work[next(iter(host.failed_work))]
        if name not in self.quarantined and self._should_quarantine(
            host, host_count
        ):
            self.quarantined.add(name)
            host.probe_interval_s = FIRST_PROBE_DELAY_S
            host.probe_at = now + FIRST_PROBE_DELAY_S
        return None

    def remove_host(self, name: str) -> None:
        """Drop a host that was removed or restarted."""
        host = self.hosts.pop(name, None)
        if host is not None:
            self._set_failure_share(host, 0.0)
        self.quarantined.discard(name)

    def dump(self) -> dict[str, typing.Any]:
        """Return the quarantined hosts and the suspected work."""
        return {
            'quarantined': {
                name: round(self.hosts[name].failure_share, 3)
                for name in sorted(self.quarantined)
            },
            'suspected_work': {
                work: list(hosts)
                for work, hosts in list(self._failures.items())[-20:]
                if len(hosts) > 1
            },
        }

    def _host(self, name: str) -> Host | None:
        host = self.hosts.get(name)
        if host is not None:
            return host
        if len(self.hosts) >= MAX_HOSTS:
            oldest = next(iter(self.hosts))
            if oldest in self.quarantined:
                return None
            self.remove_host(oldest)
        host = self.hosts[name] = Host()
        return host

    def _add_failure(
        self, work: str, name: str, reason: str
    ) -> dict[str, str]:
        hosts = self._failures.setdefault(work, {})
        hosts.pop(name, None)
        if len(hosts) < 2 * BAD_WORK_HOSTS:
            hosts[name] = reason
        self._failures.move_to_end(work)
        if len(self._failures) > MAX_WORK:
            self._failures.popitem(last=False)
        return hosts

    def _clear_failure(self, name: str, work: str) -> None:
        host = self.hosts.get(name)
        if host is None or work not in host.failed_work:
            return
        del host.failed_work[work]
        self._set_failure_share(
            host, max(0.0, host.failure_share - RESULT_WEIGHT)
        )
        if (
            name in self.quarantined
            and host.failure_share < MIN_QUARANTINE_SHARE
        ):
            self._release(name)

    def _should_quarantine(self, host: Host, host_count: int) -> bool:
        if (
            host.failure_share < MIN_QUARANTINE_SHARE
            or len(host.failed_work) < MIN_WORK
        ):
            return False
        others = (self._total_failure_share - host.failure_share) / max(
            1, host_count - 1
        )
        if host.failure_share < MIN_RATIO_TO_OTHERS * others:
            return False
        return len(self.quarantined) + 1 <= host_count * MAX_QUARANTINED_SHARE

    def _set_failure_share(self, host: Host, failure_share: float) -> None:
        self._total_failure_share = max(
            0.0, self._total_failure_share + failure_share - host.failure_share
        )
        host.failure_share = failure_share

    def _release(self, name: str) -> None:
        self.quarantined.discard(name)
        self._set_failure_share(self.hosts[name], 0.0)
        self.hosts[name] = Host()
