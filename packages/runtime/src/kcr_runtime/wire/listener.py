"""Accept connections from other processes and start a session for each.

The supervisors of entries and schedulers start the listener.
"""

import collections
import typing

from twisted.internet import defer

from kcr_runtime import supervisor
from kcr_runtime import task
from kcr_runtime.wire import connection
from kcr_runtime.wire import session


class Listener(task.Task):
    """Own a listening port and start a session for each connection."""

    def __init__(
        self,
        ctx: task.Context,
        address: str,
        routes: session.Routes,
        host: str,
        port: int,
        sessions: str,
        limit: int,
    ) -> None:
        super().__init__(ctx, address)
        # Routes of the accepted sessions.
        self.routes = routes
        # Address to bind.
        self.host = host
        # Port to bind; 0 for any free port.
        self.port = port
        # Address of the supervisor of the sessions.
        self.sessions = sessions
        # Maximum number of concurrent connections.
        self.limit = limit
        self._listening: typing.Any = None
        # Connections without a hello at the last look, oldest first.
        self._greeting: collections.deque[connection.Connection] = (
            collections.deque()
        )
        self._accepted = 0
        # Sessions keep running when the listener is restarted, so their names
        # must differ from those of earlier incarnations.
        self._name_prefix = f'{ctx.rng.getrandbits(32):08x}'
        self._revision = 0

    def started(self) -> None:
        """Bind the port."""
        factory = connection.ConnectionFactory(self._accept)
        self._listening = self.ctx.reactor.listenTCP(
            self.port, factory, interface=self.host
        )
        self.log.info('listening', port=self._listening.getHost().port)

    def stopped(self) -> defer.Deferred[None]:
        """Close the port."""
        return defer.maybeDeferred(self._listening.stopListening)

    @task.handles(session.SetRevision)
    def _on_set_revision(self, msg: session.SetRevision) -> None:
        self._revision = msg.revision

    def _accept(self) -> connection.Connection:
        if self.ctx.directory.count_children(self.sessions) >= self.limit:
            self.ctx.metrics.count('connection_refused')
            self._close_oldest()
            return typing.cast(connection.Connection, None)
        self._accepted += 1
        created: list[session.Session] = []

        def factory(ctx: task.Context, address: str) -> session.Session:
            created.append(session.Session(ctx, address, self.routes))
            created[0].revision = self._revision
            return created[0]

        name = f'{self._name_prefix}-{self._accepted}'
        spec = supervisor.ChildSpec(name, factory, True)
        self.send(self.sessions, supervisor.StartChild(spec))
        conn = created[0].build_connection()
        while self._greeting and self._greeting[0].done_greeting:
            self._greeting.popleft()
        self._greeting.append(conn)
        return conn

    def _close_oldest(self) -> None:
        """Make room for the next peer by closing one without a hello."""
        while self._greeting:
            conn = self._greeting.popleft()
            if not conn.done_greeting:
                conn.abort()
                return
