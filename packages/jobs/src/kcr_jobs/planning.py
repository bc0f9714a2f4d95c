"""Plan which waiting tasks start where."""

from collections import abc
import dataclasses

from kcr_jobs import book
from kcr_jobs import effects
from kcr_jobs import nodes
from kcr_jobs import ordering
from kcr_jobs import pair_effects
from kcr_jobs import placement
from kcr_jobs import tickets

# Name of the order in which waiting jobs get room.
ORDER = 'deadline'
# Time after which a job with nothing running takes any runner that it fits,
# in seconds; the users allow 3 s where there is room.
STARVED_S = 1.0
# Time between notes of why a step waits, in seconds.
EXPLAIN_EVERY_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Say why a step waits."""

    # Name of the step.
    step: str
    # Number of runners by what keeps its tasks off them.
    reasons: dict[str, int]


@dataclasses.dataclass(slots=True)
class Plan:
    """Hold what is to be started and asked."""

    # Tasks with the node and life on which they start.
    starts: list[book.Task] = dataclasses.field(default_factory=list)
    # Requests for advice.
    requests: list[effects.AskAdvice] = dataclasses.field(default_factory=list)
    # Steps that find no room.
    waits: list[Wait] = dataclasses.field(default_factory=list)


class Planner:
    """Choose the tasks to start; hold the tickets of advised steps."""

    def __init__(self, learnt: pair_effects.PairEffects) -> None:
        # Effects of fillers on serving tasks.
        self._effects = learnt
        # Tickets by name of the step.
        self._tickets: dict[str, tickets.StepTickets] = {}
        # Time of the last note of why a step waits, by its name.
        self._explained: dict[str, float] = {}

    def find_tickets(self, step: str) -> tickets.StepTickets:
        """Return the tickets of a step."""
        return self._tickets.setdefault(step, tickets.StepTickets())

    def find_ticket(self, task: book.Task, now: float) -> str:
        """Return the ticket that a start carries; empty for none."""
        held = self._tickets.get(_step_name(task))
        return held.find(task.life, now) if held else ''

    def drop_ticket(self, task: book.Task) -> None:
        """Forget the ticket of a start that came to nothing."""
        held = self._tickets.get(_step_name(task))
        if held is not None:
            held.drop(task.life)

    def forget(self, job: book.Job) -> None:
        """Forget the tickets and notes of a job."""
        for held in (self._tickets, self._explained):
            for step in list(held):
                if step.startswith(f'{job.spec.job_id}.'):
                    held.pop(step)

    def plan(
        self,
        jobs: abc.Iterable[book.Job],
        usable: list[nodes.Node],
        now: float,
    ) -> Plan:
        """Choose starts job by job while there is room."""
        suspects = nodes.find_suspects(usable)
        rooms = [
            placement.measure(n, now, n in suspects, self._effects)
            for n in usable
        ]
        order = ordering.ORDERS.get(ORDER)
        plan = Plan()
        for job in sorted(jobs, key=lambda j: order(j, now)):
            self._plan_job(job, rooms, now, plan)
        return plan

    def _plan_job(
        self,
        job: book.Job,
        rooms: list[placement.Room],
        now: float,
        plan: Plan,
    ) -> None:
        full: set[tuple[int, int]] = set()
        gangs: dict[tuple[int, int], list[book.Task]] = {}
        for task in job.tasks.values():
            place = (task.occurrence, task.step)
            if task.done or task.node or place in full:
                continue
            if not job.is_ready(*place):
                full.add(place)
                continue
            if task.spec.gang:
                gangs.setdefault(place, []).append(task)
                continue
            allowed = rooms
            if job.spec.queue.ticket_ms:
                allowed = self._find_allowed(task, rooms, now, plan)
            room = placement.choose(task, allowed, now)
            if room is None and _is_starved(job, now):
                room = placement.choose_least_pressed(task, allowed)
            if room is None:
                # All tasks of a step ask for the same room.
                full.add(place)
                self._explain(task, allowed, now, plan)
                continue
            _place(task, room, plan)
        for members in gangs.values():
            self._plan_gang(members, rooms, now, plan)

    def _explain(
        self,
        task: book.Task,
        rooms: list[placement.Room],
        now: float,
        plan: Plan,
    ) -> None:
        step = _step_name(task)
        if now - self._explained.get(step, -EXPLAIN_EVERY_S) < EXPLAIN_EVERY_S:
            return
        self._explained[step] = now
        plan.waits.append(Wait(step, placement.explain(task, rooms)))

    def _find_allowed(
        self,
        task: book.Task,
        rooms: list[placement.Room],
        now: float,
        plan: Plan,
    ) -> list[placement.Room]:
        """Return the rooms with a ticket for a step; ask about others."""
        step = _step_name(task)
        held = self.find_tickets(step)
        allowed = []
        unknown = []
        for room in rooms:
            info = room.node.info
            assert info is not None
            if held.find(info.life, now):
                allowed.append(room)
            elif placement.fits(task, room):
                unknown.append((info.runner_id, info.life))
        asked = held.choose(unknown, now)
        if asked and not any(placement.fits(task, r) for r in allowed):
            held.asking = True
            plan.requests.append(effects.AskAdvice(step, asked))
        return allowed

    def _plan_gang(
        self,
        members: list[book.Task],
        rooms: list[placement.Room],
        now: float,
        plan: Plan,
    ) -> None:
        """Start all members of a gang, or none."""
        step = members[0].spec
        if len(members) < step.count:
            return
        trial = [
            placement.measure(room.node, now, room.probes <= 1, self._effects)
            for room in rooms
        ]
        for task in plan.starts:
            for room in trial:
                if room.node.name == task.node:
                    room.take(task)
        chosen = []
        for task in members:
            found = placement.choose(task, trial, now)
            if found is None:
                return
            found.take(task)
            chosen.append(found.node.name)
        attempt = max(task.attempt for task in members)
        saved = max(task.saved for task in members)
        by_name = {room.node.name: room for room in rooms}
        for task, name in zip(members, chosen):
            task.attempt, task.saved = attempt, saved
            _place(task, by_name[name], plan)


def _is_starved(job: book.Job, now: float) -> bool:
    """Tell whether a job has waited long with nothing running."""
    if any(task.node for task in job.tasks.values()):
        job.starved_since = None
        return False
    if job.starved_since is None:
        job.starved_since = now
    return now - job.starved_since >= STARVED_S


def _place(task: book.Task, room: placement.Room, plan: Plan) -> None:
    assert room.node.info is not None
    task.pace = room.infer_share(task) if task.spec.fills else 100
    room.take(task)
    task.node, task.life = room.node.name, room.node.info.life
    plan.starts.append(task)


def _step_name(task: book.Task) -> str:
    return task.name.rpartition('.')[0]
