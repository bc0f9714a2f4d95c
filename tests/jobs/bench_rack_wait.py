"""Print the time to the end of jobs by how long they wait for a hot rack.

Run by `make bench`. `none` never waits, `fixed` waits a second at most,
`expected` is the decision in force, and `unlimited` waits as long as the rack
has runners. The figures are means of four seeds of the loads K and O of
docs/design/hard-load.md, with one burst of batch and short jobs of which most
want one rack. A job counts as in time as callers count it.
"""

import dataclasses
import statistics

import hot_rack

SEEDS = (1, 2, 3, 4)
POLICIES = ('none', 'fixed', 'expected', 'unlimited')
# Factor and length of the burst in seconds.
BURSTS = ((2.0, 6.0), (2.6, 10.0))


def main() -> None:
    """Print the table."""
    print('wait for a hot rack: time to the end of jobs in seconds')
    print('load burst    policy    | all mean   p90 | hot mean | in time away')
    for name, load in (('K', hot_rack.LOAD_K), ('O', hot_rack.LOAD_O)):
        for burst, burst_s in BURSTS:
            changed = dataclasses.replace(
                load, hot_share=0.8, burst=burst, burst_s=burst_s,
                length_s=burst_s + 4.0,
            )  # fmt: skip
            for policy in POLICIES:
                rows = [hot_rack.replay(changed, policy, s) for s in SEEDS]
                hot_s = [span for row in rows for span in row.hot_s]
                mean = statistics.fmean
                print(
                    f'{name:<4} {burst}x {burst_s:>3.0f} s {policy:<9} | '
                    f'{mean(f.mean_s for f in rows):>8.2f} '
                    f'{mean(f.late_s for f in rows):>5.1f} | '
                    f'{mean(hot_s):>8.2f} | '
                    f'{mean(f.in_time for f in rows):>7.3f} '
                    f'{mean(f.away for f in rows):>4.0f}',
                    flush=True,
                )


if __name__ == '__main__':
    main()
