"""Test restarting and stopping of tasks, and the bounds of their mailboxes."""

import random
import typing

from twisted.internet import task as twisted_task

from kcr_runtime import metrics
from kcr_runtime import supervisor
from kcr_runtime import task


class Fail:
    """Request a task to fail."""


class Increment:
    """Request a task to increment its counter."""


class Counting(task.Task):
    """Count messages, and fail on request."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        self.count = 0

    @task.handles(Increment)
    def _on_increment(self, msg: Increment) -> None:
        self.count += 1

    @task.handles(Fail)
    def _on_fail(self, msg: Fail) -> None:
        raise ValueError('failure requested')

    def dump(self) -> dict[str, typing.Any]:
        return {'count': self.count}


class OneForOne(supervisor.Supervisor):
    """Restart only the failed child."""

    def children(self) -> tuple[supervisor.ChildSpec, ...]:
        return tuple(
            supervisor.ChildSpec(name, Counting) for name in ('a', 'b')
        )


class RestForOne(OneForOne):
    """Restart the failed child and those started after it."""

    strategy = supervisor.Strategy.REST_FOR_ONE


def make_context() -> tuple[task.Context, twisted_task.Clock]:
    """Return a context and the clock of its reactor."""
    clock = twisted_task.Clock()
    ctx = task.Context(
        reactor=clock,
        directory=task.Directory(),
        rng=random.Random(1),
        cfg=None,
        metrics=metrics.Metrics('test'),
        incarnation='test',
    )
    return ctx, clock


def run_both(root: supervisor.Supervisor, clock: twisted_task.Clock) -> None:
    """Send both children one message, then make the first fail."""
    root.begin()
    for address in ('a', 'b'):
        root.ctx.directory.send(address, Increment())
    clock.advance(0)
    root.ctx.directory.send('a', Fail())
    clock.advance(0)


def test_one_for_one_restarts_only_the_failed_child() -> None:
    """Guard against losing the state of a sibling that did not fail."""
    ctx, clock = make_context()
    run_both(OneForOne(ctx, ''), clock)
    dump = ctx.directory.dump()
    assert dump['a'] == {'count': 0}
    assert dump['b'] == {'count': 1}


def test_rest_for_one_restarts_later_children() -> None:
    """Guard against a child that keeps stale state of a restarted one."""
    ctx, clock = make_context()
    run_both(RestForOne(ctx, ''), clock)
    dump = ctx.directory.dump()
    assert dump['a'] == dump['b'] == {'count': 0}


def test_supervisor_gives_up_after_too_many_restarts() -> None:
    """Guard against a process that restarts a failing task forever."""
    ctx, clock = make_context()
    root = OneForOne(ctx, '')
    failures: list[BaseException] = []
    root.on_failure = failures.append
    root.begin()
    for _ in range(supervisor.MAX_RESTARTS + 1):
        ctx.directory.send('a', Fail())
        clock.advance(0)
    assert isinstance(failures[0], supervisor.TooManyRestarts)


def test_full_mailbox_refuses_messages() -> None:
    """Guard against a mailbox that grows without bound."""
    ctx, _ = make_context()
    child = Counting(ctx, 'a')
    child.begin()
    accepted = [
        child.post(Increment()) for _ in range(task.MAX_MAILBOX_MESSAGES + 5)
    ]
    assert accepted.count(False) == 5


def test_stop_discards_timers_and_queued_messages() -> None:
    """Guard against a task that handles messages after it was stopped."""
    ctx, clock = make_context()
    child = Counting(ctx, 'a')
    child.begin()
    child.after(1.0, Increment())
    child.post(Increment())
    child.end()
    clock.advance(2.0)
    assert child.count == 0
    assert not child.post(Increment())


def test_children_are_counted_below_their_supervisor() -> None:
    """Guard against a listener with a wrong count of its sessions."""
    ctx, clock = make_context()
    root = OneForOne(ctx, 'parent')
    root.begin()
    assert ctx.directory.count_children('parent') == 2
    root.post(supervisor.StopChild('a'))
    clock.advance(0)
    assert ctx.directory.count_children('parent') == 1


class Unstoppable(Counting):
    """Fail when it is stopped."""

    def stopped(self) -> None:
        raise OSError('cannot be stopped')


class WithUnstoppable(supervisor.Supervisor):
    """Run one task that cannot be stopped."""

    def children(self) -> tuple[supervisor.ChildSpec, ...]:
        return (supervisor.ChildSpec('a', Unstoppable),)


def test_supervisor_fails_if_a_child_cannot_be_restarted() -> None:
    """Guard against a process that continues without one of its tasks."""
    ctx, clock = make_context()
    root = WithUnstoppable(ctx, '')
    failures: list[BaseException] = []
    root.on_failure = failures.append
    root.begin()
    ctx.directory.send('a', Fail())
    clock.advance(0)
    assert [str(exc) for exc in failures] == ['cannot be stopped']


class Isolated(OneForOne):
    """Serve one peer with each child."""

    isolated = True


def test_failures_of_one_session_do_not_end_the_tree() -> None:
    """Guard against one peer, caller or entry that uses up the restarts.

    An address without a port in the list of schedulers made the session that
    dialed it fail more than ten times in a minute, and the process ended.
    """
    ctx, clock = make_context()
    root = Isolated(ctx, '')
    given_up: list[BaseException] = []
    root.on_failure = given_up.append
    root.begin()
    for _ in range(5 * supervisor.MAX_RESTARTS):
        ctx.directory.send('a', Fail())
        ctx.directory.send('b', Increment())
        clock.advance(0)
        clock.advance(1.0)
    assert given_up == []
    assert ctx.directory.dump()['b']['count'] == 5 * supervisor.MAX_RESTARTS
    clock.advance(supervisor.MAX_ISOLATED_RESTART_S)
    assert 'a' in ctx.directory.addresses()


def test_isolated_child_is_restarted_ever_more_slowly() -> None:
    """Guard against a loop of restarts that uses up the processor."""
    ctx, clock = make_context()
    root = Isolated(ctx, '')
    root.begin()
    restarts = 0
    for _ in range(600):
        if ctx.directory.send('a', Fail()):
            restarts += 1
        clock.advance(0.1)
    assert 5 <= restarts <= 15


def test_stopped_child_is_not_restarted() -> None:
    """Guard against a session that comes back after it was stopped."""
    ctx, clock = make_context()
    root = Isolated(ctx, '')
    root.begin()
    ctx.directory.send('a', Fail())
    clock.advance(0)
    root.post(supervisor.StopChild('a'))
    clock.advance(60.0)
    assert 'a' not in ctx.directory.addresses()
