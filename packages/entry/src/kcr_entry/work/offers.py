"""Convert what membership reports into what the decisions take."""

import typing

from kcr_core import homes
from kcr_core import records
from kcr_core import types
from kcr_entry import events


def list_running(
    event: events.EndpointSeen,
) -> frozenset[tuple[str, int]]:
    """Return the key and epoch of the tasks that ran at connection."""
    if event.state is None:
        return frozenset()
    return frozenset((run.task, run.epoch) for run in event.state.running)


def make_offer(event: events.EndpointSeen) -> homes.Offer:
    """Return what an endpoint offers to tasks."""
    assert event.state is not None, 'offer without full state'
    home = types.Home(
        event.place.instance, event.incarnation, event.state.controller_epoch
    )
    return homes.Offer(
        home=home,
        place=event.place,
        capacity=event.state.capacity.resources,
        free=event.free,
        open=event.phase == 'up',
        running=list_running(event),
    )


def infer_key(item: typing.Any) -> str:
    """Return the key of a record that is written again."""
    if isinstance(item, records.Restated):
        return item.spec.key
    if isinstance(item, records.Fenced):
        return f'{item.instance}/{item.incarnation}'
    return str(item.task)
