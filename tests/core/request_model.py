"""Model callers, entries, sidecars and runners around the real decisions.

Messages are kept in one list, from which they are delivered in any order.
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
# Lists of calls on their way to a sidecar; more questions wait.
LISTS = 4
CAPACITY = types.Capacity(SLOTS, CONNECTIONS, types.Demand())
# Unix time of the model's time 0, in ms.
EPOCH_MS = 10**9


class Endpoint:
    """Hold one sidecar and its runner; the runner survives the sidecar."""

    def __init__(self, world: 'World', name: str) -> None:
        self.world = world
        self.name = name
        # Calls that the runner serves.
        self.serving: dict[str, str] = {}
        self.life = 0
        self.restart()

    def restart(self) -> None:
        """Start a new sidecar; it admits nothing before it saw the runner."""
        self.life += 1
        self.slots = slots.Slots(SLOTS, CONNECTIONS)
        self.grants = grants.Grants()
        self.ready = False
        # Attempts with their messages and connections.
        self.attempts: dict[
            str, tuple[messages.Execute, request_entry.Link]
        ] = {}
        # Lists of calls that the runner made, by number of the question.
        self.lists: list[tuple[int, set[str]]] = []

    def execute(self, msg: messages.Execute, link: request_entry.Link) -> None:
        """Take an attempt as the admission task does."""
        now = self.world.now
        if not self.ready:
            refused = messages.Refused(msg.attempt, 'not rebuilt')
            self.world.send(link, True, refused)
            return
        deadline = now + msg.budget_ms / 1000.0
        decision = self.slots.admit(msg.attempt, deadline, now)
        if not isinstance(decision, slots.Repeated):
            self.attempts[msg.attempt] = (msg, link)
            self.grants.count_request(link.name)
            self.carry_out([decision])

    def carry_out(self, decisions: list[slots.Decision]) -> None:
        """Carry out what the slots decided."""
        for decision in decisions:
            if isinstance(decision, slots.Run):
                msg, link = self.attempts[decision.attempt]
                self.grants.attempt_started(link.name, self.room())
                self.serving[msg.attempt] = msg.request
                self.world.ran(msg.attempt, msg.request)
            elif isinstance(decision, slots.Refuse):
                _, link = self.attempts.pop(decision.attempt)
                refused = messages.Refused(decision.attempt, 'refused')
                self.world.send(link, True, refused)

    def room(self) -> int:
        """Return the slots that nobody uses or waits for."""
        used = self.slots.used() + len(self.slots.waiting)
        return max(0, SLOTS - used)

    def end(self, pick: int, answered: bool) -> None:
        """End a call; without an answer the runner serves it on."""
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
            decisions = self.slots.finish(attempt, self.world.now)
        else:
            reply = messages.Failed(attempt, 'no answer in time')
            decisions = self.slots.abandon(attempt, self.world.now)
        self.world.send(link, True, reply)
        self.carry_out(decisions)
        self.grants.attempt_ended(link.name, self.room())

    def poll(self) -> None:
        """Ask the runner for its calls; the answer arrives later."""
        if len(self.lists) < LISTS:
            self.lists.append((self.slots.next_query(), set(self.serving)))

    def take_list(self, pick: int) -> None:
        """Take any list that the runner made."""
        if self.lists:
            number, served = self.lists.pop(pick % len(self.lists))
            self.ready = True
            decisions = self.slots.reconcile(served, number, self.world.now)
            self.carry_out(decisions)

    def beat(self) -> None:
        """Divide the grants and send a heartbeat on every connection."""
        links = [
            link
            for link in self.world.links
            if link.endpoint is self and link.endpoint_open
        ]
        names = {link.name for link in links}
        for name in set(self.grants.free) - names:
            self.grants.remove_entry(name)
        for name in sorted(names):
            self.grants.add_entry(name)
        offered = self.ready and not self.slots.draining
        self.grants.distribute(self.room() if offered else 0)
        for link in links:
            beat = messages.Heartbeat(
                0,
                0,
                self.slots.used(),
                self.grants.slots_of(link.name),
                types.Demand(),
                draining=self.slots.draining,
            )
            self.world.send(link, True, beat)

    def drain(self) -> None:
        """Say goodbye and refuse everything new."""
        self.carry_out(self.slots.drain())
        for link in self.world.links:
            if link.endpoint is self and link.endpoint_open:
                self.world.send(link, True, messages.Leaving('stops'))


class World:
    """Hold the processes, the connections, the log and what happened."""

    def __init__(self, policy: str = 'least_cost') -> None:
        self.now = 100.0
        self.settings = types.ControlSettings(
            endpoint_policy=policy, retry_budget=RETRY_SHARE
        )
        self.links: list[request_entry.Link] = []
        # Messages on their way: connection, whether to the entry, message.
        self.mail: list[
            tuple[request_entry.Link, bool, message_base.Message]
        ] = []
        self.log: list[typing.Any] = []
        self.issued: dict[str, int] = {}
        # Attempts that were begun and that ran, by request.
        self.attempts: dict[str, set[str]] = collections.defaultdict(set)
        self.runs: dict[str, set[str]] = collections.defaultdict(set)
        # Attempts that a caller was told did not run.
        self.denied: set[str] = set()
        self.submissions: list[request_entry.Submission] = []
        self.lives = 2
        self.entries = [
            request_entry.Entry(self, f'e{number}') for number in range(2)
        ]
        self.endpoints = [Endpoint(self, f'i{number}') for number in range(2)]

    def now_ms(self) -> int:
        """Return the Unix time in ms."""
        return EPOCH_MS + int(self.now * 1000)

    @staticmethod
    def idempotent(key: str) -> bool:
        """Tell whether a request may run more than once."""
        return key.endswith('i')

    def send(
        self,
        link: request_entry.Link,
        to_entry: bool,
        msg: message_base.Message,
    ) -> None:
        """Put a message on its way."""
        self.mail.append((link, to_entry, msg))

    def deliver(self, index: int, keep: bool) -> None:
        """Deliver a message; a kept one is delivered again later."""
        link, to_entry, msg = self.mail[index]
        if not keep:
            del self.mail[index]
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
        self.lives += 1
        link = request_entry.Link(f'l{self.lives}', entry, endpoint)
        self.links.append(link)
        place = types.Place('r', 'z', 'k', endpoint.name)
        life = f'{endpoint.name}-{endpoint.life}'
        hello = message_base.Hello(1, 'sidecar', endpoint.name, life, place)
        entry.view.session_opened(link.name, hello, self.now)
        held = entry.view.endpoints[endpoint.name]
        state = messages.EndpointState(request_entry.SERVICE, CAPACITY, 1)
        entry.view.set_state(held, state)
        if endpoint.slots.draining:
            self.send(link, True, messages.Leaving('stops'))

    def close(self, link: request_entry.Link, entry_side: bool) -> None:
        """Let one side notice the end of a connection."""
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
        self.lives += 1
        self.entries[index] = request_entry.Entry(self, f'e{self.lives}')

    def append(self, entry: request_entry.Entry, pick: int, fate: str) -> None:
        """End an append with or without an effect."""
        if not entry.in_flight:
            return
        write = entry.in_flight.pop(pick % len(entry.in_flight))
        if fate in ('stored', 'lost'):
            self.log.append(write.item)
        if isinstance(write.item, records.Released):
            return
        outcome: outcomes.AppendOutcome = outcomes.AppendUnknown('lost')
        if fate == 'stored':
            outcome = outcomes.Appended(len(self.log))
        elif fate == 'refused':
            outcome = outcomes.NotAppended('log is down')
        entry.perform(entry.claimant.append_ended(write.token, outcome))

    def read(self, entry: request_entry.Entry, count: int) -> None:
        """Let an entry read some records."""
        for item in self.log[entry.position : entry.position + count]:
            entry.position += 1
            entry.perform(entry.claimant.apply(item, self.now_ms()))

    def ran(self, attempt: str, key: str) -> None:
        """Note that the runner was given a call."""
        assert attempt not in self.denied, 'ran after "not run"'
        assert attempt not in self.runs[key], 'attempt ran twice'
        self.runs[key].add(attempt)
        if not self.idempotent(key):
            assert len(self.runs[key]) == 1, 'request ran twice'

    def answered(
        self, submission: request_entry.Submission, attempts: set[str]
    ) -> None:
        """Check the truth of an answer."""
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
