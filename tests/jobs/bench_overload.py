"""Print the goodput of callers that compete, without and with admission.

Run by `make bench`. A job that ends within its target counts 1, one that ends
within three times its target a seventh.
"""

import dataclasses

import overload_harness

CAPACITY = overload_harness.CAPACITY
LEARNING_S = overload_harness.LEARNING_S
SECONDS = 40.0


def measure(
    load: overload_harness.Load, part: float, leaves: float
) -> list[tuple[float, float, int]]:
    """Return goodput, that afterwards, and refusals with the part off and on.

    Goodput is in jobs per second.
    """
    rows = []
    for overload in (overload_harness.OFF, overload_harness.ON):
        harness = overload_harness.play(
            overload, load, part, SECONDS, leaves=leaves
        )
        end = LEARNING_S + SECONDS
        rows.append(
            (
                harness.infer_goodput(LEARNING_S, end),
                harness.infer_goodput(end + 5.0, end + 20.0),
                sum(e.event == 'job refused' for e in harness.log_events),
            )
        )
    return rows


def measure_flood() -> list[float]:
    """Return the part of a small queue's jobs in time, off and on."""
    other = dataclasses.replace(overload_harness.SHORT, name='other')
    parts = []
    for overload in (overload_harness.OFF, overload_harness.ON):
        harness = overload_harness.Harness(overload, stragglers=0.0)
        small = overload_harness.Kind('small', 0.8 * CAPACITY, other)
        flood = overload_harness.Kind('flood', 0.8 * CAPACITY)
        harness.play((flood, small), 20.0)
        flood = dataclasses.replace(flood, rate=5.0 * CAPACITY)
        harness.play((flood, small), 30.0)
        callers = harness.find_callers(22.0, 46.0, 'small')
        in_time = sum(c.infer_value() == 1.0 for c in callers)
        parts.append(in_time / len(callers))
    return parts


def main() -> None:
    """Print the table."""
    print('overload: goodput in jobs/s (after it), refusals, part off | on')
    loads = {**overload_harness.LOADS, 'calm': (lambda at: 1.0, 0.5)}
    for name, (load, part) in loads.items():
        for leaves in (0.0, 0.3):
            off, on = measure(load, part, leaves)
            left = ', 3 of 10 leave' if leaves else ''
            print(
                f'{name + left:<36} {off[0]:5.2f} ({off[1]:.2f}) {off[2]:4} | '
                f'{on[0]:5.2f} ({on[1]:.2f}) {on[2]:4}',
                flush=True,
            )
    flood_off, flood_on = measure_flood()
    print(
        f'part of a queue in time beside a flood of another one '
        f'{flood_off:.2f} | {flood_on:.2f}'
    )


if __name__ == '__main__':
    main()
