"""Run one command of `kingcuprouter`.

Exit codes: 0 done, or in force everywhere; 1 the file is wrong or two files
differ; 2 wrong command line; 3 not in force; 4 not known yet; 5 no answer.
"""

from collections import abc
import dataclasses
import getpass
import json as json_format
import os
import pathlib
import re
import sys
import typing

import defopt
from twisted.internet import defer
from twisted.internet import task

from kcr_cli import client
from kcr_cli import exits
from kcr_cli import files
from kcr_cli import output
from kcr_cli import publishing
from kcr_cli import questions
from kcr_document import document
from kcr_document import problems

# Variable that names the entries, separated by commas.
ENTRIES_VARIABLE = 'KCR_ENTRIES'
ADDRESS = re.compile(r'^[^\s:/]+:\d{1,5}$')
# Time to wait for "in force everywhere", in seconds; the target is 4 s.
WAIT_S = 30.0

Command = abc.Callable[
    [client.Client, output.Output],
    abc.Coroutine[typing.Any, typing.Any, exits.Exit],
]


class Stop(Exception):
    """End the command with an exit code."""

    def __init__(self, code: exits.Exit) -> None:
        super().__init__(str(int(code)))
        # Exit code of the process.
        self.code = code


def check(file: pathlib.Path, *, json: bool = False) -> None:
    """Check a file and show every problem."""
    found = read_file(file, make_output(json))
    value = {'outcome': 'right', 'digest': found.digest}
    names = ', '.join(d.environment.name for d in found.documents)
    make_output(json).give(value, f'right: {names}, digest {found.digest}')


def schema() -> None:
    """Show the JSON Schema of a document."""
    print(json_format.dumps(document.schema(), indent=2))


def diff(
    file: pathlib.Path,
    other: pathlib.Path | None = None,
    *,
    entry: list[str] | None = None,
    json: bool = False,
) -> None:
    """Compare a file with another, or with the one in force in trial."""
    out = make_output(json)
    after = read_file(file, out)
    if other is not None:
        show_diff(out, read_file(other, out), after)
        return

    async def ask(asker: client.Client, out: output.Output) -> exits.Exit:
        doc = after.find_kind('trial') or after.documents[0]
        name = doc.environment.name
        found = await asker.ask_any(f'/v1/document/{name}')
        if not isinstance(found, client.Reply):
            return questions.fail(out, found)
        if found.status not in (200, 404):
            return questions.fail(out, found)
        held = None
        if found.status == 200:
            held = document.read(found.body['text'])
        show_diff(out, held, after)
        return exits.Exit.DONE

    run(ask, entry, json)


def try_(
    file: pathlib.Path,
    *,
    entry: list[str] | None = None,
    operator: str = '',
    wait: float = WAIT_S,
    json: bool = False,
) -> None:
    """Put the trial document of a file in force and wait until it is."""
    found = read_file(file, make_output(json))
    run(
        lambda asker, out: make_publisher(asker, out, operator, wait).try_file(
            found
        ),
        entry,
        json,
    )


def promote(
    *,
    trial: str = 'trial',
    entry: list[str] | None = None,
    operator: str = '',
    wait: float = WAIT_S,
    json: bool = False,
) -> None:
    """Put what is in force in trial in force in production."""
    run(
        lambda asker, out: make_publisher(asker, out, operator, wait).promote(
            trial
        ),
        entry,
        json,
    )


def history(
    environment: str = 'production',
    *,
    entry: list[str] | None = None,
    json: bool = False,
) -> None:
    """Show the newest trials and promotions of an environment."""
    run(
        lambda asker, out: questions.show_history(asker, out, environment),
        entry,
        json,
    )


def status(*, entry: list[str] | None = None, json: bool = False) -> None:
    """Show the revision of every process and who is behind."""
    run(questions.show_status, entry, json)


def dump(
    process: str, *, entry: list[str] | None = None, json: bool = False
) -> None:
    """Show the state of one process."""
    run(
        lambda asker, out: questions.show_dump(asker, out, process),
        entry,
        json,
    )


def explain_task(
    caller: str,
    task_id: str,
    *,
    entry: list[str] | None = None,
    json: bool = False,
) -> None:
    """Show the state of a task and why it waits."""
    run(
        lambda asker, out: questions.explain_task(asker, out, caller, task_id),
        entry,
        json,
    )


def explain_request(
    caller: str,
    request_id: str,
    *,
    entry: list[str] | None = None,
    json: bool = False,
) -> None:
    """Show where a request was tried and why it ended as it did."""
    run(
        lambda asker, out: questions.explain_request(
            asker, out, caller, request_id
        ),
        entry,
        json,
    )


def drain(
    instance: str,
    file: pathlib.Path,
    *,
    undo: bool = False,
    json: bool = False,
) -> None:
    """Mark an instance as drained in a file and show the difference."""
    out = make_output(json)
    before = read_file(file, out)
    try:
        text = files.set_drained(
            file.read_text(encoding='utf-8'), instance, not undo
        )
        after = document.parse(text.encode())
    except problems.InvalidDocument as exc:
        raise_wrong(exc, out)
    files.write_file(file, text)
    lines = files.compare_files(before, after)
    out.give({'differences': lines}, '\n'.join(lines) or 'no differences')


COMMANDS: dict[str, abc.Callable[..., None]] = {
    'check': check,
    'schema': schema,
    'diff': diff,
    'try': try_,
    'promote': promote,
    'history': history,
    'status': status,
    'dump': dump,
    'explain-request': explain_request,
    'explain-task': explain_task,
    'drain': drain,
}


def make_output(as_json: bool) -> output.Output:
    """Return the output of this process."""
    return output.Output(sys.stdout, sys.stderr, as_json)


def make_publisher(
    asker: client.Client, out: output.Output, operator: str, wait_s: float
) -> publishing.Publisher:
    """Return a publisher that acts for the named or the current user."""
    name = operator or os.environ.get('KCR_OPERATOR') or getpass.getuser()
    return publishing.Publisher(asker, out, name, wait_s)


def read_file(path: pathlib.Path, out: output.Output) -> document.File:
    """Return a checked file; stop with every problem if it is wrong."""
    try:
        return document.parse(path.read_bytes())
    except OSError as exc:
        reason = f'{path}: {exc.strerror}'
        out.give({'outcome': 'wrong', 'reason': reason}, reason)
        raise Stop(exits.Exit.WRONG) from exc
    except problems.InvalidDocument as exc:
        raise_wrong(exc, out)


def raise_wrong(
    exc: problems.InvalidDocument, out: output.Output
) -> typing.NoReturn:
    """Show every problem and stop."""
    found = [dataclasses.asdict(item) for item in exc.problems]
    lines = [str(item) for item in exc.problems]
    if exc.omitted:
        lines.append(f'{exc.omitted} more problems')
    value = {'outcome': 'wrong', 'problems': found, 'omitted': exc.omitted}
    out.give(value, '\n'.join(lines))
    raise Stop(exits.Exit.WRONG) from exc


def show_diff(
    out: output.Output, before: document.File | None, after: document.File
) -> None:
    """Show the differences; stop with 1 if there are any."""
    lines = files.compare_files(before, after)
    out.give({'differences': lines}, '\n'.join(lines) or 'no differences')
    if lines:
        raise Stop(exits.Exit.WRONG)


def read_entries(named: list[str] | None) -> list[str]:
    """Return the entries of the flag or the environment; stop if none."""
    found = named or [
        item.strip()
        for item in os.environ.get(ENTRIES_VARIABLE, '').split(',')
        if item.strip()
    ]
    wrong = [item for item in found if not ADDRESS.match(item)]
    if not found or wrong:
        what = f'wrong address {wrong[0]!r}' if wrong else 'no entry is named'
        print(
            f'{what}; give --entry IP:PORT or set {ENTRIES_VARIABLE} to '
            'IP:PORT,IP:PORT',
            file=sys.stderr,
        )
        raise Stop(exits.Exit.USAGE)
    return found


def run(command: Command, named: list[str] | None, as_json: bool) -> None:
    """Run a command in the reactor and stop with its exit code."""
    entries = read_entries(named)
    code: list[exits.Exit] = []

    async def start(reactor: typing.Any) -> None:
        import treq  # Importing it installs the reactor.

        asker = client.Client(treq, reactor, entries)
        try:
            code.append(await command(asker, make_output(as_json)))
        except Stop as exc:
            code.append(exc.code)

    try:
        task.react(lambda reactor: defer.ensureDeferred(start(reactor)))
    except SystemExit as exc:
        if exc.code:
            raise
    raise Stop(code[0])


def main(argv: list[str] | None = None) -> None:
    """Run the command that the arguments name."""
    try:
        defopt.run(
            COMMANDS,
            argv=argv,
            cli_options='kwonly',
            argparse_kwargs={'prog': 'kingcuprouter', 'epilog': __doc__},
        )
    except Stop as exc:
        raise SystemExit(int(exc.code)) from None


if __name__ == '__main__':
    main()
