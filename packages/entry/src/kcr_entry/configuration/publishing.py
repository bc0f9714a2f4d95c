"""Decide the outcome of trials and promotions that operators publish.

The owner of the document in force calls this module: it makes the record to
append to the log, and matches the verdicts read back from the log with the
publications that wait for one.
"""

from collections import abc
import dataclasses
import typing

from kcr_core import configuration
from kcr_core import document_text
from kcr_core import outcomes
from kcr_core import records
from kcr_entry.configuration import queries
from kcr_runtime import query

# Maximum number of publications without a verdict at one entry.
MAX_PENDING = 100
# Time after which a publication is answered with `NotKnown`, in seconds. The
# appender decides within 3 s and a read takes 1 s.
VERDICT_TIMEOUT_S = 15.0
# Range of the share of the retention after which the document is restated,
# that is, appended again before the log trims its record. Each entry draws its
# own, so that usually only one of them writes a record.
RESTATE_SHARES = (0.4, 0.5)
# Delay before a restatement is retried, as a share of the retention.
RESTATE_RETRY_SHARE = 0.02
# Token of the append of a restatement.
RESTATE_TOKEN = 'restate'

Record = records.Tried | records.Promoted
# Record of a publication, or the reply if none is needed.
Decision = Record | queries.InForceNow | queries.Lost | queries.Refused


@dataclasses.dataclass(slots=True)
class Pending:
    """Store one publication that has no verdict yet."""

    # Query to reply to.
    req: query.Query
    # Record that was appended.
    item: Record
    # Offset of the record; 0 while it is unknown.
    offset: int = 0


def make_record(req: queries.Publish, fold: configuration.Fold) -> Decision:
    """Return the record to append, or the reply if none is needed."""
    in_force = fold.in_force.get(req.environment)
    current = in_force.revision if in_force is not None else 0
    base = current if req.base is None else req.base
    if (
        in_force is not None
        and in_force.digest == req.digest
        and base <= current
    ):
        return queries.InForceNow(in_force.revision, in_force.digest)
    if base > current:
        return queries.Refused(
            f'this entry has read up to revision {current}; ask again'
        )
    if base < current:
        reason = f'revision {current} is in force, not {base}; edit that one'
        return queries.Lost(reason, current)
    if req.kind == 'trial':
        return records.Tried(
            req.environment,
            base,
            req.digest,
            document_text.pack(req.text),
            req.operator,
        )
    tried = fold.find_trial(req.digest)
    if tried is None:
        return queries.Refused(
            f'digest {req.digest[:12]} is not in force in trial; try it first'
        )
    return records.Promoted(
        req.environment,
        base,
        tried.digest,
        tried.text,
        req.operator,
        tried.revision,
    )


def infer_reply(
    pending: Pending, verdict: configuration.Verdict
) -> queries.InForceNow | queries.Lost | None:
    """Return the reply to a publication that a verdict decides, if any."""
    item = pending.item
    same = (verdict.environment, verdict.base, verdict.digest) == (
        item.environment,
        item.base,
        item.digest,
    )
    if same and not verdict.refused:
        return queries.InForceNow(verdict.offset, verdict.digest)
    if verdict.environment != item.environment:
        return None
    if verdict.offset == pending.offset and same:
        return queries.Lost(verdict.refused, verdict.revision)
    if not verdict.refused and verdict.base == item.base:
        # No other record on the same base can come in force.
        reason = f'another document came in force, by {verdict.operator!r}'
        return queries.Lost(reason, verdict.revision)
    return None


class Publications:
    """Store the publications of one entry until their verdicts."""

    def __init__(
        self, reply: abc.Callable[[query.Query, typing.Any], None]
    ) -> None:
        # Publications without a verdict, by token of the append.
        self.pending: dict[str, Pending] = {}
        self._reply = reply

    def begin(self, token: str, req: query.Query, item: Record) -> None:
        """Add a publication that was sent to the appender."""
        assert len(self.pending) < MAX_PENDING
        self.pending[token] = Pending(req, item)

    def apply_verdict(self, verdict: configuration.Verdict) -> None:
        """Reply to every publication that a verdict decides."""
        for token, pending in list(self.pending.items()):
            reply = infer_reply(pending, verdict)
            if reply is not None:
                self._finish(token, reply)

    def append_ended(
        self,
        token: str,
        outcome: outcomes.AppendOutcome,
        history: abc.Iterable[configuration.Verdict],
    ) -> None:
        """Record the outcome of an append; keep waiting if it is unknown."""
        pending = self.pending.get(token)
        if pending is None:
            return
        if isinstance(outcome, outcomes.NotAppended):
            reason = f'nothing was written: {outcome.reason}'
            self._finish(token, queries.Refused(reason))
        elif isinstance(outcome, outcomes.Appended):
            pending.offset = outcome.offset
            for verdict in tuple(history):
                self.apply_verdict(verdict)

    def expire(self, token: str) -> None:
        """Reply to a publication that has no verdict within the timeout."""
        if token in self.pending:
            reason = 'the log gave no answer in time; look at the history'
            self._finish(token, queries.NotKnown(reason))

    def _finish(self, token: str, reply: typing.Any) -> None:
        self._reply(self.pending.pop(token).req, reply)
