"""Check what schedulers believe of the owner of the jobs, and that it ends."""

import scheduler_harness

from kcr_core import message_base
from kcr_core import types as core_types
from kcr_jobs import election
from kcr_jobs import messages
from kcr_runtime.wire import session
from kcr_scheduler import addresses
from kcr_scheduler import events
from kcr_scheduler.fleet import mesh

PLACE = core_types.Place('x', 'x', 'x', 'n')
TASKS = (
    addresses.WATCH, addresses.CALLS, addresses.FRONT, addresses.SESSIONS,
    addresses.PEER_SESSIONS, addresses.PROBER, addresses.OWNER,
)  # fmt: skip
NAMES = ('a', 'b', 'c')
ADDRESSES = {name: f'127.0.0.{n}:1' for n, name in enumerate(NAMES, 1)}
HELLOS = {
    name: message_base.Hello(
        1, 'scheduler', name, f'{name}-1', PLACE, address=address
    )
    for name, address in ADDRESSES.items()
}


class Scheduler:
    """Run the mesh task of one scheduler; its owner task is a recorder."""

    def __init__(self, name: str) -> None:
        self.name = name
        peers = [other for other in NAMES if other != name]
        self.harness = scheduler_harness.Harness(*TASKS, *peers)
        cfg = self.harness.ctx.cfg
        cfg.process, cfg.address = name, ADDRESSES[name]
        self.mesh = mesh.Mesh(self.harness.ctx, addresses.MESH)
        self.mesh.begin()
        for peer in peers:
            self.post(session.Opened(peer, HELLOS[peer]))

    def post(self, msg: object) -> None:
        """Post a message to the mesh task."""
        self.harness.post(addresses.MESH, msg)

    @property
    def believed(self) -> tuple[int, str]:
        """Return the epoch and the owner that the scheduler believes in."""
        return self.mesh.epoch, self.mesh.owner

    def hear(self, sender: 'Scheduler') -> None:
        """Deliver the newest pulse of another scheduler."""
        outbox = sender.harness.recorders[self.name]
        pulses = [
            sent.msg
            for sent in outbox.pop_all(session.Send)
            if isinstance(sent.msg, messages.Pulse)
        ]
        if pulses:
            hello = HELLOS[sender.name]
            self.post(session.Received(sender.name, hello, pulses[-1]))

    def pop_owner(self, kind: type) -> list[object]:
        """Return the messages of a kind that the owner task has got."""
        return list(self.harness.recorders[addresses.OWNER].pop_all(kind))


def make_schedulers() -> tuple[Scheduler, Scheduler, Scheduler]:
    """Return three schedulers; `a` owns the jobs in epoch 1."""
    a, b, c = (Scheduler(name) for name in NAMES)
    a.post(events.OwnershipGained(1))
    for other in (b, c):
        other.hear(a)
        assert other.believed == (1, ADDRESSES['a'])
    return a, b, c


def advance(*schedulers: Scheduler) -> None:
    """Let one pulse interval pass."""
    for each in schedulers:
        each.harness.advance(mesh.PULSE_INTERVAL_S)


def test_former_owner_does_not_lead_the_epoch_of_the_next() -> None:
    """Guard against a scheduler that follows a deposed owner for good.

    The deposed one had heard of the next epoch and not yet of its own end.
    """
    a, b, c = make_schedulers()
    c.post(events.OwnershipGained(2))
    a.hear(c)
    advance(a, b, c)
    b.hear(a)
    assert b.believed != (2, ADDRESSES['a'])
    b.hear(c)
    assert b.believed == (2, ADDRESSES['c'])
    for _ in range(8):
        advance(a, b, c)
        b.hear(a)
        b.hear(c)
        assert b.believed == (2, ADDRESSES['c'])


def test_owner_that_hears_of_a_higher_epoch_steps_down() -> None:
    """Guard against an owner that goes on until its next append fails."""
    a, _, c = make_schedulers()
    c.post(events.OwnershipGained(2))
    a.hear(c)
    assert len(a.pop_owner(events.StepDown)) == 1
    assert not a.mesh.is_owner
    # The owner task reports its end, with the epoch of its own claim.
    a.post(events.NotOwner(1, ''))
    assert a.believed == (2, ADDRESSES['c'])
    routes = a.harness.recorders[addresses.CALLS].pop_all(
        events.OwnerRouteChanged
    )
    assert routes[-1] == events.OwnerRouteChanged(2, 'c')


def test_claim_that_is_older_than_a_known_epoch_is_not_led() -> None:
    """Guard against two owners once a claim ends late."""
    a, b, c = make_schedulers()
    c.post(events.OwnershipGained(3))
    b.hear(c)
    b.post(events.OwnershipGained(2))
    assert not b.mesh.is_owner
    assert len(b.pop_owner(events.StepDown)) == 1
    assert b.believed == (3, ADDRESSES['c'])


def lead(name: str, epoch: int) -> session.Received:
    """Return a pulse with which a scheduler says that it leads an epoch."""
    pulse = messages.Pulse(epoch, ADDRESSES[name], True, 10, 0, (-9, name))
    return session.Received(name, HELLOS[name], pulse)


def test_pulse_of_another_does_not_renew_the_owner() -> None:
    """Guard against a belief that pulses of any sender keep alive."""
    _, b, _ = make_schedulers()
    for _ in range(round(1.5 * election.OWNER_TIMEOUT_S / 0.25)):
        b.harness.advance(0.25)
        b.post(lead('c', 1))
    assert b.believed == (1, ADDRESSES['c'])


def test_two_owners_of_one_epoch_are_resolved_from_the_store() -> None:
    """Guard against a contradiction that nobody looks into."""
    _, b, _ = make_schedulers()
    b.post(lead('c', 1))
    assert b.believed == (1, ADDRESSES['a'])
    assert len(b.pop_owner(events.ClaimQuery)) == 1
    b.post(lead('c', 1))
    assert b.pop_owner(events.ClaimQuery) == []
    b.post(events.PublishedClaim(1, ADDRESSES['c']))
    b.post(lead('c', 1))
    routes = b.harness.recorders[addresses.CALLS].pop_all(
        events.OwnerRouteChanged
    )
    assert routes[-1] == events.OwnerRouteChanged(1, 'c')


def test_owner_that_answers_no_call_is_compared_with_the_store() -> None:
    """Guard against a route whose calls go unanswered while pulses come."""
    a, b, _ = make_schedulers()
    b.post(events.RouteUnanswered('c'))
    assert b.pop_owner(events.ClaimQuery) == []
    b.post(events.RouteUnanswered('a'))
    assert len(b.pop_owner(events.ClaimQuery)) == 1
    b.post(events.PublishedClaim(1, ADDRESSES['a']))
    assert b.mesh.dump()['owner'] == ADDRESSES['a']
    b.post(events.PublishedClaim(2, ADDRESSES['c']))
    advance(a, b)
    b.hear(a)
    assert b.believed == (2, ADDRESSES['c'])


def test_former_owner_that_stops_resigns_its_own_epoch_alone() -> None:
    """Guard against a handover of an epoch that another process leads."""
    a, b, c = make_schedulers()
    c.post(events.OwnershipGained(2))
    a.hear(c)
    a.post(events.Stopping())
    a.harness.advance(0.1)
    sent = a.harness.recorders['b'].pop_all(session.Send)
    assert not [s for s in sent if isinstance(s.msg, messages.Resign)]
    b.hear(c)
    b.post(session.Received('a', HELLOS['a'], messages.Resign(1)))
    assert b.pop_owner(events.Campaign) == []
