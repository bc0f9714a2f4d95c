"""Run the commands that only read: history, status, dump and explanations.

Each command requests its data from the entries, prints it and returns the exit
code. `main` runs them.
"""

import json
import typing
from urllib import parse

from kcr_cli import client
from kcr_cli import exit_codes
from kcr_cli import output
from kcr_cli import publishing
from kcr_cli import rollout


async def show_history(
    api: client.Client, out: output.Output, environment: str
) -> exit_codes.ExitCode:
    """Show the newest trials and promotions of an environment."""
    found = await api.request_any(
        f'/v1/document/{quote_segment(environment)}/history'
    )
    if not isinstance(found, client.Reply) or found.status != 200:
        return print_failure(out, found)
    rows = [
        {
            **item,
            'digest': item['digest'][:12],
            'verdict': item['refused'] or 'in force',
        }
        for item in found.body['history']
    ]
    columns = ('offset', 'kind', 'base', 'digest', 'operator', 'verdict')
    out.print_result(found.body, output.format_table(rows, columns))
    return exit_codes.ExitCode.DONE


async def show_status(
    api: client.Client, out: output.Output
) -> exit_codes.ExitCode:
    """Show the revision of every process and whether it is behind."""
    replies = await api.request_all('/v1/versions')
    rows = rollout.merge_processes(replies)
    silent = [
        {'entry': reply.entry, 'reason': publishing.describe_failure(reply)}
        for reply in replies
        if isinstance(reply, client.NoReply) or reply.status != 200
    ]
    for item in silent:
        out.print_progress(f'no answer from {item["entry"]}: {item["reason"]}')
    columns = (
        'environment', 'process', 'role', 'region', 'revision', 'behind',
    )  # fmt: skip
    value = {'processes': rows, 'silent': silent}
    out.print_result(value, output.format_table(rows, columns))
    return exit_codes.ExitCode.DONE if rows else exit_codes.ExitCode.NO_ANSWER


async def show_dump(
    api: client.Client, out: output.Output, process: str
) -> exit_codes.ExitCode:
    """Show the state of one process."""
    found = await api.request_any(f'/v1/dump/{quote_segment(process)}')
    if not isinstance(found, client.Reply) or found.status != 200:
        return print_failure(out, found)
    out.print_result(
        found.body, json.dumps(found.body, indent=2, sort_keys=True)
    )
    return exit_codes.ExitCode.DONE


async def explain_task(
    api: client.Client, out: output.Output, caller: str, task_id: str
) -> exit_codes.ExitCode:
    """Show the state of a task and why it waits."""
    path = f'/v1/tasks/{quote_segment(caller)}/{quote_segment(task_id)}'
    return print_fields(out, await api.request_any(path))


async def explain_request(
    api: client.Client, out: output.Output, caller: str, request_id: str
) -> exit_codes.ExitCode:
    """Show where a request was tried and why it ended as it did.

    Every entry is queried, because each keeps only the requests that it
    handled.
    """
    path = f'/v1/requests/{quote_segment(caller)}/{quote_segment(request_id)}'
    answers = await api.request_all(path)
    for found in answers:
        if isinstance(found, client.Reply) and found.status == 200:
            return print_fields(out, found)
    none = client.NoReply('', 'no entry is named', False)
    return print_fields(out, answers[0] if answers else none)


def print_fields(
    out: output.Output, found: client.Reply | client.NoReply
) -> exit_codes.ExitCode:
    """Print the fields of a response as a table, or why there is none."""
    if not isinstance(found, client.Reply) or found.status != 200:
        return print_failure(out, found)
    rows = [
        {'field': name, 'value': value}
        for name, value in found.body.items()
        if value not in ('', None)
    ]
    out.print_result(found.body, output.format_table(rows, ('field', 'value')))
    return exit_codes.ExitCode.DONE


def quote_segment(name: str) -> str:
    """Return a name quoted as one segment of a URL path."""
    return parse.quote(name, safe='')


def print_failure(
    out: output.Output, found: client.Reply | client.NoReply
) -> exit_codes.ExitCode:
    """Print why there is no usable response."""
    reason = publishing.describe_failure(found)
    value: dict[str, typing.Any] = {'outcome': 'no_answer', 'reason': reason}
    out.print_result(value, f'no answer: {reason}')
    return exit_codes.ExitCode.NO_ANSWER
