"""Check requests from the callers to the runners with random steps.

Messages are late, repeated or dropped, connections break, and entries and
sidecars are killed. No non-idempotent request may run twice, no request may
run after the answer "not run", and slots, queues and retries stay bounded.
"""

from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import request_entry
import request_model

from kcr_core import dispatch
from kcr_core import retry_budget

APPEND_RESULTS = ('stored', 'stored', 'lost', 'refused', 'unknown')
# Small, so that a few steps fill the queue.
MAX_WAITING_ATTEMPTS = 3
# Small, so that a few steps exhaust the budget.
INITIAL_TOKENS = 2.0
BUDGETS = (0.1, 2.0, 5.0, 5.0)
WAITS = (*(0.05, 0.05, 0.5, 0.5) * 2, 3.0, 700.0)
# Steps with their weights.
STEPS = {
    'submit': 12,
    'resubmit': 4,
    'claim': 8,
    'append': 4,
    'read': 4,
    'release_again': 2,
    'deliver': 12,
    'deliver_twice': 3,
    'drop_message': 1,
    'deliver_all': 3,
    'end_call': 8,
    'abandon_call': 3,
    'end_orphaned': 3,
    'poll': 3,
    'receive_call_list': 4,
    'send_heartbeats': 6,
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
    """Run two entries and two endpoints with faults at any time."""

    def __init__(self) -> None:
        super().__init__()
        self.harness = request_model.Harness()
        self.limit = mock.patch.object(
            dispatch, 'MAX_WAITING_ATTEMPTS', MAX_WAITING_ATTEMPTS
        )
        self.limit.start()
        self.tokens = mock.patch.object(
            retry_budget, 'INITIAL_TOKENS', INITIAL_TOKENS
        )
        self.tokens.start()

    def teardown(self) -> None:
        """Restore the bounds."""
        self.limit.stop()
        self.tokens.stop()

    @stateful.initialize(
        policy=strategies.sampled_from(['random', 'least_cost', 'granted'])
    )
    def begin(self, policy: str) -> None:
        """Start with all connections open and fresh heartbeats."""
        self.harness = request_model.Harness(policy)
        for endpoint in self.harness.endpoints:
            endpoint.poll()
            endpoint.receive_call_list(0)
        self.reconnect()
        self.send_heartbeats()

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
    def execute_steps(self, chosen: list[tuple[str, int, int]]) -> None:
        """Run some steps; the side and the number select what each acts on."""
        for name, side, number in chosen:
            getattr(self, name)(side, number)
            self.check_bounds()

    def submit(self, side: int, number: int) -> None:
        """Submit a new request."""
        kind = 'in'[number // 4 % 2]
        key = f'c/{len(self.harness.issued)}{kind}'
        self.harness.issued[key] = self.harness.now_ms()
        self.submit_to(side, key, BUDGETS[number % 4], False)

    def submit_to(
        self, side: int, key: str, budget_s: float, resubmitted: bool
    ) -> None:
        """Submit a request to an entry."""
        submission = request_entry.Submission(key, resubmitted)
        self.harness.submissions.append(submission)
        self.harness.entries[side].submit(submission, budget_s)

    def resubmit(self, side: int, number: int) -> None:
        """Submit an earlier request again, to any entry."""
        keys = list(self.harness.issued)
        if keys:
            key = keys[-1 - number // 2 % len(keys)]
            self.submit_to(side, key, 2.0, number % 2 == 0)

    def claim(self, side: int, number: int) -> None:
        """Store and read all pending records of an entry."""
        entry = self.harness.entries[side]
        while entry.in_flight:
            self.harness.append(entry, 0, 'stored')
        self.harness.read(entry, 100)

    def append(self, side: int, number: int) -> None:
        """End one append."""
        result = APPEND_RESULTS[number % len(APPEND_RESULTS)]
        self.harness.append(self.harness.entries[side], number // 5, result)

    def read(self, side: int, number: int) -> None:
        """Read some claims."""
        self.harness.read(self.harness.entries[side], 1 + number % 20)

    def release_again(self, side: int, number: int) -> None:
        """Repeat releases and stop waiting for other holders."""
        entry = self.harness.entries[side]
        for token in entry.claimant.releasing():
            entry.perform(entry.claimant.release_again(token))
        for active in list(entry.active.values()):
            if active.claim_pending:
                entry.perform(entry.claimant.stop_waiting(active.query))

    def deliver(self, side: int, number: int) -> None:
        """Deliver any message."""
        in_transit = self.harness.in_transit
        if in_transit:
            self.harness.deliver(number % len(in_transit), False)

    def deliver_twice(self, side: int, number: int) -> None:
        """Deliver a message and keep it for a second delivery."""
        in_transit = self.harness.in_transit
        if in_transit:
            self.harness.deliver(number % len(in_transit), True)

    def drop_message(self, side: int, number: int) -> None:
        """Drop a message in transit."""
        in_transit = self.harness.in_transit
        if in_transit:
            del in_transit[number % len(in_transit)]

    def deliver_all(self, side: int = 0, number: int = 0) -> None:
        """Deliver the messages in transit, in order."""
        for _ in range(len(self.harness.in_transit)):
            self.harness.deliver(0, False)

    def end_call(self, side: int, number: int) -> None:
        """End a call with an answer."""
        self.harness.endpoints[side].end(number, True)

    def abandon_call(self, side: int, number: int) -> None:
        """End a call without an answer; the runner keeps serving it."""
        self.harness.endpoints[side].end(number, False)

    def end_orphaned(self, side: int, number: int) -> None:
        """End an orphaned call in the runner."""
        endpoint = self.harness.endpoints[side]
        orphaned = sorted(set(endpoint.serving) - endpoint.slots.active)
        if orphaned:
            del endpoint.serving[orphaned[number % len(orphaned)]]

    def poll(self, side: int, number: int) -> None:
        """Query a runner for its calls; the reply may arrive later."""
        self.harness.endpoints[side].poll()

    def receive_call_list(self, side: int, number: int) -> None:
        """Receive a call list of the runner, which may be outdated."""
        self.harness.endpoints[side].receive_call_list(number)

    def send_heartbeats(self, side: int = 0, number: int = 0) -> None:
        """Send the heartbeats."""
        for endpoint in self.harness.endpoints:
            endpoint.send_heartbeats()

    def close(self, side: int, number: int) -> None:
        """End a connection at one side."""
        links = [
            link
            for link in self.harness.links
            if link.entry_open or link.endpoint_open
        ]
        if links:
            link = links[number // 2 % len(links)]
            self.harness.close(link, number % 2 == 0)

    def reconnect(self, side: int = 0, number: int = 0) -> None:
        """Reconnect the sidecars to the entries."""
        for entry in self.harness.entries:
            for endpoint in self.harness.endpoints:
                self.harness.connect(entry, endpoint)

    def kill_entry(self, side: int, number: int) -> None:
        """Replace an entry."""
        self.harness.kill_entry(side)

    def kill_sidecar(self, side: int, number: int) -> None:
        """Replace a sidecar; its runner keeps running."""
        endpoint = self.harness.endpoints[side]
        endpoint.restart()
        for link in self.harness.links:
            if link.endpoint is endpoint:
                link.endpoint_open = False

    def drain(self, side: int, number: int) -> None:
        """Drain a sidecar."""
        self.harness.endpoints[side].drain()

    def hedge(self, side: int, number: int) -> None:
        """Send a hedge for a request in flight."""
        entry = self.harness.entries[side]
        hedgeable = [
            key
            for key, active in entry.active.items()
            if active.state.can_hedge() and active.links
        ]
        if hedgeable and entry.budget.spend():
            key = hedgeable[number % len(hedgeable)]
            avoid = frozenset(entry.active[key].state.instances.values())
            entry.attempt(key, avoid, True)

    def wait(self, side: int, number: int) -> None:
        """Advance the time and handle the deadlines that have passed."""
        self.harness.now += WAITS[number % len(WAITS)]
        for endpoint in self.harness.endpoints:
            decisions = endpoint.slots.advance(self.harness.now)
            endpoint.carry_out(decisions)
        for entry in self.harness.entries:
            entry.claimant.drop_expired(self.harness.now_ms())
            entry.advance()
            entry.expire()

    @stateful.rule()
    def recover(self) -> None:
        """End all faults: replace draining sidecars, reconnect and deliver."""
        for side, endpoint in enumerate(self.harness.endpoints):
            if endpoint.slots.draining:
                self.kill_sidecar(side, 0)
            for attempt in set(endpoint.serving) - endpoint.slots.active:
                del endpoint.serving[attempt]
            for _ in range(request_model.MAX_CALL_LISTS + 1):
                endpoint.receive_call_list(0)
                endpoint.poll()
        for link in list(self.harness.links):
            if not link.endpoint_open or not link.entry_open:
                self.harness.close(link, True)
                self.harness.close(link, False)
        self.reconnect()
        self.send_heartbeats()
        self.deliver_all()

    @stateful.invariant()
    def check_bounds(self) -> None:
        """Guard against overcommitted runners and unbounded queues."""
        for endpoint in self.harness.endpoints:
            runner_slots = endpoint.slots
            assert len(endpoint.serving) <= request_model.SLOTS, 'overcommit'
            occupied = len(runner_slots.active) + len(runner_slots.waiting)
            assert occupied <= request_model.CONNECTIONS, (
                'queue at the sidecar'
            )
            granted = sum(endpoint.grants.free.values())
            granted += sum(endpoint.grants.active.values())
            assert granted <= request_model.SLOTS, 'more grants than slots'
        for entry in self.harness.entries:
            assert entry.dispatcher.waiting() <= MAX_WAITING_ATTEMPTS, (
                'queue bound'
            )
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
