"""Model callers, entries, sidecars and runners around the real decisions.

All messages in transit are in one list and can be delivered in any order.
"""

import collections
import typing

import request_entry

from kcr_core import grants
from kcr_core import message_base
from kcr_core import messages
from kcr_core import outcomes
from kcr_core import records
from kcr_core import slots
from kcr_core import types

SLOTS = 2
CONNECTIONS = 4
# Share of the requests that may be retried or hedged.
RETRY_SHARE = 0.25
# Maximum number of call lists in transit to a sidecar; further queries are
# not sent.
MAX_CALL_LISTS = 4
CAPACITY = types.Capacity(SLOTS, CONNECTIONS, types.Demand())
# Unix time of the model's time 0, in ms.
EPOCH_MS = 10**9


class Endpoint:
    """Model a sidecar and its runner, which survives the sidecar."""

    def __init__(self, harness: 'Harness', name: str) -> None:
        self.harness = harness
        self.name = name
        # Request of each call that the runner serves.
        self.serving: dict[str, str] = {}
        self.incarnation = 0
        self.restart()

    def restart(self) -> None:
        """Start a new sidecar; it first needs the call list of the runner."""
        self.incarnation += 1
        self.slots = slots.Slots(SLOTS, CONNECTIONS)
        self.grants = grants.Grants()
        self.ready = False
        # Attempts with their messages and connections.
        self.attempts: dict[
            str, tuple[messages.Execute, request_entry.Link]
        ] = {}
        # Call lists from the runner, with the number of the query.
        self.call_lists: list[tuple[int, set[str]]] = []

    def execute(self, msg: messages.Execute, link: request_entry.Link) -> None:
        """Handle an attempt as the admission task does."""
        now = self.harness.now
        if not self.ready:
            refused = messages.Refused(msg.attempt, 'not rebuilt')
            self.harness.send(link, True, refused)
            return
        deadline = now + msg.budget_ms / 1000.0
        decision = self.slots.admit(msg.attempt, deadline, now)
        if not isinstance(decision, slots.Repeated):
            self.attempts[msg.attempt] = (msg, link)
            self.grants.count_request(link.name)
            self.carry_out([decision])

    def carry_out(self, decisions: list[slots.Decision]) -> None:
        """Carry out decisions of the slots."""
        for decision in decisions:
            if isinstance(decision, slots.Run):
                msg, link = self.attempts[decision.attempt]
                self.grants.attempt_started(link.name, self.free_slots())
                self.serving[msg.attempt] = msg.request
                self.harness.record_run(msg.attempt, msg.request)
            elif isinstance(decision, slots.Refuse):
                _, link = self.attempts.pop(decision.attempt)
                refused = messages.Refused(decision.attempt, 'refused')
                self.harness.send(link, True, refused)

    def free_slots(self) -> int:
        """Return the slots that are neither used nor waited for."""
        used = self.slots.used() + len(self.slots.waiting)
        return max(0, SLOTS - used)

    def end(self, pick: int, answered: bool) -> None:
        """End a call; an unanswered one keeps running in the runner."""
        if not self.slots.active:
            return
        active = sorted(self.slots.active)
        attempt = active[pick % len(active)]
        msg, link = self.attempts.pop(attempt)
        reply: message_base.Message
        if answered:
            del self.serving[attempt]
            body = msg.request.encode()
            reply = messages.Executed(attempt, 200, len(body), body)
            decisions = self.slots.finish(attempt, self.harness.now)
        else:
            reply = messages.Failed(attempt, 'no answer in time')
            decisions = self.slots.abandon(attempt, self.harness.now)
        self.harness.send(link, True, reply)
        self.carry_out(decisions)
        self.grants.attempt_ended(link.name, self.free_slots())

    def poll(self) -> None:
        """Query the runner for its calls; the reply is received later."""
        if len(self.call_lists) < MAX_CALL_LISTS:
            self.call_lists.append(
                (self.slots.next_query(), set(self.serving))
            )

    def receive_call_list(self, pick: int) -> None:
        """Receive one of the call lists in transit."""
        if self.call_lists:
            number, served = self.call_lists.pop(pick % len(self.call_lists))
            self.ready = True
            decisions = self.slots.reconcile(served, number, self.harness.now)
            self.carry_out(decisions)

    def send_heartbeats(self) -> None:
        """Distribute the grants and send a heartbeat on every connection."""
        links = [
            link
            for link in self.harness.links
            if link.endpoint is self and link.endpoint_open
        ]
        names = {link.name for link in links}
        for name in set(self.grants.free) - names:
            self.grants.remove_entry(name)
        for name in sorted(names):
            self.grants.add_entry(name)
        offered = self.ready and not self.slots.draining
        self.grants.distribute(self.free_slots() if offered else 0)
        for link in links:
            heartbeat = messages.Heartbeat(
                0,
                0,
                self.slots.used(),
                self.grants.slots_of(link.name),
                types.Demand(),
                draining=self.slots.draining,
            )
            self.harness.send(link, True, heartbeat)

    def drain(self) -> None:
        """Refuse new attempts and announce that the endpoint is leaving."""
        self.carry_out(self.slots.drain())
        for link in self.harness.links:
            if link.endpoint is self and link.endpoint_open:
                self.harness.send(link, True, messages.Leaving('stops'))


class Harness:
    """Store the processes, the connections, the log and the history."""

    def __init__(self, policy: str = 'least_cost') -> None:
        self.now = 100.0
        self.settings = types.ControlSettings(
            endpoint_policy=policy, retry_budget=RETRY_SHARE
        )
        self.links: list[request_entry.Link] = []
        # Messages in transit: connection, whether to the entry, message.
        self.in_transit: list[
            tuple[request_entry.Link, bool, message_base.Message]
        ] = []
        self.log: list[typing.Any] = []
        self.issued: dict[str, int] = {}
        # Attempts that began, and those that ran, by request.
        self.attempts: dict[str, set[str]] = collections.defaultdict(set)
        self.runs: dict[str, set[str]] = collections.defaultdict(set)
        # Attempts reported to a caller as not run.
        self.denied: set[str] = set()
        self.submissions: list[request_entry.Submission] = []
        self.name_count = 2
        self.entries = [
            request_entry.Entry(self, f'e{number}') for number in range(2)
        ]
        self.endpoints = [Endpoint(self, f'i{number}') for number in range(2)]

    def now_ms(self) -> int:
        """Return the Unix time in ms."""
        return EPOCH_MS + int(self.now * 1000)

    @staticmethod
    def idempotent(key: str) -> bool:
        """Return whether a request may run more than once."""
        return key.endswith('i')

    def send(
        self,
        link: request_entry.Link,
        to_entry: bool,
        msg: message_base.Message,
    ) -> None:
        """Send a message."""
        self.in_transit.append((link, to_entry, msg))

    def deliver(self, index: int, keep: bool) -> None:
        """Deliver a message; with `keep` it stays in transit as well."""
        link, to_entry, msg = self.in_transit[index]
        if not keep:
            del self.in_transit[index]
        if to_entry and link.entry_open:
            link.entry.receive(link, msg)
        elif not to_entry and link.endpoint_open:
            assert isinstance(msg, messages.Execute)
            link.endpoint.execute(msg, link)

    def connect(self, entry: request_entry.Entry, endpoint: Endpoint) -> None:
        """Open a connection and announce the endpoint on it."""
        if any(
            link.entry is entry
            and link.endpoint is endpoint
            and link.endpoint_open
            for link in self.links
        ):
            return
        self.name_count += 1
        link = request_entry.Link(f'l{self.name_count}', entry, endpoint)
        self.links.append(link)
        place = types.Place('r', 'z', 'k', endpoint.name)
        incarnation = f'{endpoint.name}-{endpoint.incarnation}'
        hello = message_base.Hello(
            1, 'sidecar', endpoint.name, incarnation, place
        )
        entry.view.session_opened(link.name, hello, self.now)
        viewed_endpoint = entry.view.endpoints[endpoint.name]
        state = messages.EndpointState(request_entry.SERVICE, CAPACITY, 1)
        entry.view.set_state(viewed_endpoint, state)
        if endpoint.slots.draining:
            self.send(link, True, messages.Leaving('stops'))

    def close(self, link: request_entry.Link, entry_side: bool) -> None:
        """End a connection at one side."""
        if entry_side and link.entry_open:
            link.entry_open = False
            link.entry.closed(link)
        elif not entry_side:
            link.endpoint_open = False

    def kill_entry(self, index: int) -> None:
        """Replace an entry; its callers get no answer."""
        entry = self.entries[index]
        for active in entry.active.values():
            for submission in active.submissions:
                submission.dropped = True
        for link in self.links:
            if link.entry is entry:
                link.entry_open = link.endpoint_open = False
        self.log += [write.item for write in entry.in_flight[:1]]
        self.name_count += 1
        self.entries[index] = request_entry.Entry(self, f'e{self.name_count}')

    def append(
        self, entry: request_entry.Entry, pick: int, result: str
    ) -> None:
        """End an append with a given result; the record may be stored."""
        if not entry.in_flight:
            return
        write = entry.in_flight.pop(pick % len(entry.in_flight))
        if result in ('stored', 'lost'):
            self.log.append(write.item)
        if isinstance(write.item, records.Released):
            return
        outcome: outcomes.AppendOutcome = outcomes.AppendUnknown('lost')
        if result == 'stored':
            outcome = outcomes.Appended(len(self.log))
        elif result == 'refused':
            outcome = outcomes.NotAppended('log is down')
        entry.perform(entry.claimant.append_ended(write.token, outcome))

    def read(self, entry: request_entry.Entry, count: int) -> None:
        """Let an entry read up to `count` records."""
        for item in self.log[entry.position : entry.position + count]:
            entry.position += 1
            entry.perform(entry.claimant.apply(item, self.now_ms()))

    def record_run(self, attempt: str, key: str) -> None:
        """Check and record the start of a call in the runner."""
        assert attempt not in self.denied, 'ran after "not run"'
        assert attempt not in self.runs[key], 'attempt ran twice'
        self.runs[key].add(attempt)
        if not self.idempotent(key):
            assert len(self.runs[key]) == 1, 'request ran twice'

    def check_answer(
        self, submission: request_entry.Submission, attempts: set[str]
    ) -> None:
        """Check that an answer is true."""
        key, answer = submission.key, submission.answer
        if isinstance(answer, outcomes.Done):
            assert answer.body == key.encode(), 'answer of another request'
            assert self.runs[key], 'answer of a request that did not run'
        if isinstance(answer, outcomes.NotRun):
            denied = set(attempts)
            if submission.resubmitted and not self.idempotent(key):
                denied |= self.attempts[key]
            assert not denied & self.runs[key], '"not run" is false'
            self.denied |= denied
