"""Test the client of a runner over connections that outlive it or not."""

import typing

import platform_fakes
import pytest
import reactor_thread
from twisted.internet import defer
from twisted.internet import reactor as twisted_reactor

from kcr_agent.runner import client
from kcr_jobs import types
from kcr_platform import runner

TOKEN = 7
DEADLINE_MS = 2**50


class Config:
    """Store the options that the client reads."""

    runner_address = ''


class Context:
    """Provide what the client reads of the context of a process."""

    reactor: typing.Any = twisted_reactor
    cfg = Config()


class World:
    """Connect a client with a fake runner."""

    def __init__(self) -> None:
        reactor_thread.start()
        self.fake = platform_fakes.Runner('a', platform_fakes.RunChecker())
        ctx: typing.Any = Context()
        ctx.cfg.runner_address = self.fake.address
        self.client = runner.RunnerClient(ctx)
        self.info = types.RunnerInfo(self.fake.runner_id, self.fake.born_ms)

    def restart(self) -> types.RunnerInfo:
        """Start the runner again under its id; return the older one."""
        older = self.info
        self.fake.start_incarnation()
        # The clock of the test may not have moved on.
        self.fake.born_ms = max(self.fake.born_ms, older.born_ms + 1)
        self.info = types.RunnerInfo(older.runner_id, self.fake.born_ms)
        return older

    def start(
        self, task: str, info: types.RunnerInfo
    ) -> defer.Deferred[client.OrderResult]:
        """Order a start."""
        return self.client.start(
            info, TOKEN, task, 1, 'x', DEADLINE_MS, '', ''
        )

    def list_runs(self, info: types.RunnerInfo, cursor: int) -> typing.Any:
        """Return the list of the runner's runs."""
        return reactor_thread.run(
            lambda: self.client.extend_lease(info, TOKEN, cursor, None, 0)
        )

    def end_runs(self, count: int) -> None:
        """End some runs on the runner, as done."""
        with self.fake.lock:
            for number in range(count):
                self.fake.running[f'{number:016x}.0.0.0'] = (1, 0.0)
            self.fake.lease_until_ms = DEADLINE_MS
            self.fake.update()


@pytest.fixture
def world() -> typing.Iterator[World]:
    """Return a client and its runner."""
    made = World()
    yield made
    made.fake.close()


def test_cursor_is_not_sent_to_a_newer_incarnation(world: World) -> None:
    """Guard against ends that a restarted runner forgets unread (review/5)."""
    assert world.list_runs(world.info, 0).born_ms == world.info.born_ms
    older = world.restart()
    world.end_runs(3)
    got = world.list_runs(older, 369)
    assert isinstance(got, client.RunList)
    assert got.born_ms == world.info.born_ms
    assert [end.number for end in world.fake.ended] == [1, 2, 3]
    assert len(world.list_runs(world.info, 0).ended) == 3


def test_cursor_is_sent_where_the_incarnation_has_answered(
    world: World,
) -> None:
    """Guard against ends that are listed again and again."""
    world.end_runs(3)
    world.list_runs(world.info, 0)
    assert [e.number for e in world.list_runs(world.info, 2).ended] == [3]
    assert [end.number for end in world.fake.ended] == [3]


@pytest.mark.parametrize('verb', ['start', 'stop', 'throttle'])
def test_order_takes_no_effect_on_a_newer_incarnation(
    world: World, verb: str
) -> None:
    """Guard against a start that is carried out by a restarted runner."""
    world.list_runs(world.info, 0)
    older = world.restart()
    calls: dict[str, typing.Any] = {
        'start': lambda: world.start('0123456789abcdef.0.0.0', older),
        'stop': lambda: world.client.stop(older, TOKEN, 't', 1),
        'throttle': lambda: world.client.throttle(older, TOKEN, 't', 1, 50),
    }
    got = reactor_thread.run(calls[verb])
    assert isinstance(got, client.Refused), got
    assert not got.forbids
    assert not world.fake.running
    assert not world.fake.highest_ended


def test_many_orders_share_few_connections(world: World) -> None:
    """Guard against a connection for each start of a wide step.

    660 starts on one runner opened nearly as many (review/1).
    """
    names = [f'{n:016x}.0.0.0' for n in range(30)]
    got = reactor_thread.run(
        lambda: defer.gatherResults(
            [world.start(name, world.info) for name in names]
        )
    )
    assert all(isinstance(item, client.Done) for item in got), got
    assert world.fake.connections <= runner.CONNECTIONS
    world.list_runs(world.info, 0)
    assert world.fake.connections <= runner.CONNECTIONS


def test_orders_wait_no_longer_than_their_timeout(world: World) -> None:
    """Guard against orders that are sent long after they were due."""
    world.fake.unreachable = True
    names = [f'{n:016x}.0.0.0' for n in range(60)]
    got = reactor_thread.run(
        lambda: defer.gatherResults(
            [world.start(name, world.info) for name in names]
        )
    )
    assert all(isinstance(item, client.NoAnswer) for item in got), got
    world.fake.unreachable = False
    got = reactor_thread.run(lambda: world.start(names[0], world.info))
    assert isinstance(got, client.Done)
    assert world.fake.connections <= len(names) + runner.CONNECTIONS


@pytest.mark.parametrize(('count', 'truncated'), [(499, False), (500, True)])
def test_list_at_the_limit_may_be_truncated(
    world: World, count: int, truncated: bool
) -> None:
    """Guard against a list of 500 ends that counts as complete (review/1)."""
    world.end_runs(count)
    got = world.list_runs(world.info, 0)
    assert len(got.ended) == count
    assert got.truncated == truncated


def test_runner_tells_whether_it_has_an_id(world: World) -> None:
    """Guard against an agent that takes the runner of another instance."""
    stranger = types.RunnerInfo('i-b', 9)

    def identify(info: types.RunnerInfo) -> typing.Any:
        return reactor_thread.run(lambda: world.client.identify(info))

    assert identify(world.info) is True
    assert identify(stranger) is False
    world.fake.unreachable = True
    assert identify(world.info) is None
