"""Run one command of `kingcuprouter`.

Exit codes: 0 done, or in force everywhere; 1 the file is invalid or two files
differ; 2 invalid command line; 3 not in force; 4 not known yet; 5 no answer.
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
from kcr_cli import exit_codes
from kcr_cli import files
from kcr_cli import output
from kcr_cli import plugins
from kcr_cli import publishing
from kcr_cli import queries
from kcr_document import document
from kcr_document import problems

# Environment variable with the addresses of the entries, comma-separated.
ENTRIES_ENV_VAR = 'KCR_ENTRIES'
# Form of an address, `HOST:PORT`.
ADDRESS_PATTERN = re.compile(r'^[^\s:/]+:\d{1,5}$')
# Default timeout for "in force everywhere"; the design target is 4 s.
ROLLOUT_TIMEOUT_S = 30.0

Command = abc.Callable[
    [client.Client, output.Output],
    abc.Coroutine[typing.Any, typing.Any, exit_codes.ExitCode],
]


class CommandExit(Exception):
    """Signal that the command ends with an exit code."""

    def __init__(self, code: exit_codes.ExitCode) -> None:
        super().__init__(str(int(code)))
        self.code = code


def check(file: pathlib.Path, *, json: bool = False) -> None:
    """Validate a file and show every problem."""
    found = read_file(file, make_output(json))
    value = {'outcome': 'right', 'digest': found.digest}
    names = ', '.join(d.environment.name for d in found.documents)
    make_output(json).print_result(
        value, f'valid: {names}, digest {found.digest}'
    )


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
    """Compare a file with another, or with the file in force in trial."""
    out = make_output(json)
    after = read_file(file, out)
    if other is not None:
        show_diff(out, read_file(other, out), after)
        return

    async def compare(
        api: client.Client, out: output.Output
    ) -> exit_codes.ExitCode:
        doc = after.find_kind('trial') or after.documents[0]
        name = doc.environment.name
        found = await api.request_any(f'/v1/document/{name}')
        if not isinstance(found, client.Reply):
            return queries.print_failure(out, found)
        if found.status not in (200, 404):
            return queries.print_failure(out, found)
        in_force = None
        if found.status == 200:
            in_force = document.read(found.body['text'])
        show_diff(out, in_force, after)
        return exit_codes.ExitCode.DONE

    run(compare, entry, json)


def try_(
    file: pathlib.Path,
    *,
    entry: list[str] | None = None,
    operator: str = '',
    wait: float = ROLLOUT_TIMEOUT_S,
    json: bool = False,
) -> None:
    """Publish the trial document of a file; wait until it is in force."""
    found = read_file(file, make_output(json))
    run(
        lambda api, out: make_publisher(api, out, operator, wait).try_file(
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
    wait: float = ROLLOUT_TIMEOUT_S,
    json: bool = False,
) -> None:
    """Publish in production the file that is in force in trial."""
    run(
        lambda api, out: make_publisher(api, out, operator, wait).promote(
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
        lambda api, out: queries.show_history(api, out, environment),
        entry,
        json,
    )


def status(*, entry: list[str] | None = None, json: bool = False) -> None:
    """Show the revision of every process and whether it is behind."""
    run(queries.show_status, entry, json)


def dump(
    process: str, *, entry: list[str] | None = None, json: bool = False
) -> None:
    """Show the state of one process."""
    run(
        lambda api, out: queries.show_dump(api, out, process),
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
        lambda api, out: queries.explain_task(api, out, caller, task_id),
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
        lambda api, out: queries.explain_request(api, out, caller, request_id),
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
    """Set an instance to drained in a file and show the difference."""
    out = make_output(json)
    before = read_file(file, out)
    try:
        text = files.set_drained(
            file.read_text(encoding='utf-8'), instance, not undo
        )
        after = document.parse(text.encode())
    except problems.InvalidDocument as exc:
        exit_invalid(exc, out)
    files.write_file(file, text)
    lines = files.compare_files(before, after)
    out.print_result(
        {'differences': lines}, '\n'.join(lines) or 'no differences'
    )


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
    """Return an output to the standard streams of the process."""
    return output.Output(sys.stdout, sys.stderr, as_json)


def make_publisher(
    api: client.Client, out: output.Output, operator: str, timeout_s: float
) -> publishing.Publisher:
    """Return a publisher for the given operator or the current user."""
    name = operator or os.environ.get('KCR_OPERATOR') or getpass.getuser()
    return publishing.Publisher(api, out, name, timeout_s)


def read_file(path: pathlib.Path, out: output.Output) -> document.File:
    """Return a validated file; show its problems and exit if it is invalid."""
    try:
        return document.parse(path.read_bytes())
    except OSError as exc:
        reason = f'{path}: {exc.strerror}'
        out.print_result({'outcome': 'wrong', 'reason': reason}, reason)
        raise CommandExit(exit_codes.ExitCode.INVALID) from exc
    except problems.InvalidDocument as exc:
        exit_invalid(exc, out)


def exit_invalid(
    exc: problems.InvalidDocument, out: output.Output
) -> typing.NoReturn:
    """Show every problem and exit with INVALID."""
    found = [dataclasses.asdict(item) for item in exc.problems]
    lines = [str(item) for item in exc.problems]
    if exc.omitted:
        lines.append(f'{exc.omitted} more problems')
    value = {'outcome': 'wrong', 'problems': found, 'omitted': exc.omitted}
    out.print_result(value, '\n'.join(lines))
    raise CommandExit(exit_codes.ExitCode.INVALID) from exc


def show_diff(
    out: output.Output, before: document.File | None, after: document.File
) -> None:
    """Show the differences; exit with INVALID if there are any."""
    lines = files.compare_files(before, after)
    out.print_result(
        {'differences': lines}, '\n'.join(lines) or 'no differences'
    )
    if lines:
        raise CommandExit(exit_codes.ExitCode.INVALID)


def read_entries(addresses: list[str] | None) -> list[str]:
    """Return the entries from the flag or the environment variable.

    Exit with USAGE if there is none or an address is malformed.
    """
    found = addresses or [
        item.strip()
        for item in os.environ.get(ENTRIES_ENV_VAR, '').split(',')
        if item.strip()
    ]
    invalid = [item for item in found if not ADDRESS_PATTERN.match(item)]
    if not found or invalid:
        what = (
            f'invalid address {invalid[0]!r}'
            if invalid
            else 'no entry is configured'
        )
        print(
            f'{what}; give --entry IP:PORT or set {ENTRIES_ENV_VAR} to '
            'IP:PORT,IP:PORT',
            file=sys.stderr,
        )
        raise CommandExit(exit_codes.ExitCode.USAGE)
    return found


def run(command: Command, addresses: list[str] | None, as_json: bool) -> None:
    """Run a command in the reactor and exit with its code."""
    entries = read_entries(addresses)
    code: list[exit_codes.ExitCode] = []

    async def start(reactor: typing.Any) -> None:
        import treq  # Imported late, because it installs the reactor.

        api = client.Client(treq, reactor, entries)
        try:
            code.append(await command(api, make_output(as_json)))
        except CommandExit as exc:
            code.append(exc.code)

    try:
        task.react(lambda reactor: defer.ensureDeferred(start(reactor)))
    except SystemExit as exc:
        if exc.code:
            raise
    raise CommandExit(code[0])


def main(argv: list[str] | None = None) -> None:
    """Run the command that the arguments select."""
    try:
        defopt.run(
            {**COMMANDS, **plugins.load()},
            argv=argv,
            cli_options='kwonly',
            argparse_kwargs={'prog': 'kingcuprouter', 'epilog': __doc__},
        )
    except CommandExit as exc:
        raise SystemExit(int(exc.code)) from None


if __name__ == '__main__':
    main()
