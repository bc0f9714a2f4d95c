"""Check that a sidecar applies only the newest settings."""

import random
import typing

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from twisted.internet import task as twisted_task

from kcr_core import message_base
from kcr_core import messages
from kcr_core import types
from kcr_runtime import metrics
from kcr_runtime import task
from kcr_runtime.wire import session
from kcr_sidecar import addresses
from kcr_sidecar import events
from kcr_sidecar.links import control


class RecordingTask(task.Task):
    """Record every message."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        # Messages in the order of arrival.
        self.got: list[typing.Any] = []
        ctx.directory.add(address, self)

    def post(self, msg: typing.Any) -> bool:
        """Record a message."""
        self.got.append(msg)
        return True


METRICS = metrics.Metrics('s')


def make_control() -> tuple[
    twisted_task.Clock, control.Control, RecordingTask, RecordingTask
]:
    """Return a clock, the control task, a subscriber and a session."""
    clock = twisted_task.Clock()
    ctx = task.Context(
        clock, task.Directory(), random.Random(1), None, METRICS, 'incarnation'
    )
    subscriber = RecordingTask(ctx, addresses.ANNOUNCER)
    link = RecordingTask(ctx, f'{addresses.SESSIONS}/e1')
    subject = control.Control(ctx, addresses.CONTROL)
    subject.begin()
    return clock, subject, subscriber, link


def receive(subject: control.Control, msg: message_base.Message) -> None:
    """Deliver a message of an entry."""
    place = types.Place('r', 'z', 'k', 'e1')
    hello = message_base.Hello(1, 'entry', 'e1', 'incarnation', place)
    subject.post(session.Received(f'{addresses.SESSIONS}/e1', hello, msg))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(strategies.lists(strategies.integers(1, 9), max_size=20))
def test_revision_never_goes_down(revisions: list[int]) -> None:
    """Guard against older settings from an entry that lags behind."""
    clock, subject, subscriber, _ = make_control()
    failed: list[BaseException] = []
    subject.on_failure = failed.append
    for number, revision in enumerate(revisions):
        cfg = types.ControlSettings(heartbeat_s=float(revision))
        receive(subject, messages.Control(revision, cfg))
        clock.advance(3.0 if number % 3 == 0 else 0.0)
    clock.advance(0)
    received = [
        e for e in subscriber.got if isinstance(e, events.SettingsInForce)
    ]
    delivered = [event.revision for event in received]
    assert delivered == sorted(delivered)
    assert not failed
    if revisions:
        assert delivered[-1] == max(revisions)
        assert received[-1].settings.heartbeat_s == max(revisions)


def test_restarted_task_gets_the_settings_again() -> None:
    """Guard against a restarted task that keeps the default settings."""
    clock, subject, subscriber, link = make_control()
    receive(subject, messages.Control(4, types.ControlSettings()))
    clock.advance(0)
    clock.advance(control.REDELIVERY_INTERVAL_S)
    clock.advance(0)
    assert [event.revision for event in subscriber.got] == [4, 4]
    assert session.SetRevision(4) in link.got


def test_entry_without_a_document_gets_the_settings() -> None:
    """Guard against an entry on defaults while a sidecar has settings."""
    clock, subject, _, link = make_control()
    receive(subject, messages.DocumentRequest(0))
    current = messages.Control(4, types.ControlSettings(heartbeat_s=2.0))
    receive(subject, current)
    receive(subject, messages.DocumentRequest(4))
    receive(subject, messages.DocumentRequest(3))
    clock.advance(0)
    sent = [item.msg for item in link.got if isinstance(item, session.Send)]
    assert sent == [current]


def test_dump_is_answered() -> None:
    """Guard against a dump request that gets no reply."""
    clock, subject, _, link = make_control()
    receive(subject, messages.DumpRequest('t'))
    clock.advance(0)
    reply = link.got[-1].msg
    assert reply.token == 't'
    assert addresses.CONTROL in reply.text
