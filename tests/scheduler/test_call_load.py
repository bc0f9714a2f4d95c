"""Play load on an owner that handles its calls one by one."""

import collections

import scheduler_harness

from kcr_jobs import messages
from kcr_runtime import query
from kcr_runtime.wire import session
from kcr_scheduler import addresses
from kcr_scheduler import events
from kcr_scheduler.work import calls

STEP_S = 0.05
# Calls a second that come, and that the owner handles.
RATE = 200
CAPACITY = 300
# Time that a caller waits, in seconds.
TIMEOUT_S = 3.0


def test_goodput_returns_after_a_pause_of_the_owner() -> None:
    """Guard against copies of late calls that keep an owner overloaded.

    A call without a reply was sent again each second, up to the timeout of
    its caller. An owner that was late by two seconds got three copies of each
    call, more than it handles, and stayed late for good.
    """
    harness = scheduler_harness.Harness('front', 'p1')
    made = calls.Calls(harness.ctx, addresses.CALLS)
    made.begin()
    harness.post(addresses.CALLS, events.OwnerRouteChanged(1, 'p1'))
    waiting: collections.deque[str] = collections.deque()
    answered: list[tuple[float, str]] = []
    for step in range(int(40.0 / STEP_S)):
        now = step * STEP_S
        for _ in range(int(RATE * STEP_S)):
            call = calls.Call('state', 'q', 'j', None, TIMEOUT_S)
            harness.post(addresses.CALLS, query.Query('t', 'front', call))
        harness.advance(STEP_S)
        sent = harness.recorders['p1'].pop_all(session.Send)
        waiting.extend(send.msg.token for send in sent)
        if not 5.0 <= now < 9.0:
            for _ in range(min(len(waiting), int(CAPACITY * STEP_S))):
                reply = messages.JobReply(waiting.popleft(), 'known', 'queued')
                harness.post(addresses.CALLS, reply)
        found = harness.recorders['front'].pop_all(query.Reply)
        answered += [(now, reply.value.outcome) for reply in found]
    last = [outcome for at, outcome in answered if at >= 30.0]
    assert last.count('known') >= 0.95 * RATE * 10.0
