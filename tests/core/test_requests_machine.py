"""Check the way of requests from callers to runners by random steps."""

from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import request_entry
import request_model

from kcr_core import dispatch
from kcr_core import retry_budget

FATES = ('stored', 'stored', 'lost', 'refused', 'unknown')
# Small, so that the queue is filled within few steps.
QUEUE_LIMIT = 3
# Small, so that the budget is used up within few steps.
INITIAL_TOKENS = 2.0
BUDGETS = (0.1, 2.0, 5.0, 5.0)
WAITS = (*(0.05, 0.05, 0.5, 0.5) * 2, 3.0, 700.0)
# Steps with their weights.
STEPS = {
    'submit': 12,
    'ask_again': 4,
    'claim': 8,
    'append': 4,
    'read': 4,
    'release_again': 2,
    'deliver': 12,
    'deliver_twice': 3,
    'lose': 1,
    'deliver_all': 3,
    'end_call': 8,
    'abandon_call': 3,
    'end_foreign': 3,
    'poll': 3,
    'take_list': 4,
    'beat': 6,
    'close': 1,
    'reconnect': 2,
    'kill_entry': 1,
    'kill_sidecar': 1,
    'drain': 1,
    'hedge': 3,
    'wait': 2,
}
WEIGHTED = [name for name, weight in STEPS.items() for _ in range(weight)]


class Requests(stateful.RuleBasedStateMachine):
    """Run two entries and two endpoints with faults at any moment."""

    def __init__(self) -> None:
        super().__init__()
        self.world = request_model.World()
        self.limit = mock.patch.object(dispatch, 'QUEUE_LIMIT', QUEUE_LIMIT)
        self.limit.start()
        self.tokens = mock.patch.object(
            retry_budget, 'INITIAL_TOKENS', INITIAL_TOKENS
        )
        self.tokens.start()

    def teardown(self) -> None:
        """Put the bounds back."""
        self.limit.stop()
        self.tokens.stop()

    @stateful.initialize(
        policy=strategies.sampled_from(['random', 'least_cost', 'granted'])
    )
    def begin(self, policy: str) -> None:
        """Start with everything connected."""
        self.world = request_model.World(policy)
        for endpoint in self.world.endpoints:
            endpoint.poll()
            endpoint.take_list(0)
        self.reconnect()
        self.beat()

    @stateful.rule(
        chosen=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(WEIGHTED),
                strategies.integers(0, 1),
                strategies.integers(0, 119),
            ),
            min_size=1,
            max_size=12,
        )
    )
    def play(self, chosen: list[tuple[str, int, int]]) -> None:
        """Take some steps; each takes a side and a number to choose by."""
        for name, side, number in chosen:
            getattr(self, name)(side, number)
            self.check_bounds()

    def submit(self, side: int, number: int) -> None:
        """Submit a new request."""
        kind = 'in'[number // 4 % 2]
        key = f'c/{len(self.world.issued)}{kind}'
        self.world.issued[key] = self.world.now_ms()
        self.ask(side, key, BUDGETS[number % 4], False)

    def ask(
        self, side: int, key: str, budget_s: float, resubmitted: bool
    ) -> None:
        """Submit a request to an entry."""
        submission = request_entry.Submission(key, resubmitted)
        self.world.submissions.append(submission)
        self.world.entries[side].submit(submission, budget_s)

    def ask_again(self, side: int, number: int) -> None:
        """Submit an earlier request once more, to any entry."""
        keys = list(self.world.issued)
        if keys:
            key = keys[-1 - number // 2 % len(keys)]
            self.ask(side, key, 2.0, number % 2 == 0)

    def claim(self, side: int, number: int) -> None:
        """Store and read everything that an entry writes."""
        entry = self.world.entries[side]
        while entry.in_flight:
            self.world.append(entry, 0, 'stored')
        self.world.read(entry, 100)

    def append(self, side: int, number: int) -> None:
        """End one append."""
        fate = FATES[number % len(FATES)]
        self.world.append(self.world.entries[side], number // 5, fate)

    def read(self, side: int, number: int) -> None:
        """Read some claims."""
        self.world.read(self.world.entries[side], 1 + number % 20)

    def release_again(self, side: int, number: int) -> None:
        """Repeat releases, and stop waiting for other holders."""
        entry = self.world.entries[side]
        for token in entry.claimant.releasing():
            entry.perform(entry.claimant.release_again(token))
        for active in list(entry.active.values()):
            if active.undecided:
                entry.perform(entry.claimant.stop_waiting(active.question))

    def deliver(self, side: int, number: int) -> None:
        """Deliver any message."""
        mail = self.world.mail
        if mail:
            self.world.deliver(number % len(mail), False)

    def deliver_twice(self, side: int, number: int) -> None:
        """Deliver a message and keep it for a second time."""
        mail = self.world.mail
        if mail:
            self.world.deliver(number % len(mail), True)

    def lose(self, side: int, number: int) -> None:
        """Lose a message."""
        mail = self.world.mail
        if mail:
            del mail[number % len(mail)]

    def deliver_all(self, side: int = 0, number: int = 0) -> None:
        """Deliver the messages that are on their way, in order."""
        for _ in range(len(self.world.mail)):
            self.world.deliver(0, False)

    def end_call(self, side: int, number: int) -> None:
        """End a call with its answer."""
        self.world.endpoints[side].end(number, True)

    def abandon_call(self, side: int, number: int) -> None:
        """End a call without an answer; the runner goes on with it."""
        self.world.endpoints[side].end(number, False)

    def end_foreign(self, side: int, number: int) -> None:
        """Let the runner end a call that nobody waits for."""
        endpoint = self.world.endpoints[side]
        foreign = sorted(set(endpoint.serving) - endpoint.slots.active)
        if foreign:
            del endpoint.serving[foreign[number % len(foreign)]]

    def poll(self, side: int, number: int) -> None:
        """Ask a runner for its calls; the answer may be taken later."""
        self.world.endpoints[side].poll()

    def take_list(self, side: int, number: int) -> None:
        """Take a list that the runner made, which may be old."""
        self.world.endpoints[side].take_list(number)

    def beat(self, side: int = 0, number: int = 0) -> None:
        """Send the heartbeats."""
        for endpoint in self.world.endpoints:
            endpoint.beat()

    def close(self, side: int, number: int) -> None:
        """Let one side of a connection notice its end."""
        links = [
            link
            for link in self.world.links
            if link.entry_open or link.endpoint_open
        ]
        if links:
            link = links[number // 2 % len(links)]
            self.world.close(link, number % 2 == 0)

    def reconnect(self, side: int = 0, number: int = 0) -> None:
        """Let the sidecars connect to the entries again."""
        for entry in self.world.entries:
            for endpoint in self.world.endpoints:
                self.world.connect(entry, endpoint)

    def kill_entry(self, side: int, number: int) -> None:
        """Replace an entry."""
        self.world.kill_entry(side)

    def kill_sidecar(self, side: int, number: int) -> None:
        """Replace a sidecar; its runner goes on."""
        endpoint = self.world.endpoints[side]
        endpoint.restart()
        for link in self.world.links:
            if link.endpoint is endpoint:
                link.endpoint_open = False

    def drain(self, side: int, number: int) -> None:
        """Drain a sidecar."""
        self.world.endpoints[side].drain()

    def hedge(self, side: int, number: int) -> None:
        """Send a second attempt beside the first."""
        entry = self.world.entries[side]
        able = [
            key
            for key, active in entry.active.items()
            if active.state.can_hedge() and active.links
        ]
        if able and entry.budget.spend():
            key = able[number % len(able)]
            avoid = frozenset(entry.active[key].state.instances.values())
            entry.attempt(key, avoid, True)

    def wait(self, side: int, number: int) -> None:
        """Let time pass; deadlines end what waits."""
        self.world.now += WAITS[number % len(WAITS)]
        for endpoint in self.world.endpoints:
            decisions = endpoint.slots.advance(self.world.now)
            endpoint.carry_out(decisions)
        for entry in self.world.entries:
            entry.claimant.drop_expired(self.world.now_ms())
            entry.advance()
            entry.expire()

    @stateful.rule()
    def recover(self) -> None:
        """End all faults: replace what drains and let everything run."""
        for side, endpoint in enumerate(self.world.endpoints):
            if endpoint.slots.draining:
                self.kill_sidecar(side, 0)
            for attempt in set(endpoint.serving) - endpoint.slots.active:
                del endpoint.serving[attempt]
            for _ in range(request_model.LISTS + 1):
                endpoint.take_list(0)
                endpoint.poll()
        for link in list(self.world.links):
            if not link.endpoint_open or not link.entry_open:
                self.world.close(link, True)
                self.world.close(link, False)
        self.reconnect()
        self.beat()
        self.deliver_all()

    @stateful.invariant()
    def check_bounds(self) -> None:
        """Guard against overcommitted runners and queues without a bound."""
        for endpoint in self.world.endpoints:
            owner = endpoint.slots
            assert len(endpoint.serving) <= request_model.SLOTS, 'overcommit'
            held = len(owner.active) + len(owner.waiting)
            assert held <= request_model.CONNECTIONS, 'queue at the sidecar'
            granted = sum(endpoint.grants.free.values())
            granted += sum(endpoint.grants.active.values())
            assert granted <= request_model.SLOTS, 'more grants than slots'
        for entry in self.world.entries:
            assert entry.dispatcher.waiting() <= QUEUE_LIMIT, 'queue bound'
            spent = entry.budget.spent
            share = request_model.RETRY_SHARE * entry.budget.requests
            assert spent <= INITIAL_TOKENS + share + 1e-6, (
                'retry budget is exceeded'
            )
            for key, active in entry.active.items():
                assert active.state.outcome is None, f'{key} is not answered'


TestRequests = Requests.TestCase
TestRequests.settings = hypothesis.settings(
    derandomize=True,
    max_examples=200,
    stateful_step_count=20,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
