"""Check what operators are told, against fake entries and files."""

import io
import json
import pathlib
import typing

import pytest
from twisted.internet import defer

import fake_entry
from kcr_cli import client
from kcr_cli import exits
from kcr_cli import main
from kcr_cli import output
from kcr_cli import publishing
from kcr_cli import questions
from kcr_document import document

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
FILE = document.parse((EXAMPLES / 'latency.yaml').read_bytes())
OTHER = document.parse((EXAMPLES / 'throughput.yaml').read_bytes())


class Desk:
    """Run commands against a fake cluster."""

    def __init__(self, *entries: str) -> None:
        # The cluster: one trial and two production entries.
        self.cluster = fake_entry.Cluster()
        self.cluster.add('t:1', 'trial', 'te', 'ts')
        self.cluster.add('a:1', 'production', 'pa', 's1', 's2')
        self.cluster.add('b:1', 'production', 'pb', 's2', 's3')
        # Lines of progress.
        self.progress = io.StringIO()
        self._results = io.StringIO()
        # Asks the entries.
        self.asker = client.Client(
            self.cluster, self.cluster.clock, entries or ('t:1', 'a:1', 'b:1')
        )
        # Output of the commands.
        self.out = output.Output(self._results, self.progress, True)
        # Publishes as one operator.
        self.publisher = publishing.Publisher(self.asker, self.out, 'ann', 9.0)

    def run(
        self, command: typing.Any, seconds: int = 40
    ) -> tuple[exits.Exit, dict[str, typing.Any]]:
        """Return the exit code and the result of a command."""
        ended: list[exits.Exit] = []
        defer.ensureDeferred(command).addCallback(ended.append)
        for _ in range(seconds * 4):
            if not ended:
                self.cluster.clock.advance(0.25)
        text = self._results.getvalue().splitlines()[-1]
        return ended[0], json.loads(text)


def test_try_and_promote_wait_for_every_process() -> None:
    """Guard against "in force everywhere" while a process lags."""
    desk = Desk()
    code, found = desk.run(desk.publisher.try_file(FILE))
    assert (code, found['outcome']) == (exits.Exit.DONE, 'in_force')
    code, found = desk.run(desk.publisher.promote('trial'))
    assert (code, found['revision']) == (exits.Exit.DONE, 2)
    assert desk.cluster.posted[-1]['digest'] == FILE.digest
    lines = desk.progress.getvalue().splitlines()
    assert lines[-2:] == [
        'revision 2 in production: 0 of 5 processes, behind: '
        'pa, pb, s1, s2, s3',
        'revision 2 in production: 5 of 5 processes',
    ]


def test_lagging_process_is_named() -> None:
    """Guard against a wait without end or a false "everywhere"."""
    desk = Desk()
    desk.cluster.processes['t:1']['stuck'] = 0
    code, found = desk.run(desk.publisher.try_file(FILE))
    assert (code, found['outcome']) == (exits.Exit.NOT_KNOWN, 'not_known')
    assert 'behind: stuck' in found['reason']


def test_silent_entry_is_not_taken_for_up_to_date() -> None:
    """Guard against "everywhere" without an answer from every entry."""
    desk = Desk('t:1', 'dead:1')
    code, found = desk.run(desk.publisher.try_file(FILE))
    assert code is exits.Exit.NOT_KNOWN
    assert 'no answer: dead:1' in found['reason']


def test_environment_that_no_entry_serves() -> None:
    """Guard against "everywhere" when nobody was asked."""
    desk = Desk('a:1')
    code, found = desk.run(desk.publisher.try_file(FILE))
    assert code is exits.Exit.NOT_KNOWN
    assert found['reason'].endswith('no entry of trial was asked; see --entry')


@pytest.mark.parametrize(
    ('status', 'outcome', 'code'),
    [
        (409, 'lost', exits.Exit.NOT_IN_FORCE),
        (503, 'not_in_force', exits.Exit.NOT_IN_FORCE),
        (422, 'wrong', exits.Exit.NOT_IN_FORCE),
        (504, 'not_known', exits.Exit.NOT_KNOWN),
    ],
)
def test_each_answer_has_its_exit_code(
    status: int, outcome: str, code: exits.Exit
) -> None:
    """Guard against an exit code that says more than is known."""
    desk = Desk()
    desk.cluster.instead = (status, {'outcome': outcome, 'reason': 'why'})
    found = desk.run(desk.publisher.try_file(FILE))
    assert found[0] is code


def test_lost_answer_is_looked_for_and_not_sent_again() -> None:
    """Guard against a second publication after a lost answer."""
    desk = Desk()
    desk.cluster.lose_next = True
    code, found = desk.run(desk.publisher.try_file(FILE))
    assert (code, found['revision']) == (exits.Exit.DONE, 1)
    assert len(desk.cluster.posted) == 1


def test_lost_answer_without_effect_is_not_known() -> None:
    """Guard against "not in force" when the answer was lost."""
    desk = Desk()
    desk.cluster.instead = (200, {})
    desk.cluster.lose_next = True
    code, found = desk.run(desk.publisher.try_file(FILE))
    assert code is exits.Exit.NOT_KNOWN
    assert len(desk.cluster.posted) == 1


def test_promotion_without_trial() -> None:
    """Guard against a promotion of nothing."""
    desk = Desk()
    code, found = desk.run(desk.publisher.promote('trial'))
    assert code is exits.Exit.NOT_IN_FORCE
    assert desk.cluster.posted == []


def test_base_is_the_revision_that_was_shown() -> None:
    """Guard against overwriting a change that the operator did not see."""
    desk = Desk()
    desk.cluster.publish('trial', 'trial', OTHER.text, OTHER.digest)
    code, _ = desk.run(desk.publisher.try_file(FILE))
    assert code is exits.Exit.DONE
    assert desk.cluster.posted[0]['base'] == 1
    shown = desk.progress.getvalue()
    assert 'trial ~ weights.tail_latency: 1.0 -> 8.0' in shown


def test_questions() -> None:
    """Guard against questions whose answers do not reach the operator."""
    desk = Desk('dead:1', 't:1', 'a:1', 'b:1')
    code, found = desk.run(questions.show_status(desk.asker, desk.out))
    assert code is exits.Exit.DONE
    names = [item['process'] for item in found['processes']]
    assert names == ['pa', 'pb', 's1', 's2', 's3', 'te', 'ts']
    assert [item['entry'] for item in found['silent']] == ['dead:1']
    code, found = desk.run(questions.show_dump(desk.asker, desk.out, 's3'))
    assert (code, found) == (exits.Exit.DONE, {'process': 's3'})
    code, _ = desk.run(questions.show_dump(desk.asker, desk.out, 'none'))
    assert code is exits.Exit.NO_ANSWER
    explain = questions.explain_task
    code, found = desk.run(explain(desk.asker, desk.out, 'c', 'known'))
    assert found['reason'] == 'quota is used'
    code, found = desk.run(explain(desk.asker, desk.out, 'c', 'other'))
    assert (code, found['reason']) == (
        exits.Exit.NO_ANSWER, 'no such task',
    )  # fmt: skip
    verdict = {
        'offset': 3, 'kind': 'trial', 'base': 0, 'digest': 'd' * 64,
        'operator': 'ann', 'refused': '',
    }  # fmt: skip
    desk.cluster.history['trial'] = [verdict]
    desk.out.as_json = False
    end = questions.show_history(desk.asker, desk.out, 'trial')
    with pytest.raises(json.JSONDecodeError):
        desk.run(end)
    assert 'in force' in desk._results.getvalue().splitlines()[-1]


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
    """Guard against a check that stops at the first problem."""
    assert run_main('check', str(EXAMPLES / 'latency.yaml')) == 0
    wrong = tmp_path / 'wrong.yaml'
    wrong.write_text('environment: {name: a, kind: b}\nextra: 1\n')
    capsys.readouterr()
    assert run_main('check', str(wrong), '--json') == 1
    found = json.loads(capsys.readouterr().out)
    paths = {item['path'] for item in found['problems']}
    assert {'environment.kind', 'extra', 'services'} <= paths
    assert run_main('check', str(tmp_path / 'none.yaml')) == 1


def test_command_line_errors(capsys: pytest.CaptureFixture[str]) -> None:
    """Guard against a wrong command line that looks like another result."""
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
    """Guard against a schema that editors cannot read."""
    assert run_main('schema') == 0
    assert json.loads(capsys.readouterr().out)['title'] == 'Document'
