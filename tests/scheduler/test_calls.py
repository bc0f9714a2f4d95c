"""Check that calls reach the owner, also across a change of owner."""

import scheduler_world

from kcr_jobs import messages
from kcr_runtime import query
from kcr_runtime.wire import session
from kcr_scheduler import addresses
from kcr_scheduler import events
from kcr_scheduler.work import calls


def make() -> tuple[scheduler_world.Bench, calls.Calls]:
    """Return the task with recorders for two owners."""
    bench = scheduler_world.Bench('front', 'p1', 'p2', addresses.OWNER)
    made = calls.Calls(bench.ctx, addresses.CALLS)
    made.begin()
    return bench, made


def put(bench: scheduler_world.Bench, limit_s: float = 3.0) -> None:
    """Ask for the state of a job."""
    call = calls.Call('state', 'q', 'j', None, limit_s)
    bench.post(addresses.CALLS, query.Query('t', 'front', call))


def answers(bench: scheduler_world.Bench) -> list[str]:
    """Return the outcomes that the front end got."""
    found = bench.nodes['front'].take(query.Reply)
    return [answer.value.outcome for answer in found]


def test_call_without_an_owner_is_refused_soon() -> None:
    """Guard against callers that wait through an election."""
    bench, _ = make()
    put(bench)
    assert answers(bench) == []
    bench.advance(0.25)
    assert answers(bench) == ['refused']


def test_call_is_sent_again_to_the_next_owner() -> None:
    """Guard against a call that dies with the owner it was sent to."""
    bench, _ = make()
    bench.post(addresses.CALLS, events.OwnerKnown(1, 'p1'))
    put(bench)
    assert bench.nodes['p1'].take(session.Send)
    bench.post(addresses.CALLS, events.OwnerKnown(1, ''))
    bench.advance(0.5)
    assert answers(bench) == []
    bench.post(addresses.CALLS, events.OwnerKnown(2, 'p2'))
    sent = bench.nodes['p2'].take(session.Send)
    reply = messages.JobReply(sent[0].msg.token, 'known', 'running')
    bench.post(addresses.CALLS, reply)
    assert answers(bench) == ['known']


def test_sent_call_without_an_answer_is_unknown_not_refused() -> None:
    """Guard against saying that a job was refused when it may be accepted."""
    bench, _ = make()
    bench.post(addresses.CALLS, events.OwnerKnown(1, 'p1'))
    put(bench, limit_s=1.5)
    bench.advance(2.0)
    assert answers(bench) == ['unknown']


def test_late_reply_is_not_given_to_another_call() -> None:
    """Guard against an answer that reaches the wrong caller."""
    bench, _ = make()
    bench.post(addresses.CALLS, events.OwnerKnown(1, 'p1'))
    put(bench, limit_s=0.5)
    token = bench.nodes['p1'].take(session.Send)[0].msg.token
    bench.advance(0.7)
    assert answers(bench) == ['unknown']
    put(bench)
    bench.post(addresses.CALLS, messages.JobReply(token, 'known', 'queued'))
    assert answers(bench) == []
