"""Convert what membership reports into what the decisions take."""

import typing

from kcr_core import homes
from kcr_core import records
from kcr_core import types
from kcr_entry import events


def list_running(
    event: events.EndpointChanged,
) -> frozenset[tuple[str, int]]:
    """Return the key and epoch of the tasks that ran at connection."""
    if event.state is None:
        return frozenset()
    return frozenset((run.task, run.epoch) for run in event.state.running)


def make_offer(event: events.EndpointChanged) -> homes.Offer:
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
        open=event.phase == 'up' and is_rebuilt(event),
        running=list_running(event),
    )


def is_rebuilt(event: events.EndpointChanged) -> bool:
    """Tell whether the sidecar has read the list of its worker."""
    return event.state is not None and event.state.controller_epoch > 0


def is_new_session(
    held: events.EndpointChanged | None, event: events.EndpointChanged
) -> bool:
    """Tell whether a sidecar has connected since it was last seen."""
    return (
        held is None or held.session != event.session or held.phase == 'gone'
    )


def is_new_state(
    held: events.EndpointChanged | None, event: events.EndpointChanged
) -> bool:
    """Tell whether a sidecar has announced its state again."""
    return held is None or held.state is not event.state


def infer_key(item: typing.Any) -> str:
    """Return the key of a record that is written again."""
    if isinstance(item, records.Restated):
        return item.spec.key
    if isinstance(item, records.Fenced):
        return f'{item.instance}/{item.incarnation}'
    return str(item.task)
