"""Check that roles on the fake clock work as in a deployment."""

import typing

from kcr_emulator import capacity_cpu
from kcr_emulator import capacity_harness
from kcr_emulator import capacity_net


def test_timers_fire_in_order_of_time() -> None:
    """Guard against a fake reactor that fires late or cancelled calls."""
    net = capacity_net.Network()
    host, fired = net.add('a'), list[str]()
    host.callLater(0.2, fired.append, 'late')
    host.callLater(0.1, fired.append, 'early')
    host.callLater(0.1, fired.append, 'cancelled').cancel()
    host.callLater(0.05, fired.append, 'moved').reset(0.3)
    net.run(0.25)
    assert fired == ['early', 'late']
    net.run(0.1)
    assert fired == ['early', 'late', 'moved']


def test_requests_and_tasks_pass_whole_roles() -> None:
    """Guard against measuring the cost of refused requests."""
    capacity_harness.prepare_roles()
    with capacity_harness.Recorder() as recorder:
        harness = capacity_harness.Harness(2, 2)
        replies: list[typing.Any] = []
        for number, idempotent in enumerate((True, False)):
            body = capacity_cpu.make_request(number, idempotent)
            answer = harness.call('POST', '/v1/requests', body)
            answer.addCallback(replies.append)
        task = capacity_cpu.make_task(1, 0.5)
        harness.call('POST', '/v1/tasks', task).addCallback(replies.append)
        harness.net.run(6.0)
    assert [b'"done"' in reply.body for reply in replies[:2]] == [True, True]
    assert b'"accepted"' in replies[2].body
    state = harness.contexts[0].directory.dump()['work/tasks']
    assert state['records'] == {'accepted': 1, 'finished': 1}
    for tag in ('heartbeat', 'heartbeat_ack', 'execute', 'finished'):
        assert recorder.sent[tag], f'no {tag} was sent'
    assert capacity_cpu.count_appends(harness, 'claims') == 1
