"""Decide whether a revision is in force in every process.

The inputs are the replies of the entries to `/v1/versions`; `publishing` polls
them after a publication, and `queries` lists the processes in them.
"""

from collections import abc
import dataclasses
import typing

from kcr_cli import client


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """Represent how far the rollout of a revision has progressed."""

    # Processes that follow the revision or a later one.
    current: tuple[str, ...]
    # Processes that follow an older revision.
    behind: tuple[str, ...]
    # Entries that gave no answer.
    unanswered: tuple[str, ...]

    @property
    def complete(self) -> bool:
        """Return whether every process is known to follow the revision.

        An entry without an answer may have further processes.
        """
        return bool(self.current) and not self.behind and not self.unanswered

    def __str__(self) -> str:
        total = len(self.current) + len(self.behind)
        text = f'{len(self.current)} of {total} processes'
        if self.behind:
            text += f', behind: {", ".join(self.behind[:5])}'
        if self.unanswered:
            text += f', no answer: {", ".join(self.unanswered)}'
        return text


def infer_rollout(
    replies: abc.Iterable[client.Reply | client.NoReply],
    environment: str,
    revision: int,
) -> Rollout:
    """Return the state of the rollout of a revision in an environment.

    A process that several entries report counts with its newest revision.
    """
    revisions: dict[str, int] = {}
    unanswered = []
    for reply in replies:
        if isinstance(reply, client.NoReply) or reply.status != 200:
            unanswered.append(reply.entry)
            continue
        if reply.body['environment'] != environment:
            continue
        for item in reply.body['processes']:
            name = item['process']
            known = revisions.get(name, 0)
            revisions[name] = max(known, item['revision'])
    names = sorted(revisions)
    return Rollout(
        tuple(name for name in names if revisions[name] >= revision),
        tuple(name for name in names if revisions[name] < revision),
        tuple(sorted(unanswered)),
    )


def merge_processes(
    replies: abc.Iterable[client.Reply | client.NoReply],
) -> list[dict[str, typing.Any]]:
    """Return each process once, with the newest revision reported."""
    found: dict[str, dict[str, typing.Any]] = {}
    for reply in replies:
        if isinstance(reply, client.NoReply) or reply.status != 200:
            continue
        for item in reply.body['processes']:
            name = item['process']
            row = {'environment': reply.body['environment'], **item}
            if name not in found or (
                row['revision'] > found[name]['revision']
            ):
                found[name] = row
    return [found[name] for name in sorted(found)]
