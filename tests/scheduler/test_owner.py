"""Check that the owner writes before it acts and steps down when replaced."""

import dataclasses

import scheduler_harness

from kcr_core import message_base
from kcr_core import types as core_types
from kcr_jobs import config
from kcr_jobs import evacuation
from kcr_jobs import messages
from kcr_jobs import records
from kcr_jobs import types
from kcr_runtime.wire import session
from kcr_scheduler import addresses
from kcr_scheduler import events
from kcr_scheduler.work import codec
from kcr_scheduler.work import job_log
from kcr_scheduler.work import owner

SPEC = types.JobSpec(
    'j', types.Queue('q', 'svc'), 'p', (types.Step(1, types.Demand(10, 10)),)
)
PLACE = core_types.Place('x', 'x', 'x', 'n')
HELLO = message_base.Hello(1, 'agent', 'n', 'i', PLACE)


def make(
    shared: scheduler_harness.FakeStore | None = None,
) -> tuple[scheduler_harness.Harness, owner.Owner]:
    """Return the owner task after a request to claim the jobs."""
    harness = scheduler_harness.Harness(
        addresses.MESH, addresses.CALLS, 's', shared=shared
    )
    made = owner.Owner(harness.ctx, addresses.OWNER)
    made.begin()
    harness.advance(0.0)
    found = harness.recorders[addresses.MESH].pop_all(events.NotOwner)
    epoch = found[-1].epoch if found else 0
    harness.post(addresses.OWNER, events.Campaign(epoch))
    return harness, made


def submit(harness: scheduler_harness.Harness, job_id: str = 'j') -> None:
    """Submit a job from the same process."""
    spec = types.JobSpec(job_id, SPEC.queue, SPEC.payload, SPEC.steps)
    call = messages.JobCall('t', 'submit', 'q', job_id, spec)
    harness.post(addresses.OWNER, events.LocalCall(call))


def replies(harness: scheduler_harness.Harness) -> list[str]:
    """Return the outcomes of the replies."""
    found = harness.recorders[addresses.CALLS].pop_all(messages.JobReply)
    return [reply.outcome for reply in found]


def accepted(shared: scheduler_harness.FakeStore) -> list[str]:
    """Return the jobs that are accepted in the store."""
    return [
        rec.spec.job_id
        for data in shared.partitions[job_log.TOPIC]
        for rec in codec.decode(data)[1]
        if isinstance(rec, records.Accepted)
    ]


def test_claim_makes_an_owner() -> None:
    """Guard against an owner whose claim is not durable."""
    harness, made = make()
    assert made.phase == 'leading'
    assert (
        harness.recorders[addresses.MESH]
        .pop_all(events.OwnershipGained)[0]
        .epoch
        == 1
    )
    assert len(harness.store.partitions[job_log.TOPIC]) == 1


def test_second_claim_deposes_the_first_owner() -> None:
    """Guard against two owners that both accept jobs."""
    first, old = make()
    second, new = make(first.store)
    assert new.phase == 'leading'
    submit(second)
    second.advance(0.1)
    assert replies(second) == ['accepted']
    submit(first, 'k')
    first.advance(0.2)
    assert old.phase == 'idle'
    assert replies(first) == []
    assert accepted(first.store) == ['j']


def test_claim_of_another_is_respected() -> None:
    """Guard against displacing an owner that does not count as failed."""
    first, _ = make()
    harness = scheduler_harness.Harness(addresses.MESH, shared=first.store)
    late = owner.Owner(harness.ctx, addresses.OWNER)
    late.begin()
    harness.post(addresses.OWNER, events.Campaign(0))
    assert late.phase == 'idle'
    received = harness.recorders[addresses.MESH].pop_all(events.NotOwner)
    assert received[-1].epoch == 1


def test_lost_answer_does_not_write_twice() -> None:
    """Guard against a job that is accepted twice by a repeated append."""
    harness, _ = make()
    harness.store.faults.extend(['lost', 'refused'])
    submit(harness)
    harness.advance(0.5)
    assert replies(harness) == ['accepted']
    assert accepted(harness.store) == ['j']


def test_append_that_is_carried_out_late_has_no_second_effect() -> None:
    """Guard against an old append that takes effect after newer ones."""
    harness, made = make()
    harness.store.faults.append('late')
    submit(harness)
    harness.advance(0.5)
    harness.store.apply_late_appends()
    submit(harness, 'k')
    harness.advance(0.5)
    assert accepted(harness.store) == ['j', 'k']
    assert made.phase == 'leading'


def test_job_is_refused_at_once_while_the_store_is_unreachable() -> None:
    """Guard against callers that wait for an append that can't be made."""
    harness, _ = make()
    harness.store.faults.extend(['refused'] * 100)
    submit(harness)
    harness.advance(1.0)
    assert replies(harness) == []
    submit(harness, 'k')
    assert replies(harness) == ['refused']
    harness.store.faults.clear()
    harness.advance(0.5)
    assert replies(harness) == ['accepted']
    assert accepted(harness.store) == ['j']


def test_stalled_owner_asks_for_a_successor() -> None:
    """Guard against an owner that keeps jobs waiting while peers can write."""
    harness, made = make()
    harness.store.faults.extend(['refused'] * 100)
    submit(harness)
    harness.advance(1.5)
    assert harness.recorders[addresses.MESH].pop_all(events.OwnerStalled)
    harness.post(addresses.OWNER, events.StepDown())
    assert made.phase == 'idle'


def test_lease_shrinks_while_the_owner_can_not_write() -> None:
    """Guard against leases granted by an owner that may be replaced."""
    harness, _ = make()
    info = types.RunnerInfo('i', 1, 'svc', 'z', types.Demand(100, 100))
    attach = messages.Attach('n', info)
    harness.post(addresses.OWNER, session.Received('s', HELLO, attach))
    sent = [s.msg for s in harness.recorders['s'].pop_all(session.Send)]
    token = sent[0].token
    harness.store.faults.extend(['refused'] * 1000)
    granted = []
    for seq in range(1, 9):
        harness.advance(1.0)
        report = messages.RunnerReport(token, seq, info, True, (), ())
        harness.post(addresses.OWNER, session.Received('s', HELLO, report))
        acks = [s.msg for s in harness.recorders['s'].pop_all(session.Send)]
        granted += [
            a.lease_ms
            for a in acks
            if isinstance(a, messages.RunnerReportAck) and a.seq == seq
        ]
    assert granted == sorted(granted, reverse=True)
    assert granted[-1] == 0


def test_call_to_a_process_that_does_not_own_is_returned() -> None:
    """Guard against a call that waits at a process that can't handle it."""
    harness = scheduler_harness.Harness(addresses.MESH, addresses.CALLS)
    made = owner.Owner(harness.ctx, addresses.OWNER)
    made.begin()
    submit(harness)
    assert replies(harness) == ['not_owner']


def test_replaced_owner_does_not_deny_jobs_of_its_successor() -> None:
    """Guard against an owner that was suspended and answers from memory.

    It does not know the jobs that its successor has accepted, and told their
    callers that they don't exist.
    """
    first, _ = make()
    second, _ = make(first.store)
    submit(second)
    second.advance(0.1)
    assert replies(second) == ['accepted']
    for verb in ('state', 'cancel'):
        call = messages.JobCall('t', verb, 'q', 'j')
        first.post(addresses.OWNER, events.LocalCall(call))
    first.advance(0.2)
    assert 'unknown_job' not in replies(first)


def test_hand_over_leaves_no_order_of_the_former_owner() -> None:
    """Guard against two processes that both send orders for a moment.

    The former owner has orders that wait for the log when it steps down.
    """
    harness, made = make()
    info = types.RunnerInfo('i', 1, 'svc', 'z', types.Demand(100, 100))
    attach = messages.Attach('n', info)
    harness.post(addresses.OWNER, session.Received('s', HELLO, attach))
    token = harness.recorders['s'].pop_all(session.Send)[0].msg.token
    report = messages.RunnerReport(token, 1, info, True, (), ())
    harness.post(addresses.OWNER, session.Received('s', HELLO, report))
    harness.advance(0.1)
    harness.store.faults.extend(['late'] * 3)
    submit(harness)
    harness.post(addresses.OWNER, events.StepDown())
    harness.store.apply_late_appends()
    harness.advance(2.0)
    sent = [s.msg for s in harness.recorders['s'].pop_all(session.Send)]
    assert not any(isinstance(msg, messages.StartRun) for msg in sent)
    assert made.phase == 'idle'


def attach(harness: scheduler_harness.Harness) -> None:
    """Attach a runner in zone z and deliver its first report."""
    info = types.RunnerInfo('i', 1, 'svc', 'z', types.Demand(100, 100))
    msg = messages.Attach('n', info)
    harness.post(addresses.OWNER, session.Received('s', HELLO, msg))
    token = harness.recorders['s'].pop_all(session.Send)[0].msg.token
    report = messages.RunnerReport(token, 1, info, True, (), ())
    harness.post(addresses.OWNER, session.Received('s', HELLO, report))


def count_starts(harness: scheduler_harness.Harness) -> int:
    """Return the number of starts that were ordered."""
    harness.advance(0.5)
    sent = [s.msg for s in harness.recorders['s'].pop_all(session.Send)]
    return sum(isinstance(msg, messages.StartRun) for msg in sent)


def put_evacuation(
    harness: scheduler_harness.Harness, offset: int, *zones: str
) -> None:
    """Deliver a view of the evacuated zones."""
    view = evacuation.View(offset, frozenset(zones))
    harness.post(addresses.OWNER, events.EvacuationInForce(view))


def test_owner_that_dies_during_an_evacuation_leaves_it_in_force() -> None:
    """Guard against a successor that starts in the zone.

    It has its own view, and starts nothing before it has one.
    """
    first, _ = make()
    put_evacuation(first, 4, 'z')
    submit(first)
    attach(first)
    assert count_starts(first) == 0
    second, made = make(first.store)
    attach(second)
    assert count_starts(second) == 0
    put_evacuation(second, 4, 'z')
    assert count_starts(second) == 0
    assert made.dump()['evacuation']['zones'] == ['z']
    assert made.dump()['evacuation']['offset'] == 4
    # A view of an older offset, as of a restarted watch task, has no effect.
    put_evacuation(second, 3)
    assert count_starts(second) == 0
    put_evacuation(second, 5)
    assert count_starts(second) == 1


def test_view_from_before_the_claim_is_used() -> None:
    """Guard against a new owner that waits for a change of the zones."""
    harness = scheduler_harness.Harness(
        addresses.MESH, addresses.CALLS, addresses.WATCH, 's'
    )
    owner.Owner(harness.ctx, addresses.OWNER).begin()
    harness.advance(0.0)
    queries = harness.recorders[addresses.WATCH].pop_all(events.ConfigQuery)
    assert [query.sender for query in queries] == [addresses.OWNER]
    put_evacuation(harness, 0)
    harness.post(addresses.OWNER, events.Campaign(0))
    submit(harness)
    attach(harness)
    assert count_starts(harness) == 1


def test_published_rules_reach_the_controller() -> None:
    """Guard against regions and cold starts that the owner ignores."""
    scheduler_harness.Config.zone_regions = ('z=r1',)
    harness = scheduler_harness.Harness(addresses.MESH, addresses.CALLS, 's')
    running = owner.Owner(harness.ctx, addresses.OWNER)
    running.begin()
    scheduler_harness.Config.zone_regions = ()
    put_evacuation(harness, 0)
    for version, region, starts in ((1, 'r2', 0), (2, 'r1', 1)):
        queue = types.Queue('q', 'svc', allowed_regions=(region,))
        made = config.Config(
            version, {'h': (config.Route('h', '/', queue),)},
            services={'svc': config.Service(8.0, version)},
        )  # fmt: skip
        harness.post(addresses.OWNER, events.ConfigInForce(made, b''))
        if version == 1:
            harness.post(addresses.OWNER, events.Campaign(0))
            submit(harness)
            attach(harness)
        assert count_starts(harness) == starts
        assert running.controller is not None
        rules = running.controller.conditions.cold_rules
        assert rules.find_rate('svc') == version


def test_cancel_has_a_route_if_the_owner_knows_it() -> None:
    """Guard against a cancel that gets 404 from a scheduler behind others.

    The queue has moved since the submission, and the version with its new
    path has reached the owner only.
    """
    harness, _ = make()
    queue = SPEC.queue
    route = config.Route('h', '/new/', queue)
    cfg = config.Config(4, {'h': (route,)})
    spec = dataclasses.replace(SPEC, base_url='h/old/')
    call = messages.JobCall('t', 'submit', 'q', 'j', spec)
    harness.post(addresses.OWNER, events.LocalCall(call))
    harness.advance(0.1)
    assert replies(harness) == ['accepted']
    call = messages.JobCall('t', 'cancel', '', 'j', base_url='h/new/')
    harness.post(addresses.OWNER, events.LocalCall(call))
    harness.advance(0.1)
    assert replies(harness) == ['no_route']
    harness.post(addresses.OWNER, events.ConfigInForce(cfg, b''))
    harness.post(addresses.OWNER, events.LocalCall(call))
    harness.advance(0.1)
    assert replies(harness) == ['cancelled']
