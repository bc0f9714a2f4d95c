"""Decide whether a revision is in force in every process."""

from collections import abc
import dataclasses
import typing

from kcr_cli import client


@dataclasses.dataclass(frozen=True, slots=True)
class Spread:
    """State how far a revision has come."""

    # Processes that follow the revision or a later one.
    there: tuple[str, ...]
    # Processes that follow an older revision.
    behind: tuple[str, ...]
    # Entries that gave no answer.
    silent: tuple[str, ...]

    @property
    def everywhere(self) -> bool:
        """Tell whether every process is known to follow the revision."""
        return bool(self.there) and not self.behind and not self.silent

    def __str__(self) -> str:
        total = len(self.there) + len(self.behind)
        text = f'{len(self.there)} of {total} processes'
        if self.behind:
            text += f', behind: {", ".join(self.behind[:5])}'
        if self.silent:
            text += f', no answer: {", ".join(self.silent)}'
        return text


def infer_spread(
    replies: abc.Iterable[client.Reply | client.NoReply],
    environment: str,
    revision: int,
) -> Spread:
    """Return how far a revision has come in one environment."""
    revisions: dict[str, int] = {}
    silent = []
    for reply in replies:
        if isinstance(reply, client.NoReply) or reply.status != 200:
            silent.append(reply.entry)
            continue
        if reply.body['environment'] != environment:
            continue
        for item in reply.body['processes']:
            name = item['process']
            known = revisions.get(name, 0)
            revisions[name] = max(known, item['revision'])
    names = sorted(revisions)
    return Spread(
        tuple(name for name in names if revisions[name] >= revision),
        tuple(name for name in names if revisions[name] < revision),
        tuple(sorted(silent)),
    )


def merge_processes(
    replies: abc.Iterable[client.Reply | client.NoReply],
) -> list[dict[str, typing.Any]]:
    """Return each process once, with the newest revision that was seen."""
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
