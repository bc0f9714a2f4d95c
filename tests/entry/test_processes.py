"""Check what sidecars are sent, who lags, and the relay of dumps."""

import pytest

import config_harness
from kcr_core import messages
from kcr_core import types
from kcr_entry import addresses
from kcr_entry.configuration import queries
from kcr_entry import events
from kcr_runtime.wire import session
import log_harness


@pytest.fixture
def entry() -> config_harness.Entry:
    """Return an entry without a log."""
    return config_harness.Entry(WORLD, 'a')


WORLD = log_harness.Harness()


def set_revision(entry: config_harness.Entry, revision: int) -> None:
    """Put a revision in force at the entry."""
    event = events.SettingsInForce(revision, types.ControlSettings())
    entry.tell(addresses.PROCESSES, event)
    WORLD.run(0.1)


def revisions(probe: log_harness.Probe) -> list[int]:
    """Return the revisions of the settings that were sent."""
    found = config_harness.sent(probe, messages.Control)
    return [item.revision for item in found]


def test_one_message_per_change_and_session(
    entry: config_harness.Entry,
) -> None:
    """Guard against settings that are sent again and again."""
    set_revision(entry, 3)
    old = entry.open('old', 'sidecar', 2)
    new = entry.open('new', 'sidecar', 3)
    peer = entry.open('peer', 'entry', 0)
    for _ in range(3):
        set_revision(entry, 3)
    assert revisions(old) == [3]
    assert revisions(new) == []
    set_revision(entry, 5)
    set_revision(entry, 4)
    assert revisions(old) == [3, 5]
    assert revisions(new) == [5]
    assert revisions(peer) == []


def test_refused_settings_are_sent_again(entry: config_harness.Entry) -> None:
    """Guard against a sidecar that stays behind after a full connection."""
    set_revision(entry, 3)
    probe = entry.open('s', 'sidecar')
    WORLD.run(0.1)
    msg = config_harness.sent(probe, messages.Control)[0]
    entry.tell(addresses.PROCESSES, session.SendRefused(probe.address, msg))
    WORLD.run(2.0)
    assert revisions(probe) == [3, 3]


def test_versions_name_who_is_behind(entry: config_harness.Entry) -> None:
    """Guard against "in force everywhere" while a process lags."""
    set_revision(entry, 3)
    entry.open('s1', 'sidecar', 3)
    entry.open('s2', 'sidecar', 2)
    entry.ask('v', addresses.PROCESSES, queries.GetVersions())
    WORLD.run(0.1)
    found = {
        item['process']: item['behind'] for item in entry.answer('v').processes
    }
    assert found == {'a': False, 's1': False, 's2': True}
    seen = events.RevisionSeen('fleet/sessions/s2', 3)
    entry.tell(addresses.PROCESSES, seen)
    entry.ask('w', addresses.PROCESSES, queries.GetVersions())
    WORLD.run(0.1)
    assert not any(i['behind'] for i in entry.answer('w').processes)


def test_dump_is_relayed(entry: config_harness.Entry) -> None:
    """Guard against the dump of another process, or none."""
    probe = entry.open('s', 'sidecar')
    entry.ask('d', addresses.PROCESSES, queries.GetDump('s'))
    entry.ask('e', addresses.PROCESSES, queries.GetDump('nobody'))
    entry.ask('f', addresses.PROCESSES, queries.GetDump('s'))
    WORLD.run(0.1)
    asked = config_harness.sent(probe, messages.DumpRequest)
    reply = messages.DumpReply(asked[0].token, '{"a": 1}')
    entry.hear('s', 'sidecar', reply)
    WORLD.run(0.1)
    assert entry.answer('d') == queries.Dump('{"a": 1}')
    assert isinstance(entry.answer('e'), queries.Refused)
    WORLD.run(6.0)
    assert isinstance(entry.answer('f'), queries.NotKnown)
