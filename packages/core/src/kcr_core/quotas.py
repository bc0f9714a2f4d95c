"""Check the quotas of teams and order the tasks that wait for a home.

The entry checks the quota when a task is submitted; `task_moves` uses the
order.
"""

from collections import abc

from kcr_core import live_task
from kcr_core import types


def check_quota(
    team: str,
    demand: types.Demand,
    used: types.Demand,
    quotas: abc.Mapping[str, types.Demand],
) -> str:
    """Return why `demand` exceeds the quota; empty if it does not.

    A team without a quota is not limited.
    """
    quota = quotas.get(team)
    if quota is None:
        return ''
    total = used.plus(demand)
    over = [
        f'{name} {required:g} of {limit:g}'
        for name, required, limit in (
            ('processors', total.processors, quota.processors),
            ('memory_mb', total.memory_mb, quota.memory_mb),
            ('accelerators', total.accelerators, quota.accelerators),
        )
        if required > limit
    ]
    if not over:
        return ''
    return f'quota of team {team} would be exceeded: {", ".join(over)}'


def order_waiting(
    tasks: abc.Iterable[live_task.LiveTask],
) -> list[live_task.LiveTask]:
    """Return waiting tasks in the order in which to place them."""
    return sorted(
        tasks, key=lambda t: (not t.spec.urgent, t.at_ms, t.spec.key)
    )
