"""Dial the peers that a task hears of, each once."""

from collections import abc

from kcr_runtime import supervisor
from kcr_runtime import task


class Dialer:
    """Start a session for each address; drop those that never answer."""

    def __init__(
        self,
        ctx: task.Context,
        sessions: str,
        own: str,
        kept: abc.Collection[str],
        limit: int,
        tries: int,
        make_spec: abc.Callable[[str], supervisor.ChildSpec],
    ) -> None:
        self._ctx = ctx
        # Address of the supervisor of the sessions.
        self._sessions = sessions
        # Addresses at which this process itself answers.
        self._own = {own}
        # Addresses of the settings, which are dialed for ever.
        self._kept = kept
        # Addresses that are dialed at the same time.
        self._limit = limit
        # Failed dials in a row after which a learnt address is dropped.
        self._tries = tries
        self._make_spec = make_spec
        # Failed dials in a row of each address.
        self.failed: dict[str, int] = {}

    def dial(self, target: str) -> None:
        """Dial an address, unless it is dialed already or is the own one."""
        if not target or target in self._own or target in self.failed:
            return
        if len(self.failed) >= self._limit:
            self._ctx.metrics.count('peer_refused')
            return
        self.failed[target] = 0
        if f'{self._sessions}/{target}' in self._ctx.directory.addresses():
            # The session was started before its task was restarted.
            return
        spec = self._make_spec(target)
        self._ctx.directory.send(self._sessions, supervisor.StartChild(spec))

    def drop_own(self, name: str) -> None:
        """Close a session that this process has opened to itself."""
        parent, _, target = name.rpartition('/')
        if parent == self._sessions:
            self._own.add(target)
            self.failed.pop(target, None)
            self._stop(target)

    def record_failure(self, target: str) -> bool:
        """Count a failed dial; tell whether the address is dropped."""
        if target not in self.failed:
            return False
        self.failed[target] += 1
        if target in self._kept or self.failed[target] < self._tries:
            return False
        del self.failed[target]
        self._stop(target)
        return True

    def _stop(self, target: str) -> None:
        self._ctx.directory.send(self._sessions, supervisor.StopChild(target))
