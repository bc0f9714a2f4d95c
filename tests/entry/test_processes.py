"""Check the settings sent to sidecars, the versions and the dump relay."""

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
    return config_harness.Entry(HARNESS, 'a')


HARNESS = log_harness.Harness()


def set_revision(entry: config_harness.Entry, revision: int) -> None:
    """Put a revision in force at the entry."""
    event = events.SettingsInForce(revision, types.ControlSettings())
    entry.send(addresses.PROCESSES, event)
    HARNESS.run(0.1)


def revisions(probe: log_harness.Probe) -> list[int]:
    """Return the revisions of the settings that were sent."""
    found = config_harness.sent(probe, messages.Control)
    return [item.revision for item in found]


def test_one_message_per_change_and_session(
    entry: config_harness.Entry,
) -> None:
    """Guard against settings that are sent repeatedly."""
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
    """Guard against a sidecar left behind when its connection was full."""
    set_revision(entry, 3)
    probe = entry.open('s', 'sidecar')
    HARNESS.run(0.1)
    msg = config_harness.sent(probe, messages.Control)[0]
    entry.send(addresses.PROCESSES, session.SendRefused(probe.address, msg))
    HARNESS.run(2.0)
    assert revisions(probe) == [3, 3]


def test_versions_show_which_process_is_behind(
    entry: config_harness.Entry,
) -> None:
    """Guard against a rollout reported as complete while a process lags."""
    set_revision(entry, 3)
    entry.open('s1', 'sidecar', 3)
    entry.open('s2', 'sidecar', 2)
    entry.query('v', addresses.PROCESSES, queries.GetVersions())
    HARNESS.run(0.1)
    found = {
        item['process']: item['behind']
        for item in entry.find_reply('v').processes
    }
    assert found == {'a': False, 's1': False, 's2': True}
    report = events.RevisionReported('fleet/sessions/s2', 3)
    entry.send(addresses.PROCESSES, report)
    entry.query('w', addresses.PROCESSES, queries.GetVersions())
    HARNESS.run(0.1)
    assert not any(i['behind'] for i in entry.find_reply('w').processes)


def test_dump_is_relayed(entry: config_harness.Entry) -> None:
    """Guard against a missing reply or the dump of another process."""
    probe = entry.open('s', 'sidecar')
    entry.query('d', addresses.PROCESSES, queries.GetDump('s'))
    entry.query('e', addresses.PROCESSES, queries.GetDump('nobody'))
    entry.query('f', addresses.PROCESSES, queries.GetDump('s'))
    HARNESS.run(0.1)
    sent = config_harness.sent(probe, messages.DumpRequest)
    reply = messages.DumpReply(sent[0].token, '{"a": 1}')
    entry.deliver('s', 'sidecar', reply)
    HARNESS.run(0.1)
    assert entry.find_reply('d') == queries.Dump('{"a": 1}')
    assert isinstance(entry.find_reply('e'), queries.Refused)
    HARNESS.run(6.0)
    assert isinstance(entry.find_reply('f'), queries.NotKnown)
