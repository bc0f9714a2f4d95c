"""Check results and exit codes of commands against fake entries and files."""

import io
import json
import pathlib
import typing

import pytest
from twisted.internet import defer

import fake_entry
from kcr_cli import client
from kcr_cli import exit_codes
from kcr_cli import main
from kcr_cli import output
from kcr_cli import publishing
from kcr_cli import queries
from kcr_document import document

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
FILE = document.parse((EXAMPLES / 'latency.yaml').read_bytes())
OTHER = document.parse((EXAMPLES / 'throughput.yaml').read_bytes())


class Harness:
    """Run commands against a fake cluster."""

    def __init__(self, *entries: str) -> None:
        # The cluster: one trial and two production entries.
        self.cluster = fake_entry.Cluster()
        self.cluster.add('t:1', 'trial', 'te', 'ts')
        self.cluster.add('a:1', 'production', 'pa', 's1', 's2')
        self.cluster.add('b:1', 'production', 'pb', 's2', 's3')
        self.progress = io.StringIO()
        self._results = io.StringIO()
        self.api = client.Client(
            self.cluster, self.cluster.clock, entries or ('t:1', 'a:1', 'b:1')
        )
        self.out = output.Output(self._results, self.progress, True)
        self.publisher = publishing.Publisher(self.api, self.out, 'ann', 9.0)

    def run(
        self, command: typing.Any, seconds: int = 40
    ) -> tuple[exit_codes.ExitCode, dict[str, typing.Any]]:
        """Return the exit code and the result of a command."""
        ended: list[exit_codes.ExitCode] = []
        defer.ensureDeferred(command).addCallback(ended.append)
        for _ in range(seconds * 4):
            if not ended:
                self.cluster.clock.advance(0.25)
        text = self._results.getvalue().splitlines()[-1]
        return ended[0], json.loads(text)


def test_try_and_promote_wait_for_every_process() -> None:
    """Guard against "in force everywhere" while a process lags."""
    harness = Harness()
    code, found = harness.run(harness.publisher.try_file(FILE))
    assert (code, found['outcome']) == (exit_codes.ExitCode.DONE, 'in_force')
    code, found = harness.run(harness.publisher.promote('trial'))
    assert (code, found['revision']) == (exit_codes.ExitCode.DONE, 2)
    assert harness.cluster.publications[-1]['digest'] == FILE.digest
    lines = harness.progress.getvalue().splitlines()
    assert lines[-2:] == [
        'revision 2 in production: 0 of 5 processes, behind: '
        'pa, pb, s1, s2, s3',
        'revision 2 in production: 5 of 5 processes',
    ]


def test_lagging_process_is_named() -> None:
    """Guard against an endless wait or a false "everywhere"."""
    harness = Harness()
    harness.cluster.processes['t:1']['stuck'] = 0
    code, found = harness.run(harness.publisher.try_file(FILE))
    assert (code, found['outcome']) == (
        exit_codes.ExitCode.NOT_KNOWN,
        'not_known',
    )
    assert 'behind: stuck' in found['reason']


def test_unreachable_entry_prevents_everywhere() -> None:
    """Guard against "everywhere" without an answer from every entry."""
    harness = Harness('t:1', 'dead:1')
    code, found = harness.run(harness.publisher.try_file(FILE))
    assert code is exit_codes.ExitCode.NOT_KNOWN
    assert 'no answer: dead:1' in found['reason']


def test_environment_that_no_entry_serves() -> None:
    """Guard against "everywhere" if no entry of the environment is queried."""
    harness = Harness('a:1')
    code, found = harness.run(harness.publisher.try_file(FILE))
    assert code is exit_codes.ExitCode.NOT_KNOWN
    assert found['reason'].endswith('no entry of trial was asked; see --entry')


@pytest.mark.parametrize(
    ('status', 'outcome', 'code'),
    [
        (409, 'lost', exit_codes.ExitCode.NOT_IN_FORCE),
        (503, 'not_in_force', exit_codes.ExitCode.NOT_IN_FORCE),
        (422, 'wrong', exit_codes.ExitCode.NOT_IN_FORCE),
        (504, 'not_known', exit_codes.ExitCode.NOT_KNOWN),
    ],
)
def test_exit_code_of_each_answer(
    status: int, outcome: str, code: exit_codes.ExitCode
) -> None:
    """Guard against an exit code that claims more than the answer."""
    harness = Harness()
    harness.cluster.override = (status, {'outcome': outcome, 'reason': 'why'})
    found = harness.run(harness.publisher.try_file(FILE))
    assert found[0] is code


def test_publication_with_lost_answer_is_polled_not_resent() -> None:
    """Guard against a second publication after a lost answer."""
    harness = Harness()
    harness.cluster.drop_next_answer = True
    code, found = harness.run(harness.publisher.try_file(FILE))
    assert (code, found['revision']) == (exit_codes.ExitCode.DONE, 1)
    assert len(harness.cluster.publications) == 1


def test_lost_answer_without_effect_is_not_known() -> None:
    """Guard against "not in force" when the outcome is unconfirmed."""
    harness = Harness()
    harness.cluster.override = (200, {})
    harness.cluster.drop_next_answer = True
    code, found = harness.run(harness.publisher.try_file(FILE))
    assert code is exit_codes.ExitCode.NOT_KNOWN
    assert len(harness.cluster.publications) == 1


def test_promotion_without_trial() -> None:
    """Guard against a promotion of nothing."""
    harness = Harness()
    code, found = harness.run(harness.publisher.promote('trial'))
    assert code is exit_codes.ExitCode.NOT_IN_FORCE
    assert harness.cluster.publications == []


def test_base_is_the_revision_shown_to_the_operator() -> None:
    """Guard against overwriting a change that the operator did not see."""
    harness = Harness()
    harness.cluster.publish('trial', 'trial', OTHER.text, OTHER.digest)
    code, _ = harness.run(harness.publisher.try_file(FILE))
    assert code is exit_codes.ExitCode.DONE
    assert harness.cluster.publications[0]['base'] == 1
    shown = harness.progress.getvalue()
    assert 'trial ~ weights.tail_latency: 1.0 -> 8.0' in shown


def test_queries() -> None:
    """Guard against query results that are not printed."""
    harness = Harness('dead:1', 't:1', 'a:1', 'b:1')
    code, found = harness.run(queries.show_status(harness.api, harness.out))
    assert code is exit_codes.ExitCode.DONE
    names = [item['process'] for item in found['processes']]
    assert names == ['pa', 'pb', 's1', 's2', 's3', 'te', 'ts']
    assert [item['entry'] for item in found['silent']] == ['dead:1']
    code, found = harness.run(
        queries.show_dump(harness.api, harness.out, 's3')
    )
    assert (code, found) == (exit_codes.ExitCode.DONE, {'process': 's3'})
    code, _ = harness.run(queries.show_dump(harness.api, harness.out, 'none'))
    assert code is exit_codes.ExitCode.NO_ANSWER
    explain = queries.explain_task
    code, found = harness.run(explain(harness.api, harness.out, 'c', 'known'))
    assert found['reason'] == 'quota is used'
    code, found = harness.run(explain(harness.api, harness.out, 'c', 'other'))
    assert (code, found['reason']) == (
        exit_codes.ExitCode.NO_ANSWER, 'no such task',
    )  # fmt: skip
    verdict = {
        'offset': 3, 'kind': 'trial', 'base': 0, 'digest': 'd' * 64,
        'operator': 'ann', 'refused': '',
    }  # fmt: skip
    harness.cluster.history['trial'] = [verdict]
    harness.out.as_json = False
    command = queries.show_history(harness.api, harness.out, 'trial')
    with pytest.raises(json.JSONDecodeError):
        harness.run(command)
    assert 'in force' in harness._results.getvalue().splitlines()[-1]


def run_main(*args: str) -> int:
    """Return the exit code of a command line."""
    try:
        main.main(list(args))
    except SystemExit as exc:
        return int(exc.code or 0)
    return 0


def test_check_shows_every_problem(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guard against a check that reports only the first problem."""
    assert run_main('check', str(EXAMPLES / 'latency.yaml')) == 0
    invalid = tmp_path / 'wrong.yaml'
    invalid.write_text('environment: {name: a, kind: b}\nextra: 1\n')
    capsys.readouterr()
    assert run_main('check', str(invalid), '--json') == 1
    found = json.loads(capsys.readouterr().out)
    paths = {item['path'] for item in found['problems']}
    assert {'environment.kind', 'extra', 'services'} <= paths
    assert run_main('check', str(tmp_path / 'none.yaml')) == 1


def test_command_line_errors(capsys: pytest.CaptureFixture[str]) -> None:
    """Guard against a usage error with the exit code of another result."""
    assert run_main('nothing') == 2
    assert run_main('status', '--entry', 'no-port') == 2
    assert 'no-port' in capsys.readouterr().err


def test_diff_of_files(capsys: pytest.CaptureFixture[str]) -> None:
    """Guard against a diff whose exit code hides differences."""
    first = str(EXAMPLES / 'latency.yaml')
    second = str(EXAMPLES / 'throughput.yaml')
    assert run_main('diff', first, first) == 0
    assert run_main('diff', second, first) == 1
    out = capsys.readouterr().out
    assert 'production ~ retries.hedge_s: 0.08 -> 0.0' in out


@pytest.mark.parametrize(
    'line',
    [
        '{name: t-01, region: east, zone: east-a, rack: east-a-1, '
        'size: standard}',
        '{name: t-01, region: east, zone: east-a, rack: east-a-1, '
        'drained: false, size: standard}',
        'name: t-01\n    region: east\n    zone: east-a\n'
        '    rack: east-a-1\n    size: standard',
    ],
)
def test_drain_edits_one_flag(
    line: str, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guard against an edit that changes more than one instance."""
    text = (EXAMPLES / 'latency.yaml').read_text()
    old = (
        '{name: t-01, region: east, zone: east-a, rack: east-a-1, '
        'size: standard}'
    )
    assert old in text
    file = tmp_path / 'd.yaml'
    file.write_text(text.replace(old, line))
    assert run_main('drain', 't-01', str(file), '--json') == 0
    found = json.loads(capsys.readouterr().out)['differences']
    assert found == ['trial ~ instances[t-01].drained: False -> True']
    assert file.read_text().startswith('# Weighs the tail latency')
    assert run_main('drain', 't-01', str(file), '--undo') == 0
    assert document.parse(file.read_bytes()) == FILE
    before = file.read_text()
    assert run_main('drain', 'nobody', str(file)) == 1
    assert file.read_text() == before


def test_schema(capsys: pytest.CaptureFixture[str]) -> None:
    """Guard against a schema that is not valid JSON."""
    assert run_main('schema') == 0
    assert json.loads(capsys.readouterr().out)['title'] == 'Document'
