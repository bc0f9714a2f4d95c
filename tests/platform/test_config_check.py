"""Check which faults of a configuration are found before it is published."""

import json
import pathlib
import typing

import pytest

from kcr_cli import main
from kcr_platform import config_check

ROUTE: dict[str, typing.Any] = {
    'Name': 'a', 'Host': 'jobs.example', 'PathPrefix': '/a/',
    'Service': 'svc', 'MaxAttempts': 3,
}  # fmt: skip
ADVICE = {'DecisionMs': 20, 'PeriodMs': 1, 'ValidMs': 900}


def make(
    *routes: dict[str, typing.Any], **fields: typing.Any
) -> dict[str, typing.Any]:
    """Return a configuration; `routes` override fields of a valid route."""
    return {
        'Version': 3,
        'Routes': [{**ROUTE, **route} for route in routes or ({},)],
        'Services': [{'Name': 'svc'}],
        **fields,
    }


def find(config: typing.Any) -> list[tuple[str, str]]:
    """Return level and path of the findings."""
    _, found = config_check.check(json.dumps(config).encode())
    assert all(item.problem and item.remedy for item in found)
    return [(item.level, item.path) for item in found]


def test_valid_configuration_has_no_findings() -> None:
    """Guard against findings that operators learn to ignore."""
    assert find(make({'Advice': ADVICE})) == []


@pytest.mark.parametrize(
    ('config', 'path'),
    [
        (make(Version=0), 'Version'),
        (make({}, {'Name': 'b', 'Host': 'JOBS.example'}), 'Routes[1]'),
        (make({'PathPrefix': 'a/'}), 'Routes[0].PathPrefix'),
        (make({'Host': 'jobs.example:80'}), 'Routes[0].Host'),
        (make({'Service': 'other'}, {'Name': 'b', 'PathPrefix': '/b/'}),
         'Routes[0].Service'),
        (make({'Advice': {'ValidMs': 900}}), 'Routes[0].Advice.DecisionMs'),
        (make({'Advice': {'DecisionMs': 9}}), 'Routes[0].Advice.ValidMs'),
        (make({'Advice': {'DecisionMs': 9, 'ValidMs': 9}}),
         'Routes[0].Advice.ValidMs'),
        (make({'MaxAttempts': 0}), 'Routes[0].MaxAttempts'),
        (make({'SlackFactor': 0.9}), 'Routes[0].SlackFactor'),
        (make(Limits={'MaxBodyBytes': 20}), 'Limits.MaxBodyBytes'),
        (make(Limits={'MaxBodyBytes': -1}), 'Limits.MaxBodyBytes'),
        (make(Services=[{'Name': 'svc'}, {'Name': 'svc'}]),
         'Services[1].Name'),
        ([], ''),
    ],
)  # fmt: skip
def test_error_is_found(config: typing.Any, path: str) -> None:
    """Guard against a configuration that can't work as it is written."""
    assert ('error', path) in find(config)


@pytest.mark.parametrize(
    ('config', 'path'),
    [
        (make(Routes=[]), 'Routes'),
        (make({'PathPrefix': '/a'}), 'Routes[0].PathPrefix'),
        (make({'Host': ''}), 'Routes[0].Host'),
        (make({}, {'PathPrefix': '/b/'}), 'Routes[1].Name'),
        (make({'TimeoutMs': 500}), 'Routes[0].TimeoutMs'),
        (make(Limits={'MaxBodyBytes': 9999}), 'Limits.MaxBodyBytes'),
        (make(Services=[{'Name': 'svc'}, {'Name': 'x'}]), 'Services[1]'),
    ],
)
def test_warning_is_found(config: typing.Any, path: str) -> None:
    """Guard against a configuration that works in another way than meant."""
    found = find(config)
    assert ('warning', path) in found
    assert not any(level == 'error' for level, _ in found)


def test_all_errors_are_found_at_once() -> None:
    """Guard against an operator who publishes once for each error."""
    config = make({'Name': ''}, {'Host': 5}, {'MaxAttempts': 0}, Limits=[])
    del config['Routes'][0]['PathPrefix']
    paths = [path for level, path in find(config) if level == 'error']
    assert paths == [
        'Limits', 'Routes[0].Name', 'Routes[0].PathPrefix',
        'Routes[1].Host', 'Routes[2].MaxAttempts',
    ]  # fmt: skip


def run(
    capsys: pytest.CaptureFixture[str], *args: str
) -> tuple[int, typing.Any]:
    """Run the command; return the exit status and the JSON value."""
    status = 0
    try:
        main.main(['check-config', *args, '--json'])
    except SystemExit as exc:
        status = int(exc.code or 0)
    out = capsys.readouterr().out
    return status, json.loads(out) if out else None


def write(folder: pathlib.Path, name: str, config: typing.Any) -> str:
    """Write a configuration; return its path."""
    path = folder / name
    path.write_text(json.dumps(config))
    return str(path)


def test_exit_status_of_the_command(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guard against a script that publishes a wrong configuration."""
    right = write(tmp_path, 'right', make())
    wrong = write(tmp_path, 'wrong', make({'MaxAttempts': 0}))
    odd = write(tmp_path, 'odd', make({'TimeoutMs': 500}))
    assert run(capsys, right)[0] == 0
    assert run(capsys, wrong)[0] == 1
    assert run(capsys, odd)[0] == 3
    assert run(capsys, str(tmp_path / 'none'))[0] == 2
    assert run(capsys, right, '--odd')[0] == 2
    main.main(['check-config', right])
    assert capsys.readouterr().out == 'no findings\n'


def test_comparison_names_what_differs(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guard against a change that takes requests from another route."""
    old = write(tmp_path, 'old', make({}, {'Name': 'b', 'PathPrefix': '/b/'}))
    new = write(
        tmp_path, 'new',
        make({'MaxAttempts': 2}, {'Name': 'c', 'PathPrefix': '/b/'},
             Version=4),
    )  # fmt: skip
    status, value = run(capsys, new, '--against', old)
    assert status == 0
    paths = {item['path']: item['routes'] for item in value['differences']}
    assert paths == {
        'Routes.a.MaxAttempts': ['a'], 'Routes.b': ['b'], 'Routes.c': ['c'],
        'requests to jobs.example/b/': ['b', 'c'],
    }  # fmt: skip
    assert value['affected'] == ['a', 'b', 'c']
    status, value = run(capsys, old, '--against', new)
    assert status == 1
    assert value['findings'][0]['path'] == 'Version'


def test_region_without_a_zone_is_found(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a route whose jobs no runner may run."""
    file = write(tmp_path, 'c', make({'AllowedRegions': ['r1', 'r9']}))
    path = tmp_path / 'settings.toml'
    path.write_text(
        'NodeName = "n"\nIp = "127.0.0.1"\nZone = "z"\nRegion = "r1"\n'
        '[Listen]\n[platform]\nAddr = "127.0.0.1:9"\n[Zones]\nz = "r1"\n'
    )
    monkeypatch.setenv('KINGCUPROUTER_CONFIG', str(path))
    status, value = run(capsys, file)
    found = [item['path'] for item in value['findings']]
    assert (status, found) == (1, ['Routes[0].AllowedRegions[1]'])
    monkeypatch.setenv('KINGCUPROUTER_CONFIG', str(tmp_path / 'none'))
    assert run(capsys, file)[0] == 2
    monkeypatch.delenv('KINGCUPROUTER_CONFIG')
    assert config_check.check(pathlib.Path(file).read_bytes())[1] == []
