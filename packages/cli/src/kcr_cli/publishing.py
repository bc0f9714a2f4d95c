"""Try and promote documents and wait until they are in force everywhere."""

import typing

from twisted.internet import defer
from twisted.internet import task

from kcr_cli import client
from kcr_cli import exits
from kcr_cli import files
from kcr_cli import output
from kcr_cli import spread
from kcr_core import document_text
from kcr_document import document

# Time between two looks at the processes, in seconds.
POLL_S = 0.5


class Publisher:
    """Put documents in force."""

    def __init__(
        self,
        asker: client.Client,
        out: output.Output,
        operator: str,
        wait_s: float,
    ) -> None:
        # Asks the entries.
        self.asker = asker
        # Takes results and progress.
        self.out = out
        # Who publishes.
        self.operator = operator
        # Time to wait for "in force everywhere".
        self.wait_s = wait_s

    async def try_file(self, file: document.File) -> exits.Exit:
        """Put the trial document of a file in force."""
        doc = file.find_kind('trial')
        if doc is None:
            return self._end(
                'not_in_force', 'the file holds no trial document'
            )
        name = doc.environment.name
        held = await self._read(name)
        if isinstance(held, exits.Exit):
            return held
        base = held['revision'] if held else 0
        self._show(held, file)
        body = {
            'text': document_text.pack(file.text),
            'base': base,
            'operator': self.operator,
        }
        return await self._publish(name, 'try', body, file.digest)

    async def promote(self, trial: str) -> exits.Exit:
        """Put the document in force in trial in force in production."""
        tried = await self._read(trial)
        if isinstance(tried, exits.Exit):
            return tried
        if tried is None:
            return self._end('not_in_force', f'nothing is in force in {trial}')
        file = document.read(tried['text'])
        doc = file.find_kind('production')
        if doc is None:
            return self._end(
                'not_in_force',
                'the file in trial holds no production document',
            )
        name = doc.environment.name
        held = await self._read(name)
        if isinstance(held, exits.Exit):
            return held
        self._show(held, file)
        body = {
            'digest': tried['digest'],
            'base': held['revision'] if held else 0,
            'operator': self.operator,
        }
        return await self._publish(name, 'promote', body, tried['digest'])

    async def _read(
        self, name: str
    ) -> dict[str, typing.Any] | exits.Exit | None:
        """Return the document in force; None if there is none."""
        found = await self.asker.ask_any(f'/v1/document/{name}')
        if isinstance(found, client.Reply):
            if found.status == 200:
                return typing.cast(dict[str, typing.Any], found.body)
            if found.status == 404:
                return None
        self._end('no_answer', describe(found))
        return exits.Exit.NO_ANSWER

    def _show(
        self, held: dict[str, typing.Any] | None, file: document.File
    ) -> None:
        before = document.read(held['text']) if held else None
        lines = files.compare_files(before, file)
        for line in lines or ['no differences from the document in force']:
            self.out.say(line)

    async def _publish(
        self, name: str, verb: str, body: dict[str, typing.Any], digest: str
    ) -> exits.Exit:
        path = f'/v1/document/{name}/{verb}'
        found = await self.asker.ask_any(path, body)
        if isinstance(found, client.Reply) and isinstance(found.body, dict):
            outcome = found.body.get('outcome')
            if outcome == 'in_force':
                return await self._wait(name, found.body['revision'])
            if outcome != 'not_known':
                return self._end(
                    'not_in_force', describe(found), **revision_of(found)
                )
        elif isinstance(found, client.NoReply) and not found.sent:
            return self._end('no_answer', describe(found))
        self.out.say(f'not known yet: {describe(found)}')
        return await self._look(name, digest)

    async def _look(self, name: str, digest: str) -> exits.Exit:
        """Look for a document whose publication gave no clear answer."""
        until = self._now() + self.wait_s
        while True:
            found = await self.asker.ask_any(f'/v1/document/{name}')
            if isinstance(found, client.Reply) and found.status == 200:
                if found.body['digest'] == digest:
                    return await self._wait(name, found.body['revision'])
            if self._now() >= until:
                return self._end('not_known', 'ask for the history later')
            await self._pause()

    async def _wait(self, name: str, revision: int) -> exits.Exit:
        until, shown = self._now() + self.wait_s, ''
        while True:
            replies = await self.asker.ask_all('/v1/versions')
            state = spread.infer_spread(replies, name, revision)
            if str(state) != shown:
                shown = str(state)
                self.out.say(f'revision {revision} in {name}: {shown}')
            if state.everywhere:
                return self._end(
                    'in_force', f'everywhere in {name}', revision=revision
                )
            if self._now() >= until:
                if not state.there and not state.behind:
                    shown = f'no entry of {name} was asked; see --entry'
                return self._end(
                    'not_known',
                    f'revision {revision} is in force in the log; {shown}',
                    revision=revision,
                )
            await self._pause()

    def _now(self) -> float:
        return float(self.asker.reactor.seconds())

    def _pause(self) -> defer.Deferred[None]:
        return task.deferLater(self.asker.reactor, POLL_S)

    def _end(
        self, outcome: str, reason: str, **more: typing.Any
    ) -> exits.Exit:
        value = {'outcome': outcome, 'reason': reason, **more}
        title = outcome.replace('_', ' ')
        if 'revision' in more:
            title += f' (revision {more["revision"]})'
        self.out.give(value, f'{title}: {reason}')
        return EXITS[outcome]


# Exit code of each outcome.
EXITS = {
    'in_force': exits.Exit.DONE,
    'not_in_force': exits.Exit.NOT_IN_FORCE,
    'not_known': exits.Exit.NOT_KNOWN,
    'no_answer': exits.Exit.NO_ANSWER,
}


def revision_of(reply: client.Reply) -> dict[str, int]:
    """Return the revision that an answer names, if it names one."""
    revision = reply.body.get('revision')
    return {} if revision is None else {'revision': revision}


def describe(reply: client.Reply | client.NoReply) -> str:
    """Return why an answer is not the one that was hoped for."""
    if isinstance(reply, client.NoReply):
        return f'{reply.entry or "no entry"}: {reply.reason}'
    body = reply.body
    if not isinstance(body, dict):
        return f'{reply.entry}: status {reply.status}'
    if 'problems' in body:
        first = body['problems'][0]
        return f'{first["path"]}: {first["message"]}'
    return str(body.get('reason') or body.get('error') or body)[:300]
