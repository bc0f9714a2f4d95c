"""Test the decoding of heartbeats, configurations, jobs and store pages."""

import json
import pathlib
import typing

import pytest

from kcr_jobs import job_checks
from kcr_jobs import records
from kcr_jobs import types
from kcr_platform import decode
from kcr_platform import decode_jobs
from kcr_platform import decode_runner
from kcr_platform import log_store
from kcr_platform import settings
from kcr_platform import settings_file
from kcr_runtime import store
from kcr_scheduler.work import codec

BEAT: dict[str, typing.Any] = {
    'Service': 'svc', 'Addr': '10.0.0.1:1', 'Zone': 'z', 'Version': 'v1',
    'Slots': 8, 'State': 'draining', 'RemainingMs': 900,
    'Capacity': {'Cpu': 16000, 'MemMb': 32768, 'Gpu': 0},
    'Labels': ['a', 'r1-3'], 'ClockMs': 5, 'Seq': 4, 'born': 7,
}  # fmt: skip


def test_heartbeat() -> None:
    """Guard against a draining runner that is treated as ready."""
    body = decode.read(decode_runner.HeartbeatBody, json.dumps(BEAT).encode())
    info = body.to_info('i-1')
    assert info.draining and info.remaining_ms == 900
    assert info.incarnation == 'i-1@7'
    assert info.capacity.cpu == 16000


@pytest.mark.parametrize(
    'change',
    [
        {'State': 'sleeping'},
        {'Seq': 'four'},
        {'Capacity': None},
        {'Capacity': {'Cpu': -1}},
        {'Service': 5},
        {'Labels': 'a'},
        {'born': -3},
    ],
)
def test_malformed_heartbeat_is_refused(
    change: dict[str, typing.Any],
) -> None:
    """Guard against malformed entries of other writers taken for runners."""
    data = json.dumps({**BEAT, **change}).encode()
    with pytest.raises(decode.BadBody):
        decode.read(decode_runner.HeartbeatBody, data)


@pytest.mark.parametrize('data', [b'', b'\xff\x00', b'[]', b'{}', b'null'])
def test_unreadable_heartbeat(data: bytes) -> None:
    """Guard against undecodable bytes that raise an unexpected exception."""
    with pytest.raises(decode.BadBody):
        decode.read(decode_runner.HeartbeatBody, data)


def test_configuration_finds_the_longest_prefix() -> None:
    """Guard against a job that goes to the queue of a shorter prefix."""
    routes = [
        {'Name': n, 'Host': 'A.example', 'PathPrefix': p, 'Service': 's'}
        for n, p in (('r1', '/q/'), ('r2', '/q/more/'))
    ]
    found = decode_jobs.read_config(
        json.dumps({'Version': 9, 'Routes': routes}).encode()
    )
    assert found.version == 9
    long, short = (
        found.find_route('a.example', path) for path in ('/q/more/1', '/q/1')
    )
    assert long is not None and long.queue.name == 'r2'
    assert short is not None and short.queue.name == 'r1'
    assert found.find_route('a.example', '/z') is None
    assert found.find_route('b.example', '/q/1') is None


def test_job_with_a_later_dependency_is_malformed() -> None:
    """Guard against a job whose steps wait for each other forever."""
    route = decode.read(
        decode_jobs.RouteBody,
        b'{"Name": "r", "PathPrefix": "/", "Service": "s"}',
    ).to_route()
    body = decode.read(
        decode_jobs.JobBody, b'{"Spec": "x", "Phases": [{"DependsOn": [0]}]}'
    )
    with pytest.raises(decode.BadBody):
        body.to_spec('j', route.queue)


def test_truncated_page_ends_before_the_partial_record() -> None:
    """Guard against a truncated record that is accepted as complete."""
    whole = b'\x00\x00\x00\x02ab'
    body = (9).to_bytes(8, 'big') + bytes(8) + whole + whole[:5]
    page = log_store._read_page(body, 3)
    assert isinstance(page, store.Page)
    assert page.end == 9 and page.records == (b'ab',)


def test_largest_job_fits_into_a_record_of_the_log() -> None:
    """Guard against an accepted job that is too large to append."""
    queue = types.Queue('q' * 128, 's' * 128)
    step = {
        'Count': 1, 'Cpu': 99999, 'MemMb': 99999, 'Gpu': 9, 'EstimateMs': 9e9,
        'Constraints': 'x' * 16, 'Affinity': 'r1-3', 'Image': 'x' * 16,
        'LongRunning': True, 'TargetMs': 99.5,
    }  # fmt: skip
    body = {'Spec': 'x' * 65536, 'Phases': [step] * job_checks.MAX_STEPS}
    spec = decode.read(decode_jobs.JobBody, json.dumps(body).encode()).to_spec(
        'f' * 16, queue
    )
    data = codec.encode('id', [records.Accepted(spec, 10**13)])
    assert len(data) < 256 * 1024


def test_job_with_too_many_tasks_is_malformed() -> None:
    """Guard against a job that uses up the memory of the owner."""
    step = {'Count': job_checks.MAX_TASKS // 2 + 1}
    data = json.dumps({'Spec': 'x', 'Phases': [step, step]}).encode()
    with pytest.raises(decode.BadBody):
        decode.read(decode_jobs.JobBody, data).to_spec(
            'j', types.Queue('q', 's')
        )


@pytest.mark.parametrize(
    ('model', 'body'),
    [
        (decode_jobs.JobBody, {'Phases': [0] * 5000}),
        (decode_jobs.JobBody, {'Phases': [{'DependsOn': [-1] * 5000}]}),
        (decode_runner.HeartbeatBody, {**BEAT, 'Labels': [0] * 5000}),
    ],
)
def test_only_the_first_wrong_item_is_described(
    model: type[decode.Body], body: typing.Any
) -> None:
    """Guard against a list of errors that takes 600 times the body."""
    with pytest.raises(decode.BadBody) as caught:
        decode.read(model, json.dumps(body).encode())
    assert str(caught.value).count('Input should be') == 1


def test_regions_of_a_route_and_of_zones(
    monkeypatch: pytest.MonkeyPatch, tmp_path: pathlib.Path
) -> None:
    """Guard against a list of regions that is read as empty."""
    route = {
        'Name': 'r', 'PathPrefix': '/', 'Service': 's',
        'AllowedRegions': ['r1', 'r2'],
    }  # fmt: skip
    body = json.dumps({'Version': 1, 'Routes': [route]}).encode()
    found = decode_jobs.read_config(body)
    queue = found.routes[''][0].queue
    assert queue.allowed_regions == ('r1', 'r2')
    path = tmp_path / 'settings.toml'
    path.write_text(
        'NodeName = "s"\nIp = "127.0.0.1"\nZone = "z1"\nRegion = "x"\n'
        '[Listen]\n[platform]\nAddr = "127.0.0.1:1"\n'
        '[Zones]\nz1 = "r1"\nz2 = "r2"\n'
    )
    monkeypatch.setenv(settings_file.PATH_VARIABLE, str(path))
    options = settings.scheduler_options(settings.read())
    assert options['zone_regions'] == ['z1=r1', 'z2=r2']
    assert options['region'] == 'r1'


def test_cold_runners_of_a_service_and_a_heartbeat() -> None:
    """Guard against a cold runner that is taken for a warm one."""
    service = {'Name': 'svc', 'ColdStartS': 8, 'ColdPerS': 1.5}
    body = json.dumps({'Version': 1, 'Services': [service, {}]}).encode()
    found = decode_jobs.read_config(body).services['svc']
    assert (found.cold_start_s, found.cold_per_s) == (8.0, 1.5)
    for change, expected in (({'ColdRemainingMs': 700}, 700), ({}, -1)):
        beat = json.dumps({**BEAT, **change}).encode()
        info = decode.read(decode_runner.HeartbeatBody, beat).to_info('i')
        assert info.cold_remaining_ms == expected
