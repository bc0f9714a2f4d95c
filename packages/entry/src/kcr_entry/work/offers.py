"""Convert and compare the endpoint events of membership.

The task `work/tasks` gets an event for each change of an endpoint; these
functions extract what `kcr_core.homes` and `kcr_core.task_dispatch` take.
"""

import typing

from kcr_core import homes
from kcr_core import records
from kcr_core import types
from kcr_entry import events


def list_running(
    event: events.EndpointChanged,
) -> frozenset[tuple[str, int]]:
    """Return the keys and epochs of the tasks in the endpoint's state."""
    if event.state is None:
        return frozenset()
    return frozenset((run.task, run.epoch) for run in event.state.running)


def make_home_offer(event: events.EndpointChanged) -> homes.Offer:
    """Return the offer of an endpoint as a home of tasks."""
    assert event.state is not None, 'offer without full state'
    home = types.Home(
        event.place.instance, event.incarnation, event.state.controller_epoch
    )
    return homes.Offer(
        home=home,
        place=event.place,
        capacity=event.state.capacity.resources,
        free=event.free,
        open=event.phase == 'up' and is_worker_list_read(event),
        running=list_running(event),
    )


def is_worker_list_read(event: events.EndpointChanged) -> bool:
    """Return whether the sidecar has read the task list of its worker."""
    return event.state is not None and event.state.controller_epoch > 0


def is_new_session(
    previous: events.EndpointChanged | None, event: events.EndpointChanged
) -> bool:
    """Return whether the event is from a new session with the sidecar."""
    return (
        previous is None
        or previous.session != event.session
        or previous.phase == 'gone'
    )


def is_new_state(
    previous: events.EndpointChanged | None, event: events.EndpointChanged
) -> bool:
    """Return whether the sidecar has sent its full state again."""
    return previous is None or previous.state is not event.state


def infer_key(item: typing.Any) -> str:
    """Return the key by which a restated record is queued."""
    if isinstance(item, records.Restated):
        return item.spec.key
    if isinstance(item, records.Fenced):
        return f'{item.instance}/{item.incarnation}'
    return str(item.task)
