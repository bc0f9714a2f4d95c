"""Check that no job is refused that any owner accepts, then or later."""

import collections
import random
import typing

import pytest

from kcr_jobs import submissions


def test_old_copies_are_forgotten() -> None:
    """Guard against memory that grows with the jobs."""
    made = submissions.Submissions()
    made.record_sent('a', 'j', 'p', 0.0)
    assert made.may_be_accepted('j', 1.0)
    assert not made.may_be_accepted('j', submissions.RETENTION_S)


def test_copies_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against memory that grows with a burst."""
    monkeypatch.setattr(submissions, 'MAX_COPIES', 3)
    made = submissions.Submissions()
    for number in range(9):
        made.record_sent(str(number), f'j{number}', 'p', 0.0)
    known = [n for n in range(9) if made.may_be_accepted(f'j{n}', 0.0)]
    assert known == [7, 8]


class World:
    """Run owners with connections that deliver late, but in order.

    A session that connects again has another connection under its address.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.made = submissions.Submissions()
        # Number of connections that each session has had.
        self.connections: collections.Counter[str] = collections.Counter()
        # Copies under way and replies under way, by connection.
        self.calls: dict[str, collections.deque[str]] = (
            collections.defaultdict(collections.deque)
        )
        self.replies: dict[str, collections.deque[tuple[str, str]]] = (
            collections.defaultdict(collections.deque)
        )
        # Whether an owner has stored the job.
        self.is_stored = False
        self.sent = 0

    def send(self, route: str) -> None:
        """Send a copy over a session."""
        self.sent += 1
        token = str(self.sent)
        self.made.record_sent(token, 'j', route, float(self.sent) / 100)
        self.calls[f'{route}/{self.connections[route]}'].append(token)

    def reconnect(self, route: str) -> None:
        """Close the connection of a session and dial again."""
        self.connections[route] += 1
        self.made.record_closed(route)

    def read_call(self, route: str) -> None:
        """Let the process behind a session read its next copy."""
        token = self.calls[route].popleft()
        if self.is_stored:
            outcome = 'accepted'
        else:
            outcome = self.rng.choice(('accepted', 'refused', 'returned'))
            # The owner stores the job at once; its reply may come late.
            self.is_stored = outcome == 'accepted'
        self.replies[route].append((token, outcome))

    def read_reply(self, route: str) -> None:
        """Deliver the next reply of a session."""
        token, outcome = self.replies[route].popleft()
        records: dict[str, typing.Callable[[str], None]] = {
            'accepted': self.made.record_accepted,
            'refused': self.made.record_refused,
            'returned': self.made.record_returned,
        }
        records[outcome](token)

    def step(self) -> None:
        """Take one of the possible steps."""
        routes = ('p1', 'p2', 'p3')
        steps: list[tuple[typing.Callable[[str], None], str]] = []
        if self.sent < 6:
            steps.append((self.send, self.rng.choice(routes)))
            steps.append((self.reconnect, self.rng.choice(routes)))
        steps += [
            (self.read_call, c) for c, sent in self.calls.items() if sent
        ]
        steps += [
            (self.read_reply, c)
            for c, sent in self.replies.items()
            if sent and c == f'{c[:2]}/{self.connections[c[:2]]}'
        ]
        if steps:
            action, route = self.rng.choice(steps)
            action(route)


@pytest.mark.parametrize('seed', range(300))
def test_no_order_of_events_refuses_a_job_that_runs(seed: int) -> None:
    """Guard against a refusal while any copy is stored or still under way."""
    world = World(seed)
    for _ in range(40):
        world.step()
        if world.made.may_be_accepted('j', 1.0):
            continue
        under_way = any(world.calls.values())
        assert not world.is_stored and not under_way, seed
