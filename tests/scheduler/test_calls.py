"""Check that calls reach the owner, also across a change of owner."""

import pytest
import scheduler_harness

from kcr_core import message_base
from kcr_core import types as core_types
from kcr_jobs import messages
from kcr_jobs import types
from kcr_jobs import unconfirmed_cancels
from kcr_runtime import query
from kcr_runtime.wire import codec
from kcr_runtime.wire import session
from kcr_scheduler import addresses
from kcr_scheduler import events
from kcr_scheduler.work import calls


PLACE = core_types.Place('x', 'x', 'x', 'n')
HELLO = message_base.Hello(1, 'scheduler', 'o', 'i', PLACE)


def make() -> tuple[scheduler_harness.Harness, calls.Calls]:
    """Return the calls task and recorders for the sessions of two owners."""
    harness = scheduler_harness.Harness('front', 'p1', 'p2', addresses.OWNER)
    made = calls.Calls(harness.ctx, addresses.CALLS)
    made.begin()
    return harness, made


def query_state(
    harness: scheduler_harness.Harness, timeout_s: float = 3.0
) -> None:
    """Query the state of a job."""
    call = calls.Call('state', 'q', 'j', None, timeout_s)
    harness.post(addresses.CALLS, query.Query('t', 'front', call))


def answers(harness: scheduler_harness.Harness) -> list[str]:
    """Return the outcomes that the front end received."""
    found = harness.recorders['front'].pop_all(query.Reply)
    return [answer.value.outcome for answer in found]


def test_call_without_an_owner_is_refused_soon() -> None:
    """Guard against callers that wait until an election has ended."""
    harness, _ = make()
    query_state(harness)
    assert answers(harness) == []
    harness.advance(0.25)
    assert answers(harness) == ['refused']


def test_callers_without_an_owner_do_not_return_together() -> None:
    """Guard against a wave of calls at the owner after its election."""
    harness, _ = make()
    for number in range(50):
        call = calls.Call('state', 'q', f'job{number}', None, 3.0)
        harness.post(addresses.CALLS, query.Query('t', 'front', call))
    harness.advance(0.25)
    found = harness.recorders['front'].pop_all(query.Reply)
    seconds = [round(answer.value.number / 1000) for answer in found]
    assert len(seconds) == 50
    assert min(seconds) >= 1 and len(set(seconds)) > 2


def test_call_is_sent_again_to_the_next_owner() -> None:
    """Guard against a call that is lost with the owner it was sent to."""
    harness, _ = make()
    harness.post(addresses.CALLS, events.OwnerRouteChanged(1, 'p1'))
    query_state(harness)
    assert harness.recorders['p1'].pop_all(session.Send)
    harness.post(addresses.CALLS, events.OwnerRouteChanged(1, ''))
    harness.advance(0.5)
    assert answers(harness) == []
    harness.post(addresses.CALLS, events.OwnerRouteChanged(2, 'p2'))
    sent = harness.recorders['p2'].pop_all(session.Send)
    reply = messages.JobReply(sent[0].msg.token, 'known', 'running')
    harness.post(addresses.CALLS, reply)
    assert answers(harness) == ['known']


def test_sent_call_without_an_answer_is_unknown_not_refused() -> None:
    """Guard against reporting a job as refused that may be accepted."""
    harness, _ = make()
    harness.post(addresses.CALLS, events.OwnerRouteChanged(1, 'p1'))
    query_state(harness, timeout_s=1.5)
    harness.advance(2.0)
    assert answers(harness) == ['unknown']


def test_late_reply_is_not_given_to_another_call() -> None:
    """Guard against an answer that reaches the wrong caller."""
    harness, _ = make()
    harness.post(addresses.CALLS, events.OwnerRouteChanged(1, 'p1'))
    query_state(harness, timeout_s=0.5)
    token = harness.recorders['p1'].pop_all(session.Send)[0].msg.token
    harness.advance(0.7)
    assert answers(harness) == ['unknown']
    query_state(harness)
    harness.post(addresses.CALLS, messages.JobReply(token, 'known', 'queued'))
    assert answers(harness) == []


def submit(harness: scheduler_harness.Harness, timeout_s: float) -> None:
    """Submit a job."""
    spec = types.JobSpec('j', types.Queue('q', 'svc'), 'p', (types.Step(1),))
    call = calls.Call('submit', 'q', 'j', spec, timeout_s)
    harness.post(addresses.CALLS, query.Query('t', 'front', call))


def test_retry_of_an_unanswered_submission_is_not_refused() -> None:
    """Guard against a caller that is told that its accepted job never runs.

    The owner had accepted the job and was killed before it replied.
    """
    harness, _ = make()
    harness.post(addresses.CALLS, events.OwnerRouteChanged(1, 'p1'))
    submit(harness, timeout_s=0.3)
    harness.advance(0.5)
    assert answers(harness) == ['unknown']
    harness.post(addresses.CALLS, events.OwnerRouteChanged(1, ''))
    submit(harness, timeout_s=3.0)
    harness.advance(0.5)
    assert answers(harness) == ['unknown']


def test_submission_that_the_owner_refuses_is_refused() -> None:
    """Guard against jobs that stay in doubt although the owner knows."""
    harness, _ = make()
    harness.post(addresses.CALLS, events.OwnerRouteChanged(1, 'p1'))
    submit(harness, timeout_s=0.3)
    harness.advance(0.5)
    submit(harness, timeout_s=3.0)
    sent = harness.recorders['p1'].pop_all(session.Send)
    reply = messages.JobReply(sent[-1].msg.token, 'refused', 'full', 1000)
    harness.post(addresses.CALLS, reply)
    assert answers(harness) == ['unknown', 'refused']


def sent_tokens(harness: scheduler_harness.Harness, route: str) -> list[str]:
    """Return the tokens of the calls that were sent over a session."""
    found = harness.recorders[route].pop_all(session.Send)
    return [sent.msg.token for sent in found]


def reply_to(
    harness: scheduler_harness.Harness, token: str, outcome: str
) -> None:
    """Deliver a reply of an owner."""
    reply = messages.JobReply(token, outcome, 'store does not answer', 1000)
    harness.post(addresses.CALLS, reply)


def test_refusal_of_a_former_owner_does_not_refuse_the_job() -> None:
    """Guard against a refused job that the next owner has accepted.

    The submission was sent again to the next owner while the refusal of the
    former one was under way (REFUSED on mouldhub-fj-grown).
    """
    harness, _ = make()
    harness.post(addresses.CALLS, events.OwnerRouteChanged(1, 'p1'))
    submit(harness, timeout_s=3.0)
    first = sent_tokens(harness, 'p1')[0]
    harness.post(addresses.CALLS, events.OwnerRouteChanged(1, ''))
    harness.post(addresses.CALLS, events.OwnerRouteChanged(2, 'p2'))
    second = sent_tokens(harness, 'p2')[0]
    reply_to(harness, first, 'refused')
    assert answers(harness) == []
    reply_to(harness, second, 'accepted')
    assert answers(harness) == ['accepted']


def test_refusal_before_a_repeat_does_not_refuse_the_job() -> None:
    """Guard against the same with one owner, whose store answers again."""
    harness, _ = make()
    harness.post(addresses.CALLS, events.OwnerRouteChanged(1, 'p1'))
    submit(harness, timeout_s=3.0)
    harness.advance(1.1)
    first, second = sent_tokens(harness, 'p1')
    reply_to(harness, first, 'refused')
    assert answers(harness) == []
    reply_to(harness, second, 'accepted')
    assert answers(harness) == ['accepted']


def test_refusal_of_the_last_copy_is_passed_on() -> None:
    """Guard against callers that wait although the owner has refused."""
    harness, _ = make()
    harness.post(addresses.CALLS, events.OwnerRouteChanged(1, 'p1'))
    submit(harness, timeout_s=3.0)
    harness.advance(1.1)
    first, second = sent_tokens(harness, 'p1')
    reply_to(harness, first, 'refused')
    reply_to(harness, second, 'refused')
    assert answers(harness) == ['refused']


def test_refusal_beside_a_lost_owner_is_unknown() -> None:
    """Guard against a refusal while a copy may be read by a former owner."""
    harness, _ = make()
    harness.post(addresses.CALLS, events.OwnerRouteChanged(1, 'p1'))
    submit(harness, timeout_s=3.0)
    harness.post(addresses.CALLS, events.OwnerRouteChanged(2, 'p2'))
    reply_to(harness, sent_tokens(harness, 'p2')[0], 'refused')
    assert answers(harness) == ['unknown']


def test_refusal_on_a_new_connection_leaves_the_older_copy_open() -> None:
    """Guard against an old connection whose last bytes are read later.

    The session task dials again under its address.
    """
    harness, _ = make()
    harness.post(addresses.CALLS, events.OwnerRouteChanged(1, 'p1'))
    submit(harness, timeout_s=3.0)
    harness.post(addresses.CALLS, session.Closed('p1', HELLO, 'silent'))
    harness.post(addresses.CALLS, events.OwnerRouteChanged(1, 'p1'))
    harness.advance(1.1)
    _, second = sent_tokens(harness, 'p1')
    reply_to(harness, second, 'refused')
    assert answers(harness) == ['unknown']


def test_copy_that_came_to_no_owner_does_not_hold_a_refusal() -> None:
    """Guard against jobs in doubt because a copy was returned."""
    harness, _ = make()
    harness.post(addresses.CALLS, events.OwnerRouteChanged(1, 'p1'))
    submit(harness, timeout_s=3.0)
    reply_to(harness, sent_tokens(harness, 'p1')[0], 'not_owner')
    harness.post(addresses.CALLS, events.OwnerRouteChanged(2, 'p2'))
    reply_to(harness, sent_tokens(harness, 'p2')[0], 'refused')
    assert answers(harness) == ['refused']


def test_accepted_job_is_not_refused_when_it_is_submitted_again() -> None:
    """Guard against the refusal of a job whose acceptance came too late."""
    harness, _ = make()
    harness.post(addresses.CALLS, events.OwnerRouteChanged(1, 'p1'))
    submit(harness, timeout_s=0.3)
    harness.advance(0.5)
    assert answers(harness) == ['unknown']
    reply_to(harness, sent_tokens(harness, 'p1')[0], 'accepted')
    harness.post(addresses.CALLS, events.OwnerRouteChanged(1, ''))
    submit(harness, timeout_s=3.0)
    harness.advance(0.5)
    assert answers(harness) == ['accepted']


def test_retry_is_not_refused_for_too_many_calls(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a refusal by a full process that has sent the job."""
    harness, _ = make()
    harness.post(addresses.CALLS, events.OwnerRouteChanged(1, 'p1'))
    submit(harness, timeout_s=3.0)
    monkeypatch.setattr(calls, 'MAX_CALLS', 1)
    submit(harness, timeout_s=3.0)
    assert answers(harness) == ['unknown']


def cancel(harness: scheduler_harness.Harness, timeout_s: float = 3.0) -> None:
    """Cancel a job."""
    call = calls.Call('cancel', 'q', 'j', None, timeout_s)
    harness.post(addresses.CALLS, query.Query('t', 'front', call))


def find_cancels(harness: scheduler_harness.Harness, route: str) -> list[str]:
    """Return the tokens of the cancels that were sent over a route."""
    sent = harness.recorders[route].pop_all(session.Send)
    return [item.msg.token for item in sent if item.msg.verb == 'cancel']


def test_refused_cancel_is_carried_out_by_the_next_owner() -> None:
    """Guard against a job that runs on after the cancel of its caller.

    The caller was refused for want of an owner and did not try again.
    """
    harness, _ = make()
    cancel(harness)
    harness.advance(0.25)
    assert answers(harness) == ['refused']
    harness.post(addresses.CALLS, events.OwnerRouteChanged(1, 'p1'))
    harness.advance(0.1)
    (token,) = find_cancels(harness, 'p1')
    harness.post(addresses.CALLS, messages.JobReply(token, 'not_owner'))
    harness.post(addresses.CALLS, events.OwnerRouteChanged(2, 'p2'))
    harness.advance(0.1)
    (token,) = find_cancels(harness, 'p2')
    harness.post(addresses.CALLS, messages.JobReply(token, 'cancelled'))
    harness.advance(3.0)
    assert find_cancels(harness, 'p2') == []
    assert answers(harness) == []


def test_unanswered_cancel_is_sent_until_it_is_confirmed() -> None:
    """Guard against a cancel that is lost with the owner it was sent to."""
    harness, _ = make()
    harness.post(addresses.CALLS, events.OwnerRouteChanged(1, 'p1'))
    cancel(harness, timeout_s=0.5)
    harness.advance(0.7)
    assert answers(harness) == ['unknown']
    harness.recorders['p1'].pop_all(session.Send)
    harness.advance(1.1)
    assert len(find_cancels(harness, 'p1')) == 1
    # The caller tries again, and the owner replies to that.
    cancel(harness)
    token = find_cancels(harness, 'p1')[-1]
    harness.post(addresses.CALLS, messages.JobReply(token, 'cancelled'))
    assert answers(harness) == ['cancelled']
    harness.advance(3.0)
    assert find_cancels(harness, 'p1') == []


def test_cancels_are_kept_for_a_bounded_time_and_number() -> None:
    """Guard against callers whose cancels fill the memory of a scheduler."""
    kept = unconfirmed_cancels.UnconfirmedCancels()
    for number in range(unconfirmed_cancels.MAX_CANCELS):
        assert kept.add(f'j{number}', 'q', 0.0)
    assert not kept.add('j', 'q', 1.0)
    assert kept.add('j0', 'q', 1.0)
    assert len(kept.choose_due(1.0)) == unconfirmed_cancels.MAX_BATCH
    late = unconfirmed_cancels.RETENTION_S
    assert {cancel.job_id for cancel in kept.choose_due(late)} == {'j0'}
    assert kept.choose_due(late + 1.0) == []
    assert len(kept) == 0


def test_every_kept_cancel_is_sent_though_none_is_confirmed() -> None:
    """Guard against cancels behind others that the owner does not confirm."""
    kept = unconfirmed_cancels.UnconfirmedCancels()
    for number in range(unconfirmed_cancels.MAX_CANCELS):
        kept.add(f'j{number}', 'q', 0.0)
    sent = [
        cancel.job_id
        for scan in range(100)
        for cancel in kept.choose_due(scan * 0.06)
    ]
    assert len(set(sent)) == unconfirmed_cancels.MAX_CANCELS
    copies = 100 * 0.06 / unconfirmed_cancels.MIN_RESEND_S
    assert len(sent) < copies * unconfirmed_cancels.MAX_CANCELS


def test_call_on_a_closed_connection_is_sent_again_on_the_next_one() -> None:
    """Guard against a cancel that waits for its whole timeout.

    The session to the same owner was connected anew.
    """
    harness, _ = make()
    harness.post(addresses.CALLS, events.OwnerRouteChanged(1, 'p1'))
    cancel(harness)
    assert len(find_cancels(harness, 'p1')) == 1
    harness.post(addresses.CALLS, session.Closed('p1', HELLO, 'lost'))
    harness.post(addresses.CALLS, events.OwnerRouteChanged(1, 'p1'))
    assert len(find_cancels(harness, 'p1')) == 1


def cancel_unrouted(
    harness: scheduler_harness.Harness, base_url: str = 'h/old/'
) -> None:
    """Cancel a job over a path without a route; the owner is not known."""
    call = calls.Call('cancel', '', 'j', None, 3.0, base_url)
    harness.post(addresses.CALLS, query.Query('t', 'front', call))
    harness.advance(0.25)
    assert answers(harness) == ['refused']


def find_cancel_urls(
    harness: scheduler_harness.Harness, route: str
) -> dict[str, str]:
    """Return the tokens of the cancels sent over a route, by base URL."""
    sent = harness.recorders[route].pop_all(session.Send)
    return {item.msg.base_url: item.msg.token for item in sent}


@pytest.mark.parametrize('outcome', ['cancelled', 'no_route'])
def test_kept_cancel_has_the_url_of_its_call(outcome: str) -> None:
    """Guard against a kept cancel that ends a job of another queue.

    It is dropped as soon as the owner has replied that it is for no job.
    """
    harness, _ = make()
    cancel_unrouted(harness)
    harness.post(addresses.CALLS, events.OwnerRouteChanged(1, 'p1'))
    harness.advance(0.1)
    sent = find_cancel_urls(harness, 'p1')
    assert list(sent) == ['h/old/']
    reply = messages.JobReply(sent['h/old/'], outcome)
    harness.post(addresses.CALLS, reply)
    harness.advance(3.0)
    assert find_cancel_urls(harness, 'p1') == {}


def test_reply_to_a_wrong_path_does_not_drop_the_cancel_of_the_job() -> None:
    """Guard against a cancel that is lost as another path has no route."""
    harness, _ = make()
    cancel_unrouted(harness, 'h/wrong/')
    cancel_unrouted(harness)
    harness.post(addresses.CALLS, events.OwnerRouteChanged(1, 'p1'))
    harness.advance(0.1)
    sent = find_cancel_urls(harness, 'p1')
    assert sorted(sent) == ['h/old/', 'h/wrong/']
    reply = messages.JobReply(sent['h/wrong/'], 'no_route')
    harness.post(addresses.CALLS, reply)
    harness.advance(3.0)
    assert list(find_cancel_urls(harness, 'p1')) == ['h/old/']


def test_longest_url_fits_into_the_token_of_a_kept_cancel() -> None:
    """Guard against a kept cancel that can't be sent for its length."""
    harness, _ = make()
    base_url = 'h/'.ljust(types.MAX_BASE_URL_CHARS, 'x')
    cancel_unrouted(harness, base_url)
    harness.post(addresses.CALLS, events.OwnerRouteChanged(1, 'p1'))
    harness.advance(0.1)
    (sent,) = harness.recorders['p1'].pop_all(session.Send)
    assert codec.decode(codec.encode(sent.msg)) == sent.msg
