"""Check by random steps that a task never runs on two instances.

Three entries read one log at different speeds; appends are delayed,
duplicated or lost; sidecars are paused, restarted and fenced without cause;
callers cancel while tasks finish, move and are evicted.
"""

import dataclasses
import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from kcr_core import fencing
from kcr_core import ledger
from kcr_core import live_task
from kcr_core import records
from kcr_core import types

CFG = types.ControlSettings()
WAIT_S = CFG.isolation_s + CFG.task_lease_s + CFG.allowance_s
ENTRIES = strategies.integers(0, 2)
INSTANCES = strategies.integers(0, 2)
KEYS = strategies.integers(0, 2)


def make_spec(number: int) -> types.TaskSpec:
    """Return one of the tasks of the run."""
    return types.TaskSpec(f't{number}', 'c', 'team', 'kind', types.Demand(1.0))


@dataclasses.dataclass
class Entry:
    """Model one entry: its ledger, its log position and known sidecars."""

    state: ledger.Ledger = dataclasses.field(default_factory=ledger.Ledger)
    position: int = 0
    # Time of the last read that reached the end of the log.
    current_at: float = -1e9
    # Newest incarnation of each instance that has connected.
    known_sidecars: dict[str, fencing.ConnectedSidecar] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass
class Sidecar:
    """Model one instance: its sidecar, and its worker with task leases."""

    instance: str
    incarnation_number: int = 1
    paused: bool = False
    # Time from which the last renewal of the authority counts.
    confirmed_at: float = -1e9
    # Lease end of each task that the worker runs, by key and epoch.
    leases: dict[tuple[str, int], float] = dataclasses.field(
        default_factory=dict
    )
    # Epochs that this incarnation started or took over.
    started: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    # Tasks that ran when this incarnation of the sidecar began.
    listed: frozenset[tuple[str, int]] = frozenset()

    @property
    def home(self) -> types.Home:
        """Return the home that this incarnation is."""
        return types.Home(
            self.instance,
            f'{self.instance}-{self.incarnation_number}',
            self.incarnation_number,
        )

    @property
    def name(self) -> tuple[str, str]:
        """Return the instance and incarnation."""
        return self.instance, self.home.incarnation

    def may_run(self, now: float) -> bool:
        """Return whether the sidecar has authority."""
        return now - self.confirmed_at <= CFG.isolation_s

    def restart(self) -> None:
        """Begin a new incarnation; the worker continues its tasks."""
        self.incarnation_number += 1
        self.paused = False
        self.confirmed_at = -1e9
        self.started = set(self.leases)
        self.listed = frozenset(self.leases)


class Homes(stateful.RuleBasedStateMachine):
    """Run entries, sidecars and the log in random steps."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.log: list[typing.Any] = []
        self.delayed: list[typing.Any] = []
        self.entries = [Entry() for _ in range(3)]
        self.sidecars = [Sidecar(f'i{n}') for n in range(3)]

    def is_fresh(self, entry: Entry) -> bool:
        """Return whether an entry may append."""
        return self.now - entry.current_at <= CFG.isolation_s

    def append(self, item: typing.Any, how: str) -> None:
        """Append an item; `how` is `now`, `later`, `twice` or `lost`."""
        if how in ('now', 'twice'):
            self.log.append(item)
        if how in ('later', 'twice'):
            self.delayed.append(item)

    @stateful.rule(number=ENTRIES, limit=strategies.integers(1, 40))
    def read(self, number: int, limit: int) -> None:
        """Read some records; a read to the end makes the view current."""
        entry = self.entries[number]
        for item in self.log[entry.position : entry.position + limit]:
            entry.state.apply(item, self.now, int(self.now * 1000))
            entry.position += 1
        if entry.position == len(self.log):
            entry.current_at = self.now

    @stateful.rule(
        number=ENTRIES,
        key=KEYS,
        instance=INSTANCES,
        how=strategies.sampled_from(['now', 'later', 'twice', 'lost']),
    )
    def submit(self, number: int, key: int, instance: int, how: str) -> None:
        """Accept a task at any instance."""
        entry, spec = self.entries[number], make_spec(key)
        known = spec.key in entry.state.live or spec.key in entry.state.ended
        if self.is_fresh(entry) and not known:
            home = self.sidecars[instance].home
            self.append(records.Accepted(spec, home, 0), how)

    @stateful.rule(pick=strategies.integers(0, 50))
    def deliver(self, pick: int) -> None:
        """Append a delayed item."""
        if self.delayed:
            self.log.append(self.delayed.pop(pick % len(self.delayed)))

    @stateful.rule(number=ENTRIES, instance=INSTANCES)
    def connect(self, number: int, instance: int) -> None:
        """Announce a sidecar to an entry."""
        sidecar = self.sidecars[instance]
        if not sidecar.paused:
            self.entries[number].known_sidecars[sidecar.instance] = (
                fencing.ConnectedSidecar(sidecar.home, sidecar.listed)
            )

    @stateful.rule(number=ENTRIES, instance=INSTANCES)
    def beat(self, number: int, instance: int) -> None:
        """Send a heartbeat, which renews the authority or reports a fence."""
        entry, sidecar = self.entries[number], self.sidecars[instance]
        if sidecar.paused or not self.is_fresh(entry):
            return
        if fencing.is_fenced(sidecar.name, sidecar.listed, entry.state):
            sidecar.leases.clear()
            sidecar.restart()
            return
        sidecar.confirmed_at = max(sidecar.confirmed_at, entry.current_at)
        self.renew(sidecar)

    def renew(self, sidecar: Sidecar) -> None:
        """Renew the task leases while the sidecar has authority."""
        if sidecar.paused or not sidecar.may_run(self.now):
            return
        for run in sidecar.leases:
            sidecar.leases[run] = self.now + CFG.task_lease_s

    @stateful.rule(number=ENTRIES, instance=INSTANCES)
    def assign(self, number: int, instance: int) -> None:
        """Send the tasks of a home from a view that may be outdated."""
        entry, sidecar = self.entries[number], self.sidecars[instance]
        if sidecar.paused or not sidecar.may_run(self.now):
            return
        for key, task in entry.state.live.items():
            run = (key, task.epoch)
            if task.home == sidecar.home and run not in sidecar.started:
                sidecar.started.add(run)
                sidecar.leases[run] = self.now + CFG.task_lease_s

    @stateful.rule(number=ENTRIES, instance=INSTANCES)
    def fence(self, number: int, instance: int) -> None:
        """Fence a sidecar, with or without cause."""
        entry, sidecar = self.entries[number], self.sidecars[instance]
        if self.is_fresh(entry):
            self.log.append(records.Fenced(*sidecar.name, wait_s=WAIT_S))

    @stateful.rule(
        number=ENTRIES,
        instance=INSTANCES,
        how=strategies.sampled_from(['now', 'later', 'twice']),
    )
    def move(self, number: int, instance: int, how: str) -> None:
        """Move or adopt every task that the entry is allowed to."""
        entry = self.entries[number]
        if not self.is_fresh(entry):
            return
        for key, task in entry.state.live.items():
            home = task.home
            if home is None:
                continue
            verdict = fencing.decide_home(
                key,
                task,
                entry.state.fences.get((home.instance, home.incarnation)),
                entry.known_sidecars.get(home.instance),
                self.now,
            )
            if isinstance(verdict, fencing.Adopt):
                self.append(live_task.make_restated(task, verdict.home), how)
            elif isinstance(verdict, fencing.Move):
                target = self.sidecars[instance].home
                item = fencing.choose_loss_record(task, target, verdict.reason)
                self.append(item, how)

    @stateful.rule(
        number=ENTRIES,
        key=KEYS,
        how=strategies.sampled_from(['cancel', 'restate']),
    )
    def cancel(self, number: int, key: int, how: str) -> None:
        """Cancel a task, or restate it from a view that may be outdated."""
        entry = self.entries[number]
        task = entry.state.live.get(make_spec(key).key)
        if task is None or not self.is_fresh(entry):
            return
        if how == 'cancel':
            self.log.append(records.Cancelled(task.spec.key))
        else:
            self.delayed.append(live_task.make_restated(task, task.home))

    @stateful.rule(
        number=ENTRIES,
        instance=INSTANCES,
        goal=INSTANCES,
        finished=strategies.booleans(),
        how=strategies.sampled_from(['now', 'later', 'twice']),
    )
    def stop(
        self, number: int, instance: int, goal: int, finished: bool, how: str
    ) -> None:
        """End or evict a task and report it to an entry."""
        entry, sidecar = self.entries[number], self.sidecars[instance]
        if sidecar.paused or not sidecar.leases:
            return
        run = min(sidecar.leases)
        del sidecar.leases[run]
        key, epoch = run
        task = entry.state.live.get(key)
        if task is None or task.epoch != epoch or not self.is_fresh(entry):
            return
        if finished:
            item: typing.Any = records.FinishedRecord(key, epoch, 'done')
        else:
            home = self.sidecars[goal].home
            item = records.Moved(key, epoch + 1, home, 'checkpoint')
        self.append(item, how)

    @stateful.rule(instance=INSTANCES, pause=strategies.booleans())
    def disturb(self, instance: int, pause: bool) -> None:
        """Pause, resume or restart a sidecar."""
        sidecar = self.sidecars[instance]
        if pause:
            sidecar.paused = not sidecar.paused
        else:
            sidecar.restart()

    @stateful.rule(
        seconds=strategies.sampled_from([1, 2, 4, 8, 12, 18]),
        readers=strategies.integers(0, 7),
        links=strategies.integers(0, 511),
        movers=strategies.integers(0, 7),
        goal=INSTANCES,
    )
    def run(
        self, seconds: int, readers: int, links: int, movers: int, goal: int
    ) -> None:
        """Advance the time while some entries read, connect and move tasks."""
        for _ in range(seconds):
            self.tick()
            for number in range(3):
                if readers >> number & 1:
                    self.read(number, 100)
                for instance in range(3):
                    if links >> (3 * number + instance) & 1:
                        self.connect(number, instance)
                        self.beat(number, instance)
                        self.assign(number, instance)
                if movers >> number & 1:
                    self.move(number, goal, 'now')
            self.runs_once()

    def tick(self) -> None:
        """Advance the time by one second; leases are renewed or expire."""
        self.now += 1.0
        for sidecar in self.sidecars:
            if not sidecar.paused and not sidecar.may_run(self.now):
                # Tasks of an older incarnation run until their lease expires.
                sidecar.leases = {
                    run: end
                    for run, end in sidecar.leases.items()
                    if run in sidecar.listed
                }
            self.renew(sidecar)
            sidecar.leases = {
                run: end
                for run, end in sidecar.leases.items()
                if end > self.now
            }

    @stateful.initialize()
    def begin(self) -> None:
        """Start with a task at each instance and up-to-date entries."""
        for number in range(3):
            self.read(number, 1)
            self.submit(0, number, number, 'now')
        self.run(1, 7, 511, 0, 0)
        assert all(sidecar.leases for sidecar in self.sidecars)

    @stateful.invariant()
    def runs_once(self) -> None:
        """Assert that no task runs at two workers or under two epochs."""
        running = [run for s in self.sidecars for run in s.leases]
        keys = [key for key, _ in running]
        assert len(keys) == len(set(keys)), f'runs twice: {sorted(running)}'

    @stateful.invariant()
    def readers_agree(self) -> None:
        """Assert that entries at the same offset have the same state."""
        states_by_position: dict[int, typing.Any] = {}
        for entry in self.entries:
            state = entry.state
            shown = (
                [(k, t.epoch, t.home) for k, t in sorted(state.live.items())],
                sorted((k, e.outcome) for k, e in state.ended.items()),
                sorted(state.fences),
            )
            assert (
                states_by_position.setdefault(entry.position, shown) == shown
            )


TestHomes = Homes.TestCase
TestHomes.settings = hypothesis.settings(
    derandomize=True,
    max_examples=200,
    stateful_step_count=30,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
