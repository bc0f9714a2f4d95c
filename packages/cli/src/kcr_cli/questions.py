"""Ask the entries what is in force, who follows it, and why a task waits."""

import json
import typing
from urllib import parse

from kcr_cli import client
from kcr_cli import exits
from kcr_cli import output
from kcr_cli import publishing
from kcr_cli import spread


async def show_history(
    asker: client.Client, out: output.Output, environment: str
) -> exits.Exit:
    """Show the newest trials and promotions."""
    found = await asker.ask_any(f'/v1/document/{quote(environment)}/history')
    if not isinstance(found, client.Reply) or found.status != 200:
        return fail(out, found)
    rows = [
        {
            **item,
            'digest': item['digest'][:12],
            'verdict': item['refused'] or 'in force',
        }
        for item in found.body['history']
    ]
    columns = ('offset', 'kind', 'base', 'digest', 'operator', 'verdict')
    out.give(found.body, output.table(rows, columns))
    return exits.Exit.DONE


async def show_status(asker: client.Client, out: output.Output) -> exits.Exit:
    """Show the revision of every process and who is behind."""
    replies = await asker.ask_all('/v1/versions')
    rows = spread.merge_processes(replies)
    silent = [
        {'entry': reply.entry, 'reason': publishing.describe(reply)}
        for reply in replies
        if isinstance(reply, client.NoReply) or reply.status != 200
    ]
    for item in silent:
        out.say(f'no answer from {item["entry"]}: {item["reason"]}')
    columns = (
        'environment', 'process', 'role', 'region', 'revision', 'behind',
    )  # fmt: skip
    value = {'processes': rows, 'silent': silent}
    out.give(value, output.table(rows, columns))
    return exits.Exit.DONE if rows else exits.Exit.NO_ANSWER


async def show_dump(
    asker: client.Client, out: output.Output, process: str
) -> exits.Exit:
    """Show the state of one process."""
    found = await asker.ask_any(f'/v1/dump/{quote(process)}')
    if not isinstance(found, client.Reply) or found.status != 200:
        return fail(out, found)
    out.give(found.body, json.dumps(found.body, indent=2, sort_keys=True))
    return exits.Exit.DONE


async def explain_task(
    asker: client.Client, out: output.Output, caller: str, task_id: str
) -> exits.Exit:
    """Show the state of a task and why it waits."""
    path = f'/v1/tasks/{quote(caller)}/{quote(task_id)}'
    return show(out, await asker.ask_any(path))


async def explain_request(
    asker: client.Client, out: output.Output, caller: str, request_id: str
) -> exits.Exit:
    """Show where a request was tried and why it ended as it did.

    Each entry remembers only the requests that it handled.
    """
    path = f'/v1/requests/{quote(caller)}/{quote(request_id)}'
    answers = await asker.ask_all(path)
    for found in answers:
        if isinstance(found, client.Reply) and found.status == 200:
            return show(out, found)
    none = client.NoReply('', 'no entry is named', False)
    return show(out, answers[0] if answers else none)


def show(
    out: output.Output, found: client.Reply | client.NoReply
) -> exits.Exit:
    """Print the fields of an answer, or why there is none."""
    if not isinstance(found, client.Reply) or found.status != 200:
        return fail(out, found)
    rows = [
        {'field': name, 'value': value}
        for name, value in found.body.items()
        if value not in ('', None)
    ]
    out.give(found.body, output.table(rows, ('field', 'value')))
    return exits.Exit.DONE


def quote(name: str) -> str:
    """Return a name as one part of a path."""
    return parse.quote(name, safe='')


def fail(
    out: output.Output, found: client.Reply | client.NoReply
) -> exits.Exit:
    """Say why there is no answer."""
    reason = publishing.describe(found)
    value: dict[str, typing.Any] = {'outcome': 'no_answer', 'reason': reason}
    out.give(value, f'no answer: {reason}')
    return exits.Exit.NO_ANSWER
