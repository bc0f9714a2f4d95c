"""Dial the peers that a task discovers, each once.

The tasks that manage the peers of an entry or a scheduler own a dialer. They
pass it the addresses from settings and from other processes, and report failed
dials. It starts and stops the sessions through their supervisor.
"""

from collections import abc

from kcr_core import net_address
from kcr_runtime import supervisor
from kcr_runtime import task


class Dialer:
    """Start one session per address; remove those that keep failing."""

    def __init__(
        self,
        ctx: task.Context,
        sessions: str,
        own: str,
        permanent: abc.Collection[str],
        max_dialed: int,
        max_failures: int,
        make_spec: abc.Callable[[str], supervisor.ChildSpec],
    ) -> None:
        self._ctx = ctx
        # Address of the supervisor of the sessions.
        self._sessions = sessions
        # Addresses of this process itself, which are not dialed.
        self._own = {own}
        # Addresses from the settings, which are never removed.
        self._permanent = permanent
        # Maximum number of addresses dialed at the same time.
        self._max_dialed = max_dialed
        # Consecutive failed dials after which a discovered address is
        # removed.
        self._max_failures = max_failures
        self._make_spec = make_spec
        # Consecutive failed dials of each dialed address.
        self.failed: dict[str, int] = {}

    def dial(self, target: str) -> None:
        """Dial an address unless it is already dialed or this process's."""
        if not target or target in self._own or target in self.failed:
            return
        if not net_address.is_valid(target):
            self._ctx.metrics.count('address_malformed')
            return
        if len(self.failed) >= self._max_dialed:
            self._ctx.metrics.count('peer_refused')
            return
        self.failed[target] = 0
        if f'{self._sessions}/{target}' in self._ctx.directory.addresses():
            # The session was started before the owner of this dialer was
            # restarted.
            return
        spec = self._make_spec(target)
        self._ctx.directory.send(self._sessions, supervisor.StartChild(spec))

    def is_dialed(self, name: str) -> bool:
        """Return whether this process has dialed a session."""
        return name.rpartition('/')[0] == self._sessions

    def replace(self, name: str, address: str) -> None:
        """Dial a peer whose own connection is given up."""
        if not self.is_dialed(name):
            self.failed.pop(address, None)
            self.dial(address)

    def stop_dialing(self, name: str) -> None:
        """Stop a session to a peer that has connected to this process."""
        if self.is_dialed(name):
            self._stop(name.rpartition('/')[2])

    def drop_own(self, name: str) -> None:
        """Stop a session by which this process has dialed itself."""
        parent, _, target = name.rpartition('/')
        if parent == self._sessions:
            self._own.add(target)
            self.failed.pop(target, None)
            self._stop(target)

    def record_failure(self, target: str) -> bool:
        """Count a failed dial; return whether the address was removed."""
        if target not in self.failed:
            return False
        self.failed[target] += 1
        if (
            target in self._permanent
            or self.failed[target] < self._max_failures
        ):
            return False
        del self.failed[target]
        self._stop(target)
        return True

    def _stop(self, target: str) -> None:
        self._ctx.directory.send(self._sessions, supervisor.StopChild(target))
