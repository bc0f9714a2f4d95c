"""Publish documents and wait until they are in force everywhere.

A publication names the revision that it replaces (`base`), so that it fails if
another operator published in between. If its answer is lost, it is not sent
again; the document in force is polled for the published digest instead.
"""

import typing

from twisted.internet import defer
from twisted.internet import task

from kcr_cli import client
from kcr_cli import exit_codes
from kcr_cli import files
from kcr_cli import output
from kcr_cli import rollout
from kcr_core import document_text
from kcr_document import document

# Interval between two polls of the entries.
POLL_INTERVAL_S = 0.5


class Publisher:
    """Publish documents for one operator."""

    def __init__(
        self,
        api: client.Client,
        out: output.Output,
        operator: str,
        timeout_s: float,
    ) -> None:
        # Client of the entries.
        self.api = api
        self.out = out
        # Name recorded with each publication.
        self.operator = operator
        # Timeout for "in force everywhere" after each publication.
        self.timeout_s = timeout_s

    async def try_file(self, file: document.File) -> exit_codes.ExitCode:
        """Publish the trial document of a file in its environment."""
        doc = file.find_kind('trial')
        if doc is None:
            return self._finish(
                'not_in_force', 'the file holds no trial document'
            )
        name = doc.environment.name
        in_force = await self._get_document(name)
        if isinstance(in_force, exit_codes.ExitCode):
            return in_force
        base = in_force['revision'] if in_force else 0
        self._print_changes(in_force, file)
        body = {
            'text': document_text.pack(file.text),
            'base': base,
            'operator': self.operator,
        }
        return await self._publish(name, 'try', body, file.digest)

    async def promote(self, trial: str) -> exit_codes.ExitCode:
        """Publish in production the file that is in force in trial."""
        tried = await self._get_document(trial)
        if isinstance(tried, exit_codes.ExitCode):
            return tried
        if tried is None:
            return self._finish(
                'not_in_force', f'nothing is in force in {trial}'
            )
        file = document.read(tried['text'])
        doc = file.find_kind('production')
        if doc is None:
            return self._finish(
                'not_in_force',
                'the file in trial holds no production document',
            )
        name = doc.environment.name
        in_force = await self._get_document(name)
        if isinstance(in_force, exit_codes.ExitCode):
            return in_force
        self._print_changes(in_force, file)
        body = {
            'digest': tried['digest'],
            'base': in_force['revision'] if in_force else 0,
            'operator': self.operator,
        }
        return await self._publish(name, 'promote', body, tried['digest'])

    async def _get_document(
        self, name: str
    ) -> dict[str, typing.Any] | exit_codes.ExitCode | None:
        """Return the document in force; None if there is none.

        Return an exit code if no entry gave a usable answer.
        """
        found = await self.api.request_any(f'/v1/document/{name}')
        if isinstance(found, client.Reply):
            if found.status == 200:
                return typing.cast(dict[str, typing.Any], found.body)
            if found.status == 404:
                return None
        self._finish('no_answer', describe_failure(found))
        return exit_codes.ExitCode.NO_ANSWER

    def _print_changes(
        self, in_force: dict[str, typing.Any] | None, file: document.File
    ) -> None:
        before = document.read(in_force['text']) if in_force else None
        lines = files.compare_files(before, file)
        for line in lines or ['no differences from the document in force']:
            self.out.print_progress(line)

    async def _publish(
        self, name: str, verb: str, body: dict[str, typing.Any], digest: str
    ) -> exit_codes.ExitCode:
        path = f'/v1/document/{name}/{verb}'
        found = await self.api.request_any(path, body)
        if isinstance(found, client.Reply) and isinstance(found.body, dict):
            outcome = found.body.get('outcome')
            if outcome == 'in_force':
                return await self._wait_for_rollout(
                    name, found.body['revision']
                )
            if outcome != 'not_known':
                return self._finish(
                    'not_in_force',
                    describe_failure(found),
                    **read_revision(found),
                )
        elif isinstance(found, client.NoReply) and not found.sent:
            return self._finish('no_answer', describe_failure(found))
        self.out.print_progress(f'not known yet: {describe_failure(found)}')
        return await self._find_publication(name, digest)

    async def _find_publication(
        self, name: str, digest: str
    ) -> exit_codes.ExitCode:
        """Poll for a publication whose outcome is not known."""
        until = self._now() + self.timeout_s
        while True:
            found = await self.api.request_any(f'/v1/document/{name}')
            if isinstance(found, client.Reply) and found.status == 200:
                if found.body['digest'] == digest:
                    return await self._wait_for_rollout(
                        name, found.body['revision']
                    )
            if self._now() >= until:
                return self._finish('not_known', 'ask for the history later')
            await self._sleep()

    async def _wait_for_rollout(
        self, name: str, revision: int
    ) -> exit_codes.ExitCode:
        until, shown = self._now() + self.timeout_s, ''
        while True:
            replies = await self.api.request_all('/v1/versions')
            state = rollout.infer_rollout(replies, name, revision)
            if str(state) != shown:
                shown = str(state)
                self.out.print_progress(
                    f'revision {revision} in {name}: {shown}'
                )
            if state.complete:
                return self._finish(
                    'in_force', f'everywhere in {name}', revision=revision
                )
            if self._now() >= until:
                if not state.current and not state.behind:
                    shown = f'no entry of {name} was asked; see --entry'
                return self._finish(
                    'not_known',
                    f'revision {revision} is in force in the log; {shown}',
                    revision=revision,
                )
            await self._sleep()

    def _now(self) -> float:
        return float(self.api.reactor.seconds())

    def _sleep(self) -> defer.Deferred[None]:
        return task.deferLater(self.api.reactor, POLL_INTERVAL_S)

    def _finish(
        self, outcome: str, reason: str, **more: typing.Any
    ) -> exit_codes.ExitCode:
        value = {'outcome': outcome, 'reason': reason, **more}
        title = outcome.replace('_', ' ')
        if 'revision' in more:
            title += f' (revision {more["revision"]})'
        self.out.print_result(value, f'{title}: {reason}')
        return EXIT_CODES[outcome]


# Exit code of each outcome.
EXIT_CODES = {
    'in_force': exit_codes.ExitCode.DONE,
    'not_in_force': exit_codes.ExitCode.NOT_IN_FORCE,
    'not_known': exit_codes.ExitCode.NOT_KNOWN,
    'no_answer': exit_codes.ExitCode.NO_ANSWER,
}


def read_revision(reply: client.Reply) -> dict[str, int]:
    """Return the revision in a response as a keyword, if it has one."""
    revision = reply.body.get('revision')
    return {} if revision is None else {'revision': revision}


def describe_failure(reply: client.Reply | client.NoReply) -> str:
    """Return why a reply is not the expected one."""
    if isinstance(reply, client.NoReply):
        return f'{reply.entry or "no entry"}: {reply.reason}'
    body = reply.body
    if not isinstance(body, dict):
        return f'{reply.entry}: status {reply.status}'
    if 'problems' in body:
        first = body['problems'][0]
        return f'{first["path"]}: {first["message"]}'
    return str(body.get('reason') or body.get('error') or body)[:300]
