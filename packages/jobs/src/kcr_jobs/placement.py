"""Choose the runner of a task."""

from collections import abc
import dataclasses

from kcr_core import registry
from kcr_jobs import book
from kcr_jobs import nodes
from kcr_jobs import pacing
from kcr_jobs import pair_effects
from kcr_jobs import types

# Share of a serving task's reservation that it is taken to keep busy; the
# users' site files give 0.45 on average, with swings of half of it.
SERVING_SHARE = 0.5
# Share of the filler images that are taken to go along with one serving image;
# the users' site files call 55% of the effects heavy.
COMPATIBLE_SHARE = 0.45
# Weight of the processors that a serving task would leave unreserved; it
# decides between runners with the same images.
PACKING_WEIGHT = 0.05
# Share at which a filler starts beside a serving task if the effect of the
# pair isn't known, in percent; enough to measure it within a second.
PROBE_PERCENT = 30.0
# Time after an order in which its effect may not show in reports yet, in
# seconds: the order, half a second of measurement, and the next report.
UNSEEN_S = 1.2
# Pressure up to which fillers are put beside serving tasks; pacing begins a
# little above it.
MAX_PRESSURE = 0.75


@dataclasses.dataclass(slots=True)
class Room:
    """Hold what is left on a node while starts are being chosen."""

    # The node.
    node: nodes.Node
    # Reservable processors, memory and accelerators that are left.
    cpu: int
    mem_mb: int
    gpu: int
    # Processors that fillers can expect to get.
    spare_cpu: float
    # Images of the serving tasks there.
    images: set[str]
    # Tasks by job, occurrence and step.
    same_step: dict[tuple[str, int, int], int]
    # Starts that a suspect node may still get.
    probes: int
    # Effects of fillers on serving tasks.
    effects: pair_effects.PairEffects
    # Serving tasks with their latency against the target, raised by what
    # the fillers that are being started will add.
    pressures: list[tuple[book.Task, float]]

    def take(self, task: book.Task) -> None:
        """Reserve room for a task."""
        demand = task.spec.demand
        self.mem_mb -= demand.mem_mb
        self.gpu -= demand.gpu
        if not task.spec.fills:
            self.cpu -= demand.cpu
        self.spare_cpu -= expected_cpu(task)
        if task.spec.lasts:
            self.images.add(task.spec.image)
        step = (task.job.spec.job_id, task.occurrence, task.step)
        self.same_step[step] = self.same_step.get(step, 0) + 1
        self.probes -= 1
        if task.spec.fills:
            self.pressures = [
                (
                    serving,
                    pressure + self._added(serving, task) * task.pace / 100,
                )
                for serving, pressure in self.pressures
            ]

    def _added(self, serving: book.Task, filler: book.Task) -> float:
        """Return what a filler adds to a latency against its target."""
        added = self.effects.predict(serving.spec.image, filler.spec.image)
        cores = filler.spec.demand.cpu / 1000.0
        return added * cores / serving.spec.target_ms

    def infer_pressure(self, filler: book.Task) -> float:
        """Return the highest pressure once a filler works here as well."""
        return max(
            (p + self._added(s, filler) for s, p in self.pressures),
            default=0.0,
        )

    def infer_share(self, filler: book.Task) -> int:
        """Return the share at which a filler starts here, in percent."""
        share = 100.0
        for serving, pressure in self.pressures:
            if not self.effects.is_known(
                serving.spec.image, filler.spec.image
            ):
                share = min(share, PROBE_PERCENT)
            added = self._added(serving, filler)
            if pressure + added > MAX_PRESSURE:
                room = max(0.0, MAX_PRESSURE - pressure)
                share = min(share, 100.0 * room / added)
        percent = int(share // pacing.STEP) * pacing.STEP
        return max(pacing.LOWEST_PERCENT, percent)


def expected_cpu(task: book.Task) -> float:
    """Return the processors that a task is expected to keep busy."""
    cpu = task.spec.demand.cpu
    return cpu * SERVING_SHARE if task.spec.lasts else float(cpu)


def measure(
    node: nodes.Node,
    now: float,
    suspect: bool,
    effects: pair_effects.PairEffects,
) -> Room:
    """Return the room of a node; a suspect one gets a task at a time."""
    assert node.info is not None
    have = node.info.capacity
    used = node.reserved()
    room = Room(
        node,
        have.cpu - used.cpu,
        have.mem_mb - used.mem_mb,
        have.gpu - used.gpu,
        have.cpu - sum(expected_cpu(t) for t in node.tasks.values()),
        {t.spec.image for t in node.tasks.values() if t.spec.lasts},
        {},
        1_000_000,
        effects,
        _infer_pressures(node, effects, now),
    )
    for task in node.tasks.values():
        step = (task.job.spec.job_id, task.occurrence, task.step)
        room.same_step[step] = room.same_step.get(step, 0) + 1
    if suspect:
        waited = now - node.started_at >= nodes.PROBE_EVERY_S
        room.probes = 1 if waited and not node.tasks else 0
    return room


def find_obstacle(task: book.Task, room: Room) -> str:
    """Return what keeps a task off a node; empty where it fits."""
    spec, info = task.spec, room.node.info
    assert info is not None
    demand = spec.demand
    if info.service != task.job.spec.queue.service:
        return 'service'
    if room.probes <= 0:
        return 'failing runner'
    if demand.mem_mb > room.mem_mb:
        return 'memory'
    if demand.gpu > room.gpu:
        return 'accelerators'
    if not spec.fills and demand.cpu > room.cpu:
        return 'processors'
    if spec.label and spec.label not in info.labels:
        return 'label'
    if spec.max_per_runner:
        step = (task.job.spec.job_id, task.occurrence, task.step)
        if room.same_step.get(step, 0) >= spec.max_per_runner:
            return 'tasks of its step'
    return ''


def find_filler_obstacle(task: book.Task, room: Room, pressure: float) -> str:
    """Return what keeps a filler off a node that it fits; else empty."""
    if room.node.name == task.avoided:
        return 'moved away'
    if room.spare_cpu < task.spec.demand.cpu:
        return 'unused processors'
    if pressure > MAX_PRESSURE:
        return 'pressure'
    return ''


def fits(task: book.Task, room: Room) -> bool:
    """Tell whether a task may be started on a node."""
    return not find_obstacle(task, room)


def explain(task: book.Task, rooms: abc.Iterable[Room]) -> dict[str, int]:
    """Return the number of nodes by what keeps a task off them."""
    found: dict[str, int] = {}
    for room in rooms:
        reason = find_obstacle(task, room)
        if not reason and task.spec.fills:
            pressure = room.infer_pressure(task)
            reason = find_filler_obstacle(task, room, pressure)
        if reason:
            found[reason] = found.get(reason, 0) + 1
    return found


def _infer_pressures(
    node: nodes.Node, effects: pair_effects.PairEffects, now: float
) -> list[tuple[book.Task, float]]:
    """Return the pressures, with what fillers add that doesn't show yet."""
    tasks = list(node.tasks.values())
    unseen = {
        task: cores
        for task in tasks
        if task.spec.fills
        and not task.stopping
        and now - task.paced_at < UNSEEN_S
        and (cores := _infer_unseen_cores(task)) > 0.0
    }
    out = []
    for serving, pressure in pacing.infer_pressures(tasks):
        for task, cores in unseen.items():
            added = effects.predict(serving.spec.image, task.spec.image)
            pressure += added * cores / serving.spec.target_ms
        out.append((serving, pressure))
    return out


def _infer_unseen_cores(task: book.Task) -> float:
    """Return the cores that a filler will use beyond what it reported."""
    return task.spec.demand.cpu * task.pace / 100_000.0 - task.usage / 1000.0


# Scores a node that fits; the lowest score wins, none refuses the node.
Score = abc.Callable[[book.Task, Room, float], float | None]
SCORES: registry.Registry[Score] = registry.Registry('placement score')


@SCORES.register('serving')
def score_serving(task: book.Task, room: Room, now: float) -> float | None:
    """Keep serving tasks of an image together, and pack them.

    A filler needs a runner on which it goes along with every serving image.
    Each image that is added to a runner shuts most of the fillers out that
    could use it so far, the fewer the more images are there already.
    """
    assert room.node.info is not None
    left = (room.cpu - task.spec.demand.cpu) / room.node.info.capacity.cpu
    score = PACKING_WEIGHT * left + room.node.failure_rate
    if task.spec.image not in room.images:
        usable = COMPATIBLE_SHARE ** len(room.images)
        score += usable * (1.0 - COMPATIBLE_SHARE)
    return score


@SCORES.register('filler')
def score_filler(task: book.Task, room: Room, now: float) -> float | None:
    """Put fillers where they disturb least and find unused processors."""
    assert room.node.info is not None
    pressure = room.infer_pressure(task)
    if find_filler_obstacle(task, room, pressure):
        return None
    have = max(1, room.node.info.capacity.cpu)
    return _base(task, room) + pressure - room.spare_cpu / have


@SCORES.register('batch')
def score_batch(task: book.Task, room: Room, now: float) -> float | None:
    """Put other work where most processors are idle."""
    assert room.node.info is not None
    have = max(1, room.node.info.capacity.cpu)
    return _base(task, room) - room.spare_cpu / have


def _base(task: book.Task, room: Room) -> float:
    """Return the part of a score that data, failures and speed add."""
    node, spec = room.node, task.spec
    assert node.info is not None
    score = node.failure_rate
    if node.name in task.failed_on:
        score += 2.0
    if spec.near_rack and spec.near_rack not in node.info.labels:
        score += 1.0
    return score


def kind_of(step: types.Step) -> str:
    """Return the name of the score for the tasks of a step."""
    if step.lasts:
        return 'serving'
    return 'filler' if step.fills else 'batch'


def choose(
    task: book.Task, rooms: abc.Iterable[Room], now: float
) -> Room | None:
    """Return the best room for a task, or none."""
    score = SCORES.get(kind_of(task.spec))
    best: Room | None = None
    best_score = 0.0
    for room in rooms:
        if not fits(task, room):
            continue
        value = score(task, room, now)
        if value is not None and (best is None or value < best_score):
            best, best_score = room, value
    return best


def choose_least_pressed(
    task: book.Task, rooms: abc.Iterable[Room]
) -> Room | None:
    """Return the room that a task disturbs least, however much that is."""
    fitting = [room for room in rooms if fits(task, room)]
    return min(fitting, key=lambda r: r.infer_pressure(task), default=None)
