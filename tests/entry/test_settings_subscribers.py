"""Check that every task that handles the settings receives them."""

import types
import typing

import pytest

from kcr_entry import addresses as entry_addresses
from kcr_entry import events as entry_events
from kcr_entry import supervisor as entry_supervisor
from kcr_runtime import supervisor
from kcr_runtime import task
from kcr_sidecar import addresses as sidecar_addresses
from kcr_sidecar import events as sidecar_events
from kcr_sidecar import supervisor as sidecar_supervisor


def find_handlers(
    parent: supervisor.Supervisor, message: type[typing.Any]
) -> set[str]:
    """Return the addresses below a supervisor that handle a message."""
    found: set[str] = set()
    for spec in parent.children():
        address = parent.child_address(spec.name)
        if not isinstance(spec.factory, type):
            continue
        if issubclass(spec.factory, supervisor.Supervisor):
            child = spec.factory(parent.ctx, address)
            found |= find_handlers(child, message)
        elif issubclass(spec.factory, task.Task):
            if message in spec.factory._handlers:
                found.add(address)
    return found


@pytest.mark.parametrize(
    ('root', 'message', 'subscribers'),
    [
        (
            entry_supervisor.Root,
            entry_events.SettingsInForce,
            entry_addresses.SETTINGS_SUBSCRIBERS,
        ),
        (
            sidecar_supervisor.Root,
            sidecar_events.SettingsInForce,
            sidecar_addresses.SETTINGS_SUBSCRIBERS,
        ),
    ],
    ids=['entry', 'sidecar'],
)
def test_every_handler_is_a_subscriber(
    root: type[supervisor.Supervisor],
    message: type[typing.Any],
    subscribers: tuple[str, ...],
) -> None:
    """Guard against a task that never replaces its default settings."""
    cfg = types.SimpleNamespace(region='r', entries=[])
    ctx: typing.Any = types.SimpleNamespace(cfg=cfg)
    found = find_handlers(root(ctx, ''), message)
    assert len(found) >= 3
    assert found <= set(subscribers)
