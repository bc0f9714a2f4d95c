"""Tell bad hosts from bad work.

A host is an endpoint or a worker, work is a request or a job. A failure is
blamed on the host until the same work has failed on several hosts; then it is
blamed on the work, and the hosts are cleared of it. A bad host is quarantined
and probed; only a bounded share of the hosts is quarantined at once, because
a fault that all share is not cured by taking hosts away.
"""

import collections
import dataclasses
import typing

# Share of a new result in the running failure share of a host.
RESULT_SHARE = 0.1
# Failure share from which a host is quarantined: about 7 failures in a row.
QUARANTINE_FROM = 0.5
# A host in quarantine fails this many times as often as the other hosts do on
# average; requests that fail everywhere are not the fault of their endpoints.
WORSE_THAN_OTHERS = 2.0
# Distinct work that must have failed on a host before it is quarantined.
MIN_WORK = 3
# Largest share of the hosts in quarantine at the same time.
MAX_QUARANTINED = 1 / 3
# Time until the first probe, and the largest time between probes.
FIRST_PROBE_S = 1.0
MAX_PROBE_S = 30.0
# Good probes in a row that end a quarantine.
GOOD_PROBES = 3
# Hosts on which work fails before it is blamed.
BAD_WORK_HOSTS = 3
# Work with failures that is remembered.
MAX_WORK = 4096
# Hosts that are remembered; an entry sees at most some 2,300.
MAX_HOSTS = 10_000
# Recent failures of one host that are remembered by work.
MAX_BLAMED = 64

Access = typing.Literal['open', 'probe', 'closed']


@dataclasses.dataclass(slots=True)
class Host:
    """Hold what is known of one host."""

    # Running share of failed results.
    failure_share: float = 0.0
    # Failed work that still counts against the host, oldest first.
    blamed: dict[str, None] = dataclasses.field(default_factory=dict)
    # Time of the next probe; none outside of quarantine.
    probe_at: float | None = None
    # Time between probes.
    probe_s: float = FIRST_PROBE_S
    # Good probes in a row.
    good: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Parked:
    """State that work is blamed, with the reason."""

    # The work.
    work: str
    # Why it is parked.
    reason: str


class Health:
    """Decide which hosts are quarantined and which work is parked."""

    def __init__(self) -> None:
        # Hosts by name.
        self.hosts: dict[str, Host] = {}
        # Hosts in quarantine.
        self.quarantined: set[str] = set()
        # Sum of the failure shares of all hosts.
        self._failing = 0.0
        self._failed: collections.OrderedDict[str, dict[str, str]] = (
            collections.OrderedDict()
        )

    def access(self, name: str, now: float) -> Access:
        """Tell whether a host may get work at `now`."""
        if name not in self.quarantined:
            return 'open'
        host = self.hosts[name]
        assert host.probe_at is not None, 'quarantine without a probe'
        return 'probe' if now >= host.probe_at else 'closed'

    def probe_sent(self, name: str, now: float) -> None:
        """Note that a probe was sent; the next one waits longer."""
        host = self.hosts[name]
        host.probe_at = now + host.probe_s
        host.probe_s = min(MAX_PROBE_S, host.probe_s * 2)

    def record_success(self, name: str, work: str, now: float) -> None:
        """Take a good result."""
        self._failed.pop(work, None)
        host = self.hosts.get(name)
        if host is None:
            return
        self._set(host, host.failure_share * (1 - RESULT_SHARE))
        if name in self.quarantined:
            host.good += 1
            host.probe_at = now
            if host.good >= GOOD_PROBES:
                self._release(name)

    def record_failure(
        self, name: str, work: str, reason: str, fleet: int, now: float
    ) -> Parked | None:
        """Take a failed result; `fleet` is the number of hosts in all."""
        host = self._host(name)
        if host is None:
            return None
        hosts = self._note(work, name, reason)
        if len(hosts) >= BAD_WORK_HOSTS:
            for other in hosts:
                self._clear(other, work)
            last = next(reversed(hosts.values()))
            why = f'failed on {len(hosts)} hosts, last: {last}'
            return Parked(work, why[:300])
        self._set(
            host,
            host.failure_share + RESULT_SHARE * (1.0 - host.failure_share),
        )
        host.good = 0
        host.blamed[work] = None
        if len(host.blamed) > MAX_BLAMED:
            del host.blamed[next(iter(host.blamed))]
        if name not in self.quarantined and self._is_bad(host, fleet):
            self.quarantined.add(name)
            host.probe_s = FIRST_PROBE_S
            host.probe_at = now + FIRST_PROBE_S
        return None

    def remove_host(self, name: str) -> None:
        """Drop a host that is gone or started anew."""
        host = self.hosts.pop(name, None)
        if host is not None:
            self._set(host, 0.0)
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
                for work, hosts in list(self._failed.items())[-20:]
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

    def _note(self, work: str, name: str, reason: str) -> dict[str, str]:
        hosts = self._failed.setdefault(work, {})
        hosts.pop(name, None)
        if len(hosts) < 2 * BAD_WORK_HOSTS:
            hosts[name] = reason
        self._failed.move_to_end(work)
        if len(self._failed) > MAX_WORK:
            self._failed.popitem(last=False)
        return hosts

    def _clear(self, name: str, work: str) -> None:
        host = self.hosts.get(name)
        if host is None or work not in host.blamed:
            return
        del host.blamed[work]
        self._set(host, max(0.0, host.failure_share - RESULT_SHARE))
        if name in self.quarantined and host.failure_share < QUARANTINE_FROM:
            self._release(name)

    def _is_bad(self, host: Host, fleet: int) -> bool:
        if host.failure_share < QUARANTINE_FROM or len(host.blamed) < MIN_WORK:
            return False
        others = (self._failing - host.failure_share) / max(1, fleet - 1)
        if host.failure_share < WORSE_THAN_OTHERS * others:
            return False
        return len(self.quarantined) + 1 <= fleet * MAX_QUARANTINED

    def _set(self, host: Host, failing: float) -> None:
        self._failing = max(0.0, self._failing + failing - host.failure_share)
        host.failure_share = failing

    def _release(self, name: str) -> None:
        self.quarantined.discard(name)
        self._set(self.hosts[name], 0.0)
        self.hosts[name] = Host()
