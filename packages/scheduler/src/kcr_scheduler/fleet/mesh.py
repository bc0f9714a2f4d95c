"""Decide when this scheduler claims the jobs, and track their owner.

The task connects to every other scheduler that it discovers, unless that one
has connected to it. Peers exchange pulses: the owner of the jobs, the age of
the store's last answer and the version of the configuration. From the pulses
and the rules in kcr_jobs.election the task decides when it requests a claim
from the owner task. It informs the calls task of the route to the owner and
the front end of the readiness.
"""

import typing

from kcr_core import net_address
from kcr_jobs import config_relay
from kcr_jobs import election
from kcr_jobs import evacuation
from kcr_jobs import messages
from kcr_runtime import seeds
from kcr_runtime import task
from kcr_runtime.wire import dialer
from kcr_runtime.wire import session
from kcr_scheduler import addresses
from kcr_scheduler import events
from kcr_scheduler.fleet import probe
from kcr_scheduler.fleet import routes

# Time between pulses, in seconds; the owner counts as failed after four missed
# ones.
PULSE_INTERVAL_S = 0.25
# Time between scans for a failed owner, in seconds.
SCAN_INTERVAL_S = 0.1
# Time that the owner of a claim that was just read has to send a pulse, in
# seconds; a connection and a pulse between regions take 0.2 s.
OWNER_DISCOVERY_S = 0.35
# Time without a pulse after which a peer that is not the owner is probed, in
# seconds; a busy process sends none for a second or two.
PEER_SILENT_S = 2.5
# Time between scans that shows that this process itself was suspended, in
# seconds.
SUSPENDED_S = 0.5
# Time between two reads of the published claim because of a doubt about the
# owner, in seconds.
VERIFY_INTERVAL_S = 1.0
# Pulses on a session between those that repeat unchanged addresses.
PULSES_PER_LIST = 20
# Maximum number of schedulers that are dialed at the same time.
MAX_PEERS = 256
# Failed dials after which an address that is not a seed is dropped.
MAX_DIAL_FAILURES = 15


class _Pulse:
    pass


class _Scan:
    pass


class Mesh(task.Task):
    """Own what is known of the other schedulers and of the owner."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        # Rank as an owner, the lowest first.
        cfg = ctx.cfg
        self.rank = (
            election.infer_rank(cfg.cores, cfg.link_mbps, cfg.memory_mb),
            cfg.process,
        )
        # Peers by the address of the session task.
        self.peers: dict[str, election.Peer] = {}
        # Highest epoch and its owner, always from one source.
        self.epoch = 0
        self.owner = ''
        # Epoch that this process has claimed and leads; none while it does
        # not own the jobs, or once a higher epoch is known.
        self._led_epoch: int | None = None
        # Number of records read for the own claim; none without a claim.
        self._claim_progress: int | None = None
        # Whether this process reads the log while a peer owns the jobs.
        self._follows = False
        # Addresses in the last pulse with addresses, and the number of pulses
        # since then, by session.
        self._lists_sent: dict[str, tuple[tuple[str, ...], int]] = {}
        self._config: events.ConfigInForce | None = None
        # Evacuated zones; none before they are known.
        self._evacuation: evacuation.View | None = None
        # Versions of the configuration that the peers have.
        self._relay = config_relay.ConfigRelay()
        # Address of each connected scheduler, by session.
        self._open_sessions: dict[str, str] = {}
        # Time of the last pulse on each session, and the sessions whose peers
        # are being probed.
        self._heard_at: dict[str, float] = {}
        self._probing: set[str] = set()
        self._scanned_at = 0.0
        self._dialer = dialer.Dialer(
            ctx, addresses.PEER_SESSIONS, ctx.cfg.address, ctx.cfg.seeds,
            MAX_PEERS, MAX_DIAL_FAILURES, routes.make_peer_spec,
        )  # fmt: skip
        self._store_answered_at: float | None = None
        # Time at which the owner was lost; none while there is one.
        self._owner_lost_at: float | None = None
        # Time of the owner's last pulse.
        self._owner_pulse_at = 0.0
        self._next_campaign_at = 0.0
        # Time of the last doubt about the owner that was sent to the store.
        self._verified_at = -VERIFY_INTERVAL_S
        # Readiness that the front end was last informed of; none before.
        self._ready: bool | None = None

    @property
    def is_owner(self) -> bool:
        """Return whether this process owns the jobs."""
        return self._led_epoch is not None

    def started(self) -> None:
        """Dial the seeds and start the pulses."""
        self._owner_lost_at = self.now() + election.PEER_DISCOVERY_S
        for target in self.ctx.cfg.seeds:
            self._dialer.dial(target)
        session.query_open_sessions(
            self.ctx,
            self.address,
            {addresses.SESSIONS, addresses.PEER_SESSIONS},
        )
        self.send(addresses.WATCH, events.ConfigQuery(self.address))
        self.post(_Pulse())
        self.after(SCAN_INTERVAL_S, _Scan())

    def dump(self) -> dict[str, typing.Any]:
        """Return the peers and the owner."""
        return {
            **super().dump(),
            'peers': sorted(p.address for p in self.peers.values()),
            'epoch': self.epoch,
            'owner': self.owner,
            'leading': self.is_owner,
        }

    # Connections.

    @task.handles(session.Opened)
    def _on_opened(self, event: session.Opened) -> None:
        hello = event.hello
        if hello.role != 'scheduler':
            return
        if hello.incarnation == self.ctx.incarnation:
            self._dialer.drop_own(event.session)
            return
        if not net_address.is_valid(hello.address):
            self.ctx.metrics.count('address_malformed')
            self.send(event.session, session.Close('address is malformed'))
            return
        self._open_sessions[event.session] = hello.address
        self._heard_at[event.session] = self.now()
        # One session per peer is enough, so a peer that has dialed is not
        # dialed.
        self._dialer.failed[hello.address] = 0
        self._send_pulse(event.session)
        if hello.address == self.owner:
            self._publish_owner()

    @task.handles(session.Closed)
    def _on_closed(self, event: session.Closed) -> None:
        address = self._open_sessions.pop(event.session, None)
        self._heard_at.pop(event.session, None)
        self._probing.discard(event.session)
        self.peers.pop(event.session, None)
        self._relay.record_closed(event.session)
        self._lists_sent.pop(event.session, None)
        if address is None or address != self.owner:
            return
        if self._find_route() == '' and self._owner_lost_at is None:
            self._lose_owner(self.now(), event.reason)
            return
        self._publish_owner()

    @task.handles(session.DialFailed)
    def _on_dial_failed(self, event: session.DialFailed) -> None:
        self._dialer.record_failure(event.target)

    @task.handles(session.SendRefused)
    def _on_send_refused(self, event: session.SendRefused) -> None:
        """Ignore it; the next pulse carries the newest state."""

    @task.handles(events.SchedulersListed)
    def _on_schedulers_listed(self, event: events.SchedulersListed) -> None:
        for target in event.addresses:
            self._dialer.dial(target)

    @task.handles(seeds.SeedsChanged)
    def _on_seeds(self, event: seeds.SeedsChanged) -> None:
        for target in event.addresses:
            self._dialer.dial(target)

    def _list_schedulers(self) -> tuple[str, ...]:
        return tuple(
            sorted({self.ctx.cfg.address, *self._open_sessions.values()})
        )

    # Pulses.

    @task.handles(_Pulse)
    def _on_pulse(self, msg: _Pulse) -> None:
        for name in self._open_sessions:
            self._send_pulse(name)
        self.after(PULSE_INTERVAL_S, _Pulse())

    def _send_pulse(self, name: str) -> None:
        age = self._store_age()
        config = self._config.config if self._config else None
        pulse = messages.Pulse(
            self.epoch,
            self.owner,
            self.is_owner,
            -1 if age is None else int(age * 1000),
            config.version if config else 0,
            self.rank,
            self._choose_addresses(name),
            -1 if self._claim_progress is None else self._claim_progress,
            **evacuation.to_pulse_fields(self._evacuation),
        )
        self.send(name, session.Send(pulse))

    def _choose_addresses(self, name: str) -> tuple[str, ...]:
        """Return the addresses for a pulse; none if the peer has them.

        They would be most of a pulse, and every scheduler sends one to every
        other four times a second.
        """
        current = self._list_schedulers()
        last, pulses = self._lists_sent.get(name, ((), 0))
        if current == last and pulses < PULSES_PER_LIST:
            self._lists_sent[name] = (last, pulses + 1)
            return ()
        self._lists_sent[name] = (current, 0)
        return current

    def _store_age(self) -> float | None:
        return (
            None
            if self._store_answered_at is None
            else self.now() - self._store_answered_at
        )

    @task.handles(session.Received)
    def _on_received(self, event: session.Received) -> None:
        msg = event.msg
        if isinstance(msg, messages.Pulse):
            self._record_pulse(event, msg)
        elif isinstance(msg, messages.OwnerQuery):
            self._reply_to_query(event.session)
        elif isinstance(msg, messages.ConfigRequest):
            if self._config is not None:
                offer = messages.ConfigOffer(
                    self._config.config.version, self._config.body
                )
                self.send(event.session, session.Send(offer))
        elif isinstance(msg, messages.ConfigOffer):
            self.send(addresses.WATCH, events.ConfigReceived(msg.body))
        elif isinstance(msg, messages.Resign):
            if msg.epoch >= self.epoch:
                self.log.info('owner resigned', epoch=msg.epoch)
                self._campaign()

    def _reply_to_query(self, name: str) -> None:
        answer = messages.OwnerReply(
            self.epoch, self.owner if self._owner_lost_at is None else '',
            self._list_schedulers(),
        )  # fmt: skip
        self.send(name, session.Send(answer))

    def _record_pulse(
        self, event: session.Received, msg: messages.Pulse
    ) -> None:
        now = self.now()
        if event.session in self._heard_at:
            self._heard_at[event.session] = now
        age = None if msg.store_age_ms < 0 else msg.store_age_ms / 1000.0
        progress = None if msg.claiming < 0 else msg.claiming
        last = self.peers.get(event.session)
        progressed_at = now
        if last is not None and last.claim_progress == progress:
            progressed_at = last.claim_progressed_at
        self.peers[event.session] = election.Peer(
            event.hello.address, now, age, msg.rank, msg.leading,
            progress, progressed_at,
        )  # fmt: skip
        for target in msg.entries:
            self._dialer.dial(target)
        self._record_leading(msg, event.hello.address, now)
        self._pass_on_evacuation(msg)
        self._relay.record_pulse(event.session, msg.version, now)
        self._request_config(now)

    def _record_leading(
        self, msg: messages.Pulse, sender: str, now: float
    ) -> None:
        """Update the owner with what a pulse says of its own sender.

        What a sender believes of others changes nothing here, and only the
        owner itself renews its time.
        """
        if not msg.leading or msg.epoch < self.epoch:
            return
        if msg.epoch > self.epoch or (
            self._owner_lost_at is not None and not self.is_owner
        ):
            self._owner_pulse_at = now
            self._set_owner(msg.epoch, sender)
        elif sender == self.owner:
            self._owner_pulse_at = now
        else:
            self._verify_owner(now, f'{sender} leads the same epoch')

    def _lose_owner(self, now: float, reason: str) -> None:
        self._owner_lost_at = now
        self.log.warning(
            'owner lost', owner=self.owner, epoch=self.epoch, reason=reason
        )
        self._publish_owner()

    def _verify_owner(self, now: float, reason: str) -> None:
        """Compare the owner with the published claim."""
        if now - self._verified_at < VERIFY_INTERVAL_S or self.is_owner:
            return
        self._verified_at = now
        self.log.warning(
            'owner in doubt', owner=self.owner, epoch=self.epoch, reason=reason
        )
        self.ctx.metrics.count('owner_in_doubt')
        self.send(addresses.OWNER, events.ClaimQuery())

    @task.handles(events.PublishedClaim)
    def _on_published_claim(self, event: events.PublishedClaim) -> None:
        known = (self.epoch, self.owner)
        found = (event.epoch, event.owner)
        if self.is_owner or event.epoch < self.epoch or found == known:
            return
        self.epoch, self.owner = found
        self._next_campaign_at = self.now() + OWNER_DISCOVERY_S
        # The owner of the claim regains its place with its next pulse.
        self._lose_owner(self.now(), 'published claim is of another owner')

    @task.handles(events.RouteUnanswered)
    def _on_route_unanswered(self, event: events.RouteUnanswered) -> None:
        """Doubt an owner that sends pulses and does not reply to calls.

        The session is kept: an owner whose store stalls replies to none.
        """
        if event.route == self._find_route():
            self._verify_owner(self.now(), 'calls are unanswered')

    def _pass_on_evacuation(self, msg: messages.Pulse) -> None:
        found, known = evacuation.from_pulse(msg), self._evacuation
        if found is not None and (
            known is None or found.position > known.position
        ):
            self.send(addresses.WATCH, events.EvacuationReceived(found))

    def _request_config(self, now: float) -> None:
        name = self._relay.choose_peer(now, self._store_age())
        if name:
            self.log.info(
                'configuration requested', peer=name,
                version=self._relay.version,
            )  # fmt: skip
            self.send(name, session.Send(messages.ConfigRequest()))

    # Configuration and store.

    @task.handles(events.ConfigInForce)
    def _on_config(self, event: events.ConfigInForce) -> None:
        self._config = event
        self._relay.record_own(event.config.version, self.now())
        for name in self._open_sessions:
            self._send_pulse(name)

    @task.handles(events.EvacuationInForce)
    def _on_evacuation(self, event: events.EvacuationInForce) -> None:
        self._evacuation = evacuation.merge(self._evacuation, event.view)
        for name in self._open_sessions:
            self._send_pulse(name)

    @task.handles(events.EvacuationQuery)
    def _on_evacuation_query(self, event: events.EvacuationQuery) -> None:
        if self._evacuation is not None:
            view = self._evacuation
            self.send(addresses.WATCH, events.EvacuationReceived(view))

    @task.handles(events.StoreAnswered)
    def _on_store_answered(self, event: events.StoreAnswered) -> None:
        self._store_answered_at = self.now()

    # Ownership.

    @task.handles(_Scan)
    def _on_scan(self, msg: _Scan) -> None:
        now = self.now()
        self.after(SCAN_INTERVAL_S, _Scan())
        self._probe_silent_peers(now)
        self._request_config(now)
        if self.is_owner:
            return
        self._update_follows(now)
        silent = now - self._owner_pulse_at > election.OWNER_TIMEOUT_S
        if self._owner_lost_at is None and silent:
            self._owner_lost_at = now
            self.log.warning('owner silent', owner=self.owner)
            self._publish_owner()
        if self._owner_lost_at is None or now < self._next_campaign_at:
            return
        if election.should_claim(
            now, self._owner_lost_at, self._store_age(), self._peer_list(),
            self.rank,
        ):  # fmt: skip
            self._campaign()

    def _probe_silent_peers(self, now: float) -> None:
        if now - self._scanned_at >= SUSPENDED_S:
            # The pulses that came meanwhile have not been read yet.
            self._heard_at = dict.fromkeys(self._heard_at, now)
        self._scanned_at = now
        for name, heard_at in self._heard_at.items():
            address = self._open_sessions[name]
            limit_s = (
                election.OWNER_TIMEOUT_S
                if address == self.owner
                else PEER_SILENT_S
            )
            if now - heard_at > limit_s and name not in self._probing:
                self._probing.add(name)
                self.send(addresses.PROBER, probe.Probe(name, address))

    @task.handles(probe.ProbeEnded)
    def _on_probe_ended(self, event: probe.ProbeEnded) -> None:
        """Replace a silent session if a new connection can be made."""
        name = event.session
        self._probing.discard(name)
        heard_at = self._heard_at.get(name)
        if heard_at is None or not event.connected:
            return
        silent_s = self.now() - heard_at
        if silent_s <= election.OWNER_TIMEOUT_S:
            return
        address = self._open_sessions[name]
        self.log.warning(
            'session silent', peer=address, silent_s=round(silent_s, 3)
        )
        # If the close hangs, it is probed and closed again.
        self._heard_at[name] = self.now()
        if list(self._open_sessions.values()).count(address) > 1:
            self._dialer.stop_dialing(name)
        else:
            self._dialer.replace(name, address)
        self.send(name, session.Close('silent'))

    def _update_follows(self, now: float) -> None:
        follows = self._owner_lost_at is None and election.should_follow(
            self._peer_list(), self.rank, now
        )
        if follows != self._follows:
            self._follows = follows
            self.send(addresses.OWNER, events.Follow(follows))

    def _peer_list(self) -> list[election.Peer]:
        return list({p.address: p for p in self.peers.values()}.values())

    def _campaign(self) -> None:
        if self.is_owner:
            return
        self._next_campaign_at = self.now() + election.OWNER_TIMEOUT_S
        self.send(addresses.OWNER, events.Campaign(self.epoch))

    def _set_owner(self, epoch: int, owner: str) -> None:
        self.log.info('owner changed', epoch=epoch, owner=owner)
        self.epoch, self.owner = epoch, owner
        self._owner_lost_at = None
        if self._led_epoch is not None and epoch > self._led_epoch:
            # The claim of the higher epoch is durable, so nothing that this
            # process decides can be stored any more.
            self._led_epoch = None
            self.send(addresses.OWNER, events.StepDown())
        self._publish_owner()

    @task.handles(events.ClaimProgress)
    def _on_claim_progress(self, event: events.ClaimProgress) -> None:
        begun = self._claim_progress is None
        self._claim_progress = event.records_read
        if begun:
            for name in self._open_sessions:
                self._send_pulse(name)

    @task.handles(events.OwnershipGained)
    def _on_ownership_gained(self, event: events.OwnershipGained) -> None:
        self._claim_progress = None
        if event.epoch < self.epoch:
            # A higher epoch became known while the claim was made.
            self.send(addresses.OWNER, events.StepDown())
            return
        self._led_epoch = event.epoch
        self.epoch, self.owner = event.epoch, self.ctx.cfg.address
        self._owner_lost_at = None
        for name in self._open_sessions:
            self._send_pulse(name)
        self._publish_owner()

    @task.handles(events.NotOwner)
    def _on_not_owner(self, event: events.NotOwner) -> None:
        """Store the newest claim as the owner task has read it."""
        was_owner, self._led_epoch = self.is_owner, None
        self._claim_progress = None
        # An owner task that was restarted has to be told again.
        self._follows = False
        if event.epoch < self.epoch:
            # The owner of a higher epoch has been heard of meanwhile, or the
            # log could not be read that far.
            self._next_campaign_at = self.now() + OWNER_DISCOVERY_S
            self._publish_owner()
            return
        known = (event.epoch, event.owner) == (self.epoch, self.owner)
        self.epoch, self.owner = event.epoch, event.owner
        if was_owner or (self._owner_lost_at is None and not known):
            self._owner_lost_at = self.now()
        if event.was_own:
            # The owner of the newest claim was an earlier incarnation of
            # this process, so no running owner is displaced. If all processes
            # have restarted, this saves the election, 0.6 s.
            self.log.info('claiming again after restart', epoch=event.epoch)
            self._campaign()
            return
        # The owner of a claim that was unknown may be running; it gets time
        # to send a pulse.
        self._next_campaign_at = self.now() + OWNER_DISCOVERY_S
        if self.owner and self.owner != self.ctx.cfg.address:
            self._dialer.dial(self.owner)
        self._publish_owner()

    @task.handles(events.OwnerStalled)
    def _on_stalled(self, event: events.OwnerStalled) -> None:
        """Hand the ownership over to a peer that reaches the store, if any."""
        if not self.is_owner:
            return
        best = election.choose_successor(self._peer_list(), self.now())
        if best is None:
            return
        for name, peer in self.peers.items():
            if peer.address == best.address:
                self.log.warning('handing ownership over', to=best.address)
                resign = messages.Resign(event.epoch)
                self.send(name, session.Send(resign))
                break
        self.send(addresses.OWNER, events.StepDown())

    @task.handles(events.Stopping)
    def _on_stopping(self, event: events.Stopping) -> None:
        if self._led_epoch is not None:
            self.post(events.OwnerStalled(self._led_epoch))

    def _find_route(self) -> str:
        """Return where calls for the owner go; empty for nowhere."""
        if self.is_owner:
            return addresses.OWNER
        if self._owner_lost_at is not None:
            return ''
        return next(
            (
                n
                for n, addr in self._open_sessions.items()
                if addr == self.owner
            ),
            '',
        )

    def _publish_owner(self) -> None:
        route = self._find_route()
        self.send(addresses.CALLS, events.OwnerRouteChanged(self.epoch, route))
        ready = bool(route)
        if ready != self._ready:
            self._ready = ready
            self.send(addresses.FRONT, events.ReadyChanged(ready))
