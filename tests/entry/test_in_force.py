"""Check how entries agree on the document in force and keep it."""

import pytest

import config_harness
from kcr_core import configuration
from kcr_core import document_text
from kcr_core import messages
from kcr_core import records
from kcr_core import types
from kcr_entry import addresses
from kcr_entry.configuration import queries
from kcr_runtime import log_records
import log_harness


@pytest.fixture
def harness() -> log_harness.Harness:
    """Return a harness with an emulated log."""
    return log_harness.Harness()


def try_and_promote(
    harness: log_harness.Harness,
    entry: config_harness.Entry,
    budget: float = 0.1,
) -> int:
    """Put a document in force in production and return its revision."""
    file = config_harness.read_file(budget)
    entry.publish(f'try-{budget}', file)
    harness.run(1.5)
    tried = entry.find_reply(f'try-{budget}')
    assert isinstance(tried, queries.InForceNow)
    entry.publish(f'promote-{budget}', file, 'production')
    harness.run(1.5)
    promoted = entry.find_reply(f'promote-{budget}')
    assert isinstance(promoted, queries.InForceNow)
    return promoted.revision


def make_offer(
    revision: int, budget: float = 0.1, environment: str = 'production'
) -> messages.DocumentOffer:
    """Return the offer of a peer."""
    file = config_harness.read_file(budget)
    text = document_text.pack(file.text)
    return messages.DocumentOffer(
        revision, file.digest, text, environment, True
    )


def test_trial_and_promotion_reach_both_environments(
    harness: log_harness.Harness,
) -> None:
    """Guard against a document in force that an entry does not follow."""
    trial = config_harness.Entry(harness, 'a', 'trial')
    production = config_harness.Entry(harness, 'b')
    harness.run(1.5)
    revision = try_and_promote(harness, trial)
    assert [s.revision for s in trial.settings()] == [1]
    assert [s.revision for s in production.settings()] == [revision]
    settings = production.settings()[0]
    assert settings.settings.weights.tail_latency == 8
    assert dict(settings.quotas).keys() == {'search', 'billing', 'research'}


def test_racing_operators_get_different_answers(
    harness: log_harness.Harness,
) -> None:
    """Guard against two publications on one base that both succeed."""
    first = config_harness.Entry(harness, 'a', 'trial')
    second = config_harness.Entry(harness, 'b', 'trial')
    harness.run(1.5)
    first.publish('x', config_harness.read_file(0.2), base=0)
    second.publish('y', config_harness.read_file(0.3), base=0)
    harness.run(1.0)
    answers = [first.find_reply('x'), second.find_reply('y')]
    in_force = [a for a in answers if isinstance(a, queries.InForceNow)]
    lost = [a for a in answers if isinstance(a, queries.Lost)]
    assert len(in_force) == len(lost) == 1
    assert lost[0].revision == in_force[0].revision


def test_promotion_needs_a_trial(harness: log_harness.Harness) -> None:
    """Guard against a production document that was never tried."""
    entry = config_harness.Entry(harness, 'a')
    harness.run(1.5)
    entry.publish('x', config_harness.read_file(), 'production')
    harness.run(1.5)
    assert isinstance(entry.find_reply('x'), queries.Refused)


def test_lost_answer_still_gives_the_verdict(
    harness: log_harness.Harness,
) -> None:
    """Guard against `NotKnown` for a record that was read back."""
    entry = config_harness.Entry(harness, 'a', 'trial')
    harness.run(1.5)
    harness.log.lose_next = 1
    entry.publish('x', config_harness.read_file())
    harness.run(1.0)
    assert entry.find_reply('x').revision == 1


def test_publication_in_an_outage_is_not_known(
    harness: log_harness.Harness,
) -> None:
    """Guard against `InForceNow` or no reply during an outage of the log."""
    entry = config_harness.Entry(harness, 'a', 'trial')
    harness.run(1.5)
    harness.log.outage = 'hold'
    entry.publish('x', config_harness.read_file())
    harness.run(25.0)
    assert isinstance(entry.find_reply('x'), queries.NotKnown)


def test_start_without_log_waits_for_every_peer(
    harness: log_harness.Harness,
) -> None:
    """Guard against a start on an old document in an outage of the log."""
    harness.log.outage = 'refuse'
    entry = config_harness.Entry(
        harness, 'c', peers=('listen-a', 'listen-b', 'listen-c')
    )
    harness.run(4.0)
    assert not entry.ready()
    session = entry.open('a', 'entry')
    harness.run(0.1)
    assert config_harness.sent(session, messages.DocumentRequest)
    entry.deliver('a', 'entry', make_offer(4, 0.2))
    harness.run(0.1)
    assert not entry.ready()
    session = entry.open('b', 'entry')
    entry.deliver(
        'b', 'entry', messages.DocumentOffer(9, 'x', '', 'production')
    )
    harness.run(0.1)
    assert not entry.ready(), 'the text of revision 9 is missing'
    assert len(config_harness.sent(session, messages.DocumentRequest)) == 2
    entry.deliver('b', 'entry', make_offer(9, 0.3))
    harness.run(0.1)
    assert entry.ready()
    assert [s.revision for s in entry.settings()] == [4, 9]
    entry.deliver('a', 'entry', make_offer(4, 0.2))
    harness.run(0.1)
    assert entry.settings()[-1].settings.retry_budget == 0.3
    assert entry.dump()['revision'] == 9


def test_restarted_process_does_not_follow_a_stale_peer_first(
    harness: log_harness.Harness,
) -> None:
    """Guard against a process that goes back while it starts.

    Its last incarnation followed revision 9; the stale peer answers first
    (the entries `entry-1, 29, 24` of tests/processes/test_document_race.py).
    """
    harness.log.outage = 'refuse'
    entry = config_harness.Entry(harness, 'c', peers=('listen-a', 'listen-b'))
    entry.open('a', 'entry')
    entry.deliver('a', 'entry', make_offer(4, 0.2))
    harness.run(0.5)
    assert entry.dump()['revision'] == 0
    entry.open('b', 'entry')
    entry.deliver('b', 'entry', make_offer(9, 0.3))
    harness.run(0.1)
    assert [s.revision for s in entry.settings()] == [9]


def test_peer_that_is_away_does_not_keep_the_others_from_starting(
    harness: log_harness.Harness,
) -> None:
    """Guard against a process that waits for ever for a frozen peer."""
    harness.log.outage = 'refuse'
    entry = config_harness.Entry(harness, 'c', peers=('listen-a', 'listen-b'))
    entry.open('a', 'entry')
    entry.deliver('a', 'entry', make_offer(4, 0.2))
    harness.run(4.0)
    assert [s.revision for s in entry.settings()] == [4]


def test_log_does_not_replace_a_newer_document_of_a_peer(
    harness: log_harness.Harness,
) -> None:
    """Guard against a revision that decreases when the log is read."""
    writer = config_harness.Entry(harness, 'a', 'trial')
    harness.run(1.5)
    try_and_promote(harness, writer)
    harness.log.outage = 'refuse'
    entry = config_harness.Entry(harness, 'b')
    entry.open('p', 'entry')
    entry.deliver('p', 'entry', make_offer(50, 0.4))
    harness.run(3.5)
    harness.log.outage = 'none'
    harness.run(6.0)
    assert entry.dump()['in_force']['production']['revision'] == 2
    assert {s.revision for s in entry.settings()} == {50}
    assert not entry.dump()['violated']


def test_restarted_task_follows_no_older_document(
    harness: log_harness.Harness,
) -> None:
    """Guard against an older document after a restart without the log."""
    harness.log.outage = 'refuse'
    entry = config_harness.Entry(harness, 'a', peers=('listen-p',))
    entry.open('p', 'entry')
    entry.deliver('p', 'entry', make_offer(9, 0.3))
    harness.run(0.1)
    entry.restart()
    entry.open('p', 'entry')
    entry.deliver('p', 'entry', make_offer(4, 0.2))
    harness.run(4.0)
    assert not entry.dump()['ready']
    assert {s.revision for s in entry.settings()} == {9}
    entry.deliver('p', 'entry', make_offer(9, 0.3))
    harness.run(0.1)
    assert entry.dump()['ready']


def test_settings_of_sidecars_are_followed_without_the_log(
    harness: log_harness.Harness,
) -> None:
    """Guard against default settings after every entry restarted.

    In an outage of the log only the sidecars still have the settings.
    """
    writer = config_harness.Entry(harness, 'w', 'trial')
    harness.run(1.5)
    try_and_promote(harness, writer)
    harness.log.outage = 'refuse'
    entry = config_harness.Entry(harness, 'a')
    probe = entry.open('s', 'sidecar', 7)
    harness.run(0.2)
    assert config_harness.sent(probe, messages.DocumentRequest)
    newest = types.ControlSettings(heartbeat_s=2.0)
    entry.deliver('s', 'sidecar', messages.Control(7, newest))
    entry.deliver('s', 'sidecar', messages.Control(6, types.ControlSettings()))
    harness.run(0.2)
    harness.log.outage = 'none'
    harness.run(4.0)
    assert entry.dump()['in_force']['production']['revision'] == 2
    assert {s.revision for s in entry.settings()} == {7}
    assert entry.settings()[-1].settings == newest
    assert not config_harness.sent(probe, messages.Control)


def test_bad_offers_are_not_followed(harness: log_harness.Harness) -> None:
    """Guard against a text with a wrong digest or of another environment."""
    entry = config_harness.Entry(harness, 'a')
    entry.open('p', 'entry')
    offer = make_offer(7)
    entry.deliver(
        'p',
        'entry',
        messages.DocumentOffer(7, '0' * 64, offer.text, 'production', True),
    )
    entry.deliver('p', 'entry', make_offer(7, environment='other'))
    harness.run(1.0)
    assert entry.settings() == []


def test_document_survives_the_trim(harness: log_harness.Harness) -> None:
    """Guard against a document that is lost when its record is trimmed."""
    harness.log.retention_s = 60.0
    entry = config_harness.Entry(harness, 'a', retention_s=60.0)
    harness.run(1.5)
    revision = try_and_promote(harness, entry)
    for _ in range(3):
        harness.run(30.0)
    late = config_harness.Entry(harness, 'b')
    harness.run(1.0)
    assert late.dump()['certain']
    assert [s.revision for s in late.settings()] == [revision]
    late.publish('x', config_harness.read_file(0.7))
    harness.run(1.5)
    assert isinstance(late.find_reply('x'), queries.InForceNow)
    assert not entry.dump()['violated']
    assert entry.dump()['checked']['restated_is_same'] >= 2


@pytest.mark.parametrize(
    'text',
    [
        'format: 2\n',
        config_harness.read_file().text.replace('"spread"', '"newer"'),
        config_harness.read_file().text.replace('"budget"', '"allowed"'),
    ],
    ids=['other format', 'unknown policy', 'unknown field'],
)
def test_unreadable_document_leaves_the_settings(
    harness: log_harness.Harness, text: str
) -> None:
    """Guard against a process that fails on a newer document format."""
    entry = config_harness.Entry(harness, 'a', 'trial')
    harness.run(1.5)
    entry.publish('x', config_harness.read_file())
    harness.run(1.5)
    item = records.Tried('trial', 1, document_text.infer_digest(text), text)
    batch = records.Batch('newer', (item,))
    harness.log._stream('config').append(
        'id', log_records.encode(batch), harness.clock.seconds()
    )
    harness.run(1.5)
    assert entry.dump()['revision'] == 2
    assert 'revision 2' in entry.dump()['unreadable']
    assert {s.revision for s in entry.settings()} == {1}


def test_history_names_every_verdict(harness: log_harness.Harness) -> None:
    """Guard against a history without the publications that lost."""
    entry = config_harness.Entry(harness, 'a', 'trial')
    harness.run(1.5)
    entry.publish('first', config_harness.read_file(0.2))
    entry.publish('second', config_harness.read_file(0.3))
    harness.run(1.5)
    entry.query('h', addresses.IN_FORCE, queries.GetHistory('trial'))
    harness.run(0.1)
    verdicts: list[configuration.Verdict] = list(
        entry.find_reply('h').verdicts
    )
    assert [(v.operator, bool(v.refused)) for v in verdicts] == [
        ('first', False),
        ('second', True),
    ]


def test_promotion_waits_for_a_trial_that_is_not_read_yet(
    harness: log_harness.Harness,
) -> None:
    """Guard against a refusal right after another entry confirmed the trial.

    The entry that is asked to promote reads the record an instant later.
    """
    entry = config_harness.Entry(harness, 'a')
    harness.run(1.5)
    file = config_harness.read_file()
    entry.publish('x', file, 'production')
    harness.run(0.1)
    assert entry.find_reply('x') is None
    entry.publish('t', file)
    harness.run(1.5)
    assert isinstance(entry.find_reply('t'), queries.InForceNow)
    assert isinstance(entry.find_reply('x'), queries.InForceNow)
