"""Bring about, with real processes, a restart of a runner beside its calls."""

import pathlib
import threading
import time
import typing

import deployment as deployments

# Time for which lists are on their way to the runner, in seconds; the tasks
# of a job end within it.
LIST_DELAY_S = 0.9


def test_restart_between_a_list_and_its_arrival(
    tmp_path: pathlib.Path,
) -> None:
    """Guard against tasks of a job that run again after they were done.

    A runner restarted under its id, carried out the starts that were on their
    way, and forgot their ends by a cursor of the old incarnation that came
    later (the picture of the fault soak, seed 201).
    """
    made = deployments.Deployment(tmp_path, schedulers=1, agents=1)
    try:
        for number in range(3):
            made.submit(f'{number:016x}')
            made.wait_completed(f'{number:016x}')
        runner = made.runners['a1']
        answer, beat = runner.answer, runner.send_heartbeat
        delayed = threading.Event()

        def answer_late(
            path: str, *args: typing.Any
        ) -> tuple[int, typing.Any]:
            if path == '/-/hold' and delayed.is_set():
                time.sleep(LIST_DELAY_S)
            return answer(path, *args)

        def beat_unless_delayed(control: str, seq: int) -> bool:
            return not delayed.is_set() and beat(control, seq)

        vars(runner)['answer'] = answer_late
        vars(runner)['send_heartbeat'] = beat_unless_delayed
        for number in range(3, 6):
            delayed.set()
            runner.start_incarnation()
            made.submit(f'{number:016x}')
            time.sleep(2.0 * LIST_DELAY_S)
            delayed.clear()
            made.wait_completed(f'{number:016x}')
        assert made.checker.violations == [], made.read_logs()
    finally:
        made.close()
