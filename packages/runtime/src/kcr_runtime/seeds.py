"""Filter lists of addresses, and define the message with changed seeds.

After SIGHUP, a role that reloads its settings posts the message to the task
that dials the seeds. Lists in the store are shared with other writers, so each
reader skips their malformed entries.
"""

from collections import abc
import dataclasses
import typing

from kcr_core import net_address
from kcr_runtime import metrics

# Number of malformed entries whose keys are remembered, so that each is logged
# once.
MAX_REMEMBERED = 256
# Length of the part of a malformed entry that is logged.
MAX_LOGGED_CHARS = 40


@dataclasses.dataclass(frozen=True, slots=True)
class SeedsChanged:
    """Give the addresses of processes from which a task discovers others."""

    addresses: tuple[str, ...]


class AddressFilter:
    """Filter the entries of a list; count and log the malformed ones."""

    def __init__(self, log: typing.Any, counters: metrics.Metrics) -> None:
        self._log = log
        self._metrics = counters
        self._logged: set[tuple[str, str]] = set()

    def filter(
        self, entries: abc.Iterable[tuple[str, str]]
    ) -> tuple[str, ...]:
        """Return the addresses of pairs of key and text."""
        found = []
        for key, text in entries:
            try:
                found.append(str(net_address.parse(text)))
            except net_address.BadAddress as exc:
                self._record(key, text, str(exc))
        return tuple(found)

    def _record(self, key: str, text: str, error: str) -> None:
        self._metrics.count('address_malformed')
        entry = (key[:MAX_LOGGED_CHARS], text[:MAX_LOGGED_CHARS])
        if entry in self._logged or len(self._logged) >= MAX_REMEMBERED:
            return
        self._logged.add(entry)
        self._log.warning(
            'address in a list is malformed', key=entry[0], value=entry[1],
            error=error[:200],
        )  # fmt: skip
