"""Check how a document comes in force and stays in force."""

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
def world() -> log_harness.Harness:
    """Return a world with an emulated log."""
    return log_harness.Harness()


def try_and_promote(
    world: log_harness.Harness,
    entry: config_harness.Entry,
    budget: float = 0.1,
) -> int:
    """Put a document in force in production and return its revision."""
    file = config_harness.read_file(budget)
    entry.publish(f'try-{budget}', file)
    world.run(1.5)
    tried = entry.answer(f'try-{budget}')
    assert isinstance(tried, queries.InForceNow)
    entry.publish(f'promote-{budget}', file, 'production')
    world.run(1.5)
    promoted = entry.answer(f'promote-{budget}')
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
    world: log_harness.Harness,
) -> None:
    """Guard against a document in force that an entry does not follow."""
    trial = config_harness.Entry(world, 'a', 'trial')
    production = config_harness.Entry(world, 'b')
    world.run(1.5)
    revision = try_and_promote(world, trial)
    assert [s.revision for s in trial.settings()] == [1]
    assert [s.revision for s in production.settings()] == [revision]
    settings = production.settings()[0]
    assert settings.settings.weights.tail_latency == 8
    assert dict(settings.quotas).keys() == {'search', 'billing', 'research'}


def test_racing_operators_get_different_answers(
    world: log_harness.Harness,
) -> None:
    """Guard against two operators who are both told that they won."""
    first = config_harness.Entry(world, 'a', 'trial')
    second = config_harness.Entry(world, 'b', 'trial')
    world.run(1.5)
    first.publish('x', config_harness.read_file(0.2), base=0)
    second.publish('y', config_harness.read_file(0.3), base=0)
    world.run(1.0)
    answers = [first.answer('x'), second.answer('y')]
    won = [a for a in answers if isinstance(a, queries.InForceNow)]
    lost = [a for a in answers if isinstance(a, queries.Lost)]
    assert len(won) == len(lost) == 1
    assert lost[0].revision == won[0].revision


def test_promotion_needs_a_trial(world: log_harness.Harness) -> None:
    """Guard against production text that was never tried."""
    entry = config_harness.Entry(world, 'a')
    world.run(1.5)
    entry.publish('x', config_harness.read_file(), 'production')
    world.run(1.5)
    assert isinstance(entry.answer('x'), queries.Refused)


def test_lost_answer_still_gives_the_verdict(
    world: log_harness.Harness,
) -> None:
    """Guard against "not known" for a record that was read back."""
    entry = config_harness.Entry(world, 'a', 'trial')
    world.run(1.5)
    world.log.lose_next = 1
    entry.publish('x', config_harness.read_file())
    world.run(1.0)
    assert entry.answer('x').revision == 1


def test_outage_is_answered_without_a_claim(
    world: log_harness.Harness,
) -> None:
    """Guard against "in force" or silence while the log is down."""
    entry = config_harness.Entry(world, 'a', 'trial')
    world.run(1.5)
    world.log.outage = 'hold'
    entry.publish('x', config_harness.read_file())
    world.run(25.0)
    assert isinstance(entry.answer('x'), queries.NotKnown)


def test_start_without_log_waits_for_every_peer(
    world: log_harness.Harness,
) -> None:
    """Guard against a start on an old document while the log is down."""
    world.log.outage = 'refuse'
    entry = config_harness.Entry(
        world, 'c', peers=('listen-a', 'listen-b', 'listen-c')
    )
    world.run(4.0)
    assert not entry.ready()
    session = entry.open('a', 'entry')
    world.run(0.1)
    assert config_harness.sent(session, messages.DocumentRequest)
    entry.hear('a', 'entry', make_offer(4, 0.2))
    world.run(0.1)
    assert not entry.ready()
    session = entry.open('b', 'entry')
    entry.hear('b', 'entry', messages.DocumentOffer(9, 'x', '', 'production'))
    world.run(0.1)
    assert not entry.ready(), 'revision 9 is known and not held'
    assert len(config_harness.sent(session, messages.DocumentRequest)) == 2
    entry.hear('b', 'entry', make_offer(9, 0.3))
    world.run(0.1)
    assert entry.ready()
    assert [s.revision for s in entry.settings()] == [4, 9]
    entry.hear('a', 'entry', make_offer(4, 0.2))
    world.run(0.1)
    assert entry.settings()[-1].settings.retry_budget == 0.3
    assert entry.dump()['revision'] == 9


def test_log_does_not_take_back_a_peers_document(
    world: log_harness.Harness,
) -> None:
    """Guard against a revision that goes down when the log is read."""
    writer = config_harness.Entry(world, 'a', 'trial')
    world.run(1.5)
    try_and_promote(world, writer)
    world.log.outage = 'refuse'
    entry = config_harness.Entry(world, 'b')
    entry.open('p', 'entry')
    entry.hear('p', 'entry', make_offer(50, 0.4))
    world.run(3.5)
    world.log.outage = 'none'
    world.run(6.0)
    assert entry.dump()['in_force']['production']['revision'] == 2
    assert {s.revision for s in entry.settings()} == {50}
    assert not entry.dump()['violated']


def test_restarted_task_does_not_go_back(world: log_harness.Harness) -> None:
    """Guard against an old document after a restart without the log."""
    world.log.outage = 'refuse'
    entry = config_harness.Entry(world, 'a', peers=('listen-p',))
    entry.open('p', 'entry')
    entry.hear('p', 'entry', make_offer(9, 0.3))
    world.run(0.1)
    entry.restart()
    entry.open('p', 'entry')
    entry.hear('p', 'entry', make_offer(4, 0.2))
    world.run(4.0)
    assert not entry.dump()['ready']
    assert {s.revision for s in entry.settings()} == {9}
    entry.hear('p', 'entry', make_offer(9, 0.3))
    world.run(0.1)
    assert entry.dump()['ready']


def test_settings_of_sidecars_are_followed_without_the_log(
    world: log_harness.Harness,
) -> None:
    """Guard against defaults when every entry was restarted in an outage."""
    writer = config_harness.Entry(world, 'w', 'trial')
    world.run(1.5)
    try_and_promote(world, writer)
    world.log.outage = 'refuse'
    entry = config_harness.Entry(world, 'a')
    probe = entry.open('s', 'sidecar', 7)
    world.run(0.2)
    assert config_harness.sent(probe, messages.DocumentRequest)
    newest = types.ControlSettings(heartbeat_s=2.0)
    entry.hear('s', 'sidecar', messages.Control(7, newest))
    entry.hear('s', 'sidecar', messages.Control(6, types.ControlSettings()))
    world.run(0.2)
    world.log.outage = 'none'
    world.run(4.0)
    assert entry.dump()['in_force']['production']['revision'] == 2
    assert {s.revision for s in entry.settings()} == {7}
    assert entry.settings()[-1].settings == newest
    assert not config_harness.sent(probe, messages.Control)


def test_bad_offers_are_not_followed(world: log_harness.Harness) -> None:
    """Guard against a text without its digest or of another environment."""
    entry = config_harness.Entry(world, 'a')
    entry.open('p', 'entry')
    offer = make_offer(7)
    entry.hear(
        'p',
        'entry',
        messages.DocumentOffer(7, '0' * 64, offer.text, 'production', True),
    )
    entry.hear('p', 'entry', make_offer(7, environment='other'))
    world.run(1.0)
    assert entry.settings() == []


def test_document_survives_the_trim(world: log_harness.Harness) -> None:
    """Guard against a document that is lost when its record is trimmed."""
    world.log.retention_s = 60.0
    entry = config_harness.Entry(world, 'a', retention_s=60.0)
    world.run(1.5)
    revision = try_and_promote(world, entry)
    for _ in range(3):
        world.run(30.0)
    late = config_harness.Entry(world, 'b')
    world.run(1.0)
    assert late.dump()['certain']
    assert [s.revision for s in late.settings()] == [revision]
    late.publish('x', config_harness.read_file(0.7))
    world.run(1.5)
    assert isinstance(late.answer('x'), queries.InForceNow)
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
    world: log_harness.Harness, text: str
) -> None:
    """Guard against a process that fails on a newer kind of document."""
    entry = config_harness.Entry(world, 'a', 'trial')
    world.run(1.5)
    entry.publish('x', config_harness.read_file())
    world.run(1.5)
    item = records.Tried('trial', 1, document_text.infer_digest(text), text)
    batch = records.Batch('newer', (item,))
    world.log._stream('config').append(
        'id', log_records.encode(batch), world.clock.seconds()
    )
    world.run(1.5)
    assert entry.dump()['revision'] == 2
    assert 'revision 2' in entry.dump()['unreadable']
    assert {s.revision for s in entry.settings()} == {1}


def test_history_names_every_verdict(world: log_harness.Harness) -> None:
    """Guard against a history that hides who lost."""
    entry = config_harness.Entry(world, 'a', 'trial')
    world.run(1.5)
    entry.publish('first', config_harness.read_file(0.2))
    entry.publish('second', config_harness.read_file(0.3))
    world.run(1.5)
    entry.ask('h', addresses.IN_FORCE, queries.GetHistory('trial'))
    world.run(0.1)
    verdicts: list[configuration.Verdict] = list(entry.answer('h').verdicts)
    assert [(v.operator, bool(v.refused)) for v in verdicts] == [
        ('first', False),
        ('second', True),
    ]
