"""Find the owner of the jobs and keep a connection to it.

The agent queries schedulers for the owner. It takes their addresses from its
settings, from the store and from earlier replies. Once it has found the owner
it closes the other connections and informs the control task of the session.
The control task reports back an owner that does not respond.
"""

from collections import abc
import typing

from kcr_agent import addresses
from kcr_agent import events
from kcr_agent.links import routes
from kcr_core import net_address
from kcr_jobs import messages
from kcr_runtime import seeds
from kcr_runtime import store
from kcr_runtime import supervisor
from kcr_runtime import task
from kcr_runtime.wire import session

# Time between scans while the owner is unknown, in seconds.
SCAN_INTERVAL_S = 0.15
# Maximum number of schedulers that are remembered.
MAX_SCHEDULERS = 1024
# Maximum number of schedulers that are queried at the same time.
MAX_QUERIED = 3
# Time without an owner before the store is queried for schedulers, and time
# between such queries, in seconds.
STORE_QUERY_INTERVAL_S = 1.0
# Time without a reply after which a scheduler that is queried is dropped, in
# seconds; its connection may be silent.
QUERY_TIMEOUT_S = 1.2
# Time for which an owner that did not respond is not used, in seconds.
AVOID_OWNER_S = 0.6
# Keyed topic with the address of each scheduler.
TOPIC = 'keyed.schedulers'


class _Scan:
    pass


class Link(task.Task):
    """Own the connections to the schedulers."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        # Addresses of the discovered schedulers, in the order of queries.
        self.schedulers: list[str] = list(dict.fromkeys(ctx.cfg.seeds))
        # Address of the owner; empty for none.
        self.owner = ''
        # Highest epoch received.
        self.epoch = 0
        # Address of the session task of each connected scheduler, by its
        # address.
        self._open_sessions: dict[str, str] = {}
        # Addresses of the schedulers to which a session was started.
        self._dialed: set[str] = set()
        # Time of the first query without a reply, by the address of the
        # scheduler.
        self._unanswered_since: dict[str, float] = {}
        # Time since which the owner is searched; none while it is connected.
        self._search_since: float | None = None
        self._store_queried_at = -STORE_QUERY_INTERVAL_S
        # Time until which an owner that did not respond is not used, by its
        # address.
        self._avoided_until: dict[str, float] = {}
        self._filter = seeds.AddressFilter(self.log, ctx.metrics)

    def started(self) -> None:
        """Start the search for the owner."""
        self._search_since = self.now()
        self.post(_Scan())

    def dump(self) -> dict[str, typing.Any]:
        """Return the owner and the discovered schedulers."""
        return {
            **super().dump(),
            'owner': self.owner,
            'known': self.schedulers,
        }

    @task.handles(_Scan)
    def _on_scan(self, msg: _Scan) -> None:
        self.after(SCAN_INTERVAL_S, _Scan())
        if self._search_since is None:
            return
        while len(self._dialed) < min(MAX_QUERIED, len(self.schedulers)):
            self._dial(self._next_to_query())
        now = self.now()
        self._drop_silent(now)
        for target in self._open_sessions:
            self._query(target, now)
        if (
            min(now - self._search_since, now - self._store_queried_at)
            >= STORE_QUERY_INTERVAL_S
        ):
            self._store_queried_at = now
            self.spawn(self._query_store())

    def _query(self, target: str, now: float) -> None:
        self._unanswered_since.setdefault(target, now)
        self.send(
            self._open_sessions[target], session.Send(messages.OwnerQuery())
        )

    def _drop_silent(self, now: float) -> None:
        """Close the sessions that don't reply; the next scan dials others."""
        for target, since in list(self._unanswered_since.items()):
            if now - since >= QUERY_TIMEOUT_S:
                self.log.warning('scheduler silent', peer=target)
                self._close_session(target)

    def _next_to_query(self) -> str:
        """Return the next scheduler to dial and move it to the end."""
        target = next(t for t in self.schedulers if t not in self._dialed)
        self.schedulers.remove(target)
        self.schedulers.append(target)
        return target

    def _dial(self, target: str) -> None:
        if target in self._dialed:
            return
        self._dialed.add(target)
        spec = routes.make_spec(target)
        self.send(addresses.SESSIONS, supervisor.StartChild(spec))

    def _close_session(self, target: str) -> None:
        self._dialed.discard(target)
        self._open_sessions.pop(target, None)
        self._unanswered_since.pop(target, None)
        self.send(addresses.SESSIONS, supervisor.StopChild(target))

    async def _query_store(self) -> None:
        client: store.Store = store.STORES.get(self.ctx.cfg.store)(self.ctx)
        got = await client.newest(TOPIC)
        if self._running and isinstance(got, store.Items):
            self._add_schedulers(
                (i.key, i.value.decode(errors='replace'))
                for i in got.items
                if i.value
            )

    @task.handles(seeds.SeedsChanged)
    def _on_seeds(self, event: seeds.SeedsChanged) -> None:
        self._add_schedulers(('settings', a) for a in event.addresses)

    def _add_schedulers(self, found: abc.Iterable[tuple[str, str]]) -> None:
        """Add the addresses of pairs of their source and text."""
        for target in self._filter.filter(found):
            if target in self.schedulers:
                continue
            if len(self.schedulers) >= MAX_SCHEDULERS:
                self._drop_one()
            # A newly discovered scheduler is queried first.
            self.schedulers.insert(0, target)

    def _drop_one(self) -> None:
        """Forget the scheduler that was queried longest ago, but no seed."""
        for target in self.schedulers:
            if target not in self.ctx.cfg.seeds and target not in self._dialed:
                self.schedulers.remove(target)
                return

    @task.handles(session.Opened)
    def _on_opened(self, event: session.Opened) -> None:
        target = event.session.rpartition('/')[2]
        self._open_sessions[target] = event.session
        if target == self.owner:
            self._publish_owner()
        elif self._search_since is not None:
            self._query(target, self.now())

    @task.handles(session.Closed)
    def _on_closed(self, event: session.Closed) -> None:
        target = event.session.rpartition('/')[2]
        self._open_sessions.pop(target, None)
        self._unanswered_since.pop(target, None)
        if target == self.owner:
            self._lose_owner(event.reason)

    @task.handles(session.DialFailed)
    def _on_dial_failed(self, event: session.DialFailed) -> None:
        if event.target in self._dialed:
            self._close_session(event.target)
        if event.target == self.owner:
            self._lose_owner('dial failed')

    @task.handles(session.SendRefused)
    def _on_send_refused(self, event: session.SendRefused) -> None:
        """Ignore it; queries are repeated, and a lost report is detected.

        The control task detects it by the missing confirmation.
        """

    @task.handles(session.Received)
    def _on_received(self, event: session.Received) -> None:
        msg = event.msg
        assert isinstance(msg, messages.OwnerReply)
        self._unanswered_since.pop(event.session.rpartition('/')[2], None)
        self._add_schedulers(('peer', a) for a in msg.entries)
        if msg.owner and not net_address.is_valid(msg.owner):
            self.ctx.metrics.count('address_malformed')
            return
        if not msg.owner:
            if event.session.rpartition('/')[2] == self.owner:
                self._lose_owner('owner has stepped down')
            return
        avoided_until = self._avoided_until.get(msg.owner, 0.0)
        if msg.epoch < self.epoch or self.now() < avoided_until:
            return
        if msg.owner == self.owner and msg.epoch == self.epoch:
            return
        self.epoch, self.owner = msg.epoch, msg.owner
        if msg.owner in self._open_sessions:
            self._publish_owner()
        else:
            self._dial(msg.owner)

    def _publish_owner(self) -> None:
        self.log.info('owner found', owner=self.owner, epoch=self.epoch)
        self._search_since = None
        self._unanswered_since.clear()
        for target in list(self._dialed):
            if target != self.owner:
                self._close_session(target)
        self.send(
            addresses.CONTROL,
            events.OwnerSessionChanged(self._open_sessions[self.owner]),
        )

    def _lose_owner(self, reason: str) -> None:
        self.log.warning('owner lost', owner=self.owner, reason=reason)
        self.owner = ''
        self._search_since = self.now()
        self.send(addresses.CONTROL, events.OwnerSessionChanged(''))

    @task.handles(events.OwnerSilent)
    def _on_owner_silent(self, event: events.OwnerSilent) -> None:
        target = event.session.rpartition('/')[2]
        self._avoided_until[target] = self.now() + AVOID_OWNER_S
        self._close_session(target)
        if target == self.owner:
            self._lose_owner('silent')
