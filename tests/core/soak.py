"""Run the state machines of the pure decisions for a number of steps.

All random choices come from the seed. The command ends at the first failure
with the shortest trace that Hypothesis found and the command to repeat it.
"""

from collections import abc
import dataclasses
import hashlib
import random
import resource
import types
import typing

import defopt
import hypothesis
from hypothesis import stateful

import test_claims
import test_configuration
import test_homes_machine
import test_requests_machine
import test_task_control_machine

MACHINES: dict[str, type[stateful.RuleBasedStateMachine]] = {
    'claims': test_claims.Claims,
    'configuration': test_configuration.ConcurrentOperators,
    'homes': test_homes_machine.Homes,
    'requests': test_requests_machine.Requests,
    'task_control': test_task_control_machine.Homes,
}
# Examples of one round; the memory that Hypothesis uses grows with a round.
ROUND_EXAMPLES = 50


@dataclasses.dataclass
class Count:
    """Count the steps of one machine."""

    # Steps that were run, including those of the search for a short trace.
    steps: int = 0
    # Runs from the initial state.
    examples: int = 0
    # Rounds that were started.
    rounds: int = 0
    # Digest of all steps and their arguments.
    digest: typing.Any = dataclasses.field(default_factory=hashlib.sha256)


def show(value: typing.Any) -> str:
    """Return an argument as text that is the same in every process."""
    if isinstance(value, types.FunctionType):
        return f'{value.__name__}:{value.__code__.co_firstlineno}'
    if isinstance(value, list | tuple):
        return f'[{",".join(map(show, value))}]'
    return repr(value)


def make_counted(
    machine: type[stateful.RuleBasedStateMachine], count: Count
) -> type[stateful.RuleBasedStateMachine]:
    """Return the machine with its steps counted and digested."""

    def wrap(
        function: abc.Callable[..., typing.Any],
    ) -> abc.Callable[..., typing.Any]:
        def run(self: typing.Any, **arguments: typing.Any) -> typing.Any:
            count.steps += 1
            text = f'{function.__name__} {show(sorted(arguments.items()))};'
            count.digest.update(text.encode())
            return function(self, **arguments)

        run.__name__ = function.__name__
        return run

    # Hypothesis has no public hook for a step, so this uses internals of the
    # pinned version.
    state = machine.setup_state()
    counted_state = dataclasses.replace(
        state,
        rules=[
            dataclasses.replace(rule, function=wrap(rule.function))
            for rule in state.rules
        ],
    )

    class Counted(machine):  # type: ignore[valid-type, misc]
        def __init__(self) -> None:
            count.examples += 1
            super().__init__()

        @classmethod
        def setup_state(cls) -> typing.Any:
            return counted_state

    Counted.__name__ = Counted.__qualname__ = machine.__name__
    return Counted


def run_round(
    machine: type[stateful.RuleBasedStateMachine],
    seed: str,
    examples: int,
    count: Count,
) -> None:
    """Run examples of a machine; raise the first failure."""
    count.rounds += 1
    counted = make_counted(machine, count)
    hypothesis.seed(random.Random(seed).getrandbits(64))(counted)
    stateful.run_state_machine_as_test(
        counted,
        settings=hypothesis.settings(
            max_examples=examples,
            stateful_step_count=machine.TestCase.settings.stateful_step_count,
            database=None,
            deadline=None,
            phases=(hypothesis.Phase.generate, hypothesis.Phase.shrink),
            report_multiple_bugs=False,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )


def report(name: str, seed: int, count: Count) -> None:
    """Print the counts of a machine."""
    print(
        f'seed={seed} machine={name} steps={count.steps} '
        f'examples={count.examples} rounds={count.rounds} '
        f'digest={count.digest.hexdigest()[:16]}',
        flush=True,
    )


def main(
    *, seed: int = 1, steps: int = 2000, machine: str = '', first: int = 0
) -> None:
    """Run the machines in turn until each has run its share of the steps.

    :param seed: origin of all random choices
    :param steps: steps of all machines together; the last round of each
        machine is completed, so that a few more may be run
    :param machine: name of the only machine to run; empty for all
    :param first: first round, to repeat a failure without those before it
    """
    names = [machine] if machine else sorted(MACHINES)
    share = max(1, steps // len(names))
    counts = {name: Count() for name in names}
    number = first
    while any(count.steps < share for count in counts.values()):
        for name, count in counts.items():
            if count.steps >= share:
                continue
            size = MACHINES[name].TestCase.settings.stateful_step_count
            left = -(-(share - count.steps) // size)
            examples = min(ROUND_EXAMPLES, left)
            passed = False
            try:
                run_round(
                    MACHINES[name], f'{seed}/{name}/{number}', examples, count
                )
                passed = True
            finally:
                if not passed:
                    report(name, seed, count)
                    print(
                        f'failed; repeat: make soak SEED={seed} STEPS=', end=''
                    )
                    print(steps)
                    print(
                        'or this round alone: .venv/bin/python '
                        f'tests/core/soak.py --seed {seed} '
                        f'--machine {name} --first {number} '
                        f'--steps {examples * size}',
                        flush=True,
                    )
        number += 1
    for name, count in counts.items():
        report(name, seed, count)
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024
    print(f'no failure; peak memory {peak} MiB')


if __name__ == '__main__':
    defopt.run(main)
