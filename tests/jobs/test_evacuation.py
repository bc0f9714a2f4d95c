"""Check that nothing is started in a zone that operators have evacuated."""

import dataclasses
import typing

import job_harness
import pytest

from kcr_jobs import caller_requests
from kcr_jobs import conditions
from kcr_jobs import evacuation
from kcr_jobs import messages
from kcr_jobs import types

SMALL = types.Step(1, types.Demand(100, 100), estimate_ms=1000.0)
KINDS = {
    'plain': SMALL,
    'filler': dataclasses.replace(SMALL, fills=True, image='b'),
    'serving': dataclasses.replace(SMALL, lasts=True, max_unavailable=1),
    'gang': dataclasses.replace(SMALL, count=3, gang=True),
}


def make_runner(
    name: str, zone: str, cpu: int = 16000
) -> job_harness.FakeRunner:
    """Return a runner in a zone."""
    runner = job_harness.FakeRunner(name, cpu)
    runner.info = dataclasses.replace(runner.info, zone=zone)
    return runner


def make() -> job_harness.Harness:
    """Return an owner with a large and a small runner in two zones."""
    harness = job_harness.Harness(
        make_runner('a', 'z1'), make_runner('b', 'z2', 700)
    )
    harness.step(caller_requests.DISCOVERY_S)
    return harness


def evacuate(harness: job_harness.Harness, offset: int, *zones: str) -> None:
    """Put a view of the evacuated zones into force."""
    harness.evacuation = evacuation.View(offset, frozenset(zones))
    harness.ctl.set_evacuation(harness.evacuation)
    harness.flush()


@pytest.mark.parametrize('kind', KINDS)
def test_nothing_is_started_in_an_evacuated_zone(kind: str) -> None:
    """Guard against a start there, and a zone that is never used again."""
    harness = make()
    harness.submit(job_harness.make_job('old', KINDS[kind]))
    harness.step()
    old = harness.find_placements('old')
    evacuate(harness, 1, 'z1')
    for number in range(8):
        harness.submit(job_harness.make_job(f'new{number}', KINDS[kind]))
    for _ in range(6):
        harness.step()
    assert set(harness.find_placements('new').values()) == {'b'}
    events = {event.event for event in harness.log_events}
    assert 'start withdrawn' not in events, 'a start was chosen there'
    assert harness.find_placements('old') == old, 'a running task moved'
    harness.runners['b'].connected = False
    evacuate(harness, 2)
    harness.submit(job_harness.make_job('last', KINDS[kind]))
    harness.ctl.detach('s-b')
    harness.step()
    harness.step()
    assert set(harness.find_placements('last').values()) == {'a'}


def test_evacuated_runners_are_counted_for_a_waiting_step() -> None:
    """Guard against a job that waits without the reason in the log."""
    harness = make()
    harness.submit(
        job_harness.make_job('j', dataclasses.replace(SMALL, label='rack-a'))
    )
    evacuate(harness, 1, 'z1', 'nowhere')
    harness.step()
    harness.step()
    found = [e for e in harness.log_events if e.event == 'step waits']
    assert found[0].fields['zone_evacuated'] == 1
    assert found[0].fields['label'] == 1


def test_start_that_waited_for_the_log_is_withdrawn() -> None:
    """Guard against a start that was chosen before the evacuation.

    Its withdrawal is no failure of the runner, which is used again later.
    """
    harness = make()
    near = dataclasses.replace(SMALL, label='rack-a')
    harness.store_available = False
    harness.submit(job_harness.make_job('j', near))
    harness.step()
    evacuate(harness, 1, 'z1')
    harness.store_available = True
    for _ in range(4):
        harness.step()
    assert not harness.find_placements('j')
    assert harness.ctl.runners['a'].failure_rate == 0.0
    assert ('zone_evacuations', 'start_withdrawn') in harness.ctl.counts
    evacuate(harness, 2)
    harness.step()
    harness.step()
    assert harness.find_placements('j') == {'j.0.0.0': 'a'}


def test_agent_is_told_of_an_evacuation_without_a_report() -> None:
    """Guard against an agent that repeats an unanswered start there."""
    harness = make()
    told: list[bool] = []

    def handle(msg: typing.Any) -> None:
        if isinstance(msg, messages.RunnerReportAck):
            told.append(msg.starts_closed)

    runner = harness.runners['a']
    runner.handle = handle  # type: ignore[method-assign]
    evacuate(harness, 1, 'z1')
    assert told == [True]
    harness.report(runner)
    assert told == [True, True]
    evacuate(harness, 2)
    assert told == [True, True, False]


def test_new_owner_starts_nothing_before_it_knows_the_zones() -> None:
    """Guard against a start by an owner that has not read the topic yet."""
    harness = make()
    evacuate(harness, 1, 'z1')
    harness.submit(
        job_harness.make_job('j', dataclasses.replace(SMALL, count=8))
    )
    for runner in harness.runners.values():
        runner.connected = False
    harness.take_over()
    harness.ctl.conditions = conditions.Conditions()
    for runner in harness.runners.values():
        runner.connected = True
    harness.attach_all()
    for _ in range(5):
        harness.step(1.0)
    assert not harness.find_placements('j')
    evacuate(harness, 1, 'z1')
    harness.step()
    assert set(harness.find_placements('j').values()) == {'b'}


def test_jobs_are_refused_only_if_every_zone_of_the_service_is_evacuated() -> (
    None
):
    """Guard against jobs that wait for hours, and against false refusals."""
    harness = make()
    harness.submit(job_harness.make_job('held', SMALL))
    evacuate(harness, 1, 'z1')
    harness.submit(job_harness.make_job('j', SMALL))
    assert harness.replies[-1].outcome == 'accepted'
    evacuate(harness, 2, 'z1', 'z2')
    harness.submit(job_harness.make_job('k', SMALL))
    refused = harness.replies[-1]
    assert (refused.outcome, refused.detail) == (
        'refused', 'all zones are evacuated',
    )  # fmt: skip
    assert refused.number > 0
    harness.submit(job_harness.make_job('j', SMALL))
    assert harness.replies[-1].outcome == 'accepted', 'it is in the log'
    # Runners of another service don't matter.
    other = types.Queue('o', 'other')
    harness.submit(job_harness.make_job('l', SMALL, queue=other))
    assert harness.replies[-1].outcome == 'accepted'


def test_new_owner_waits_for_agents_before_it_refuses() -> None:
    """Guard against refusals while only the evacuated runners are known."""
    harness = make()
    evacuate(harness, 1, 'z1')
    harness.runners['b'].connected = False
    harness.take_over()
    harness.attach_all()
    harness.submit(job_harness.make_job('j', SMALL))
    assert harness.replies[-1].outcome == 'accepted'


def read(
    tracker: evacuation.Tracker, end: int, *keys: str, full: bool = False
) -> list[str]:
    """Pass a read to a tracker; a key with `-` before it has no value."""
    entries = [(key.removeprefix('-'), key[0] != '-') for key in keys]
    if not full:
        return tracker.record_read(entries, end)
    tracker.begin_full_read()
    return tracker.record_full_read(entries, end)


def test_view_of_a_stale_peer_does_not_replace_a_newer_one() -> None:
    """Guard against a start beside a peer that has read less."""
    tracker = evacuation.Tracker()
    tracker.record_peer(evacuation.View(3, frozenset(['z1'])))
    assert tracker.view == evacuation.View(3, frozenset(['z1']))
    read(tracker, 2, full=True)
    assert evacuation.forbids(tracker.view, 'z1'), 'own read is older'
    read(tracker, 4, 'evacuate/z2', 'config')
    read(tracker, 5, 'evacuate/z1')
    tracker.record_peer(evacuation.View(4))
    assert tracker.view == evacuation.View(5, frozenset(['z1', 'z2']))
    read(tracker, 6, '-evacuate/z2')
    assert tracker.view == evacuation.View(6, frozenset(['z1']))


def test_removal_is_seen_after_a_trimmed_topic() -> None:
    """Guard against an evacuation for good, as its removal was trimmed."""
    tracker = evacuation.Tracker()
    read(tracker, 5, 'evacuate/z1', 'evacuate/z2', full=True)
    read(tracker, 9, 'evacuate/z2', full=True)
    assert tracker.view == evacuation.View(9, frozenset(['z2']))


def test_topic_that_was_recreated_replaces_all_views() -> None:
    """Guard against a stale peer that evacuates a zone for good.

    Its view has a higher offset, which is one of the older topic.
    """
    stale = evacuation.View(9, frozenset(['z1']))
    tracker = evacuation.Tracker()
    read(tracker, 9, 'evacuate/z1', full=True)
    read(tracker, 2, 'evacuate/z2', full=True)
    assert tracker.view is not None
    assert tracker.view.zones == {'z2'}
    tracker.record_peer(stale)
    assert tracker.view.zones == {'z2'}
    # Another process has read on, as the topic had grown again meanwhile.
    other = evacuation.Tracker()
    read(other, 1, full=True)
    read(other, 3, 'evacuate/z3')
    assert not other.needs_full_read()
    other.record_peer(tracker.view)
    assert other.view == tracker.view
    assert other.needs_full_read()
    read(other, 4, 'evacuate/z2', full=True)
    assert not other.needs_full_read()
    tracker.record_peer(other.view)
    assert tracker.view == other.view


def test_odd_keys_are_skipped_and_reported_once() -> None:
    """Guard against a zone without a name, and a log full of one key."""
    tracker = evacuation.Tracker()
    long = evacuation.KEY_PREFIX + 'x' * (evacuation.MAX_ZONE_CHARS + 1)
    keys = (evacuation.KEY_PREFIX, long, 'evacuate', 'evacuate/z')
    assert read(tracker, 4, *keys, full=True) == [evacuation.KEY_PREFIX, long]
    assert read(tracker, 4, *keys, full=True) == []
    assert tracker.view == evacuation.View(4, frozenset(['z']))


def test_pulse_carries_a_view() -> None:
    """Guard against a peer of an older build that seems to have a view."""
    view = evacuation.View(7, frozenset(['z1', 'z2']), 1)
    fields = evacuation.to_pulse_fields(view)
    pulse = messages.Pulse(1, '', False, 1, 1, (0, 'p'), **fields)
    assert evacuation.from_pulse(pulse) == view
    older = messages.Pulse(1, '', False, 1, 1, (0, 'p'))
    assert evacuation.from_pulse(older) is None
    many = frozenset(str(n) for n in range(evacuation.MAX_SHARED_ZONES + 1))
    assert not evacuation.to_pulse_fields(evacuation.View(7, many))
