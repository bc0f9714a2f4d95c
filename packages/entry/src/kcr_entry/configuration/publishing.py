"""Follow what is written to the log: trials, promotions, restatements."""

from collections import abc
import dataclasses
import typing

from kcr_core import configuration
from kcr_core import document_text
from kcr_core import outcomes
from kcr_core import records
from kcr_entry.configuration import questions
from kcr_runtime import query

# Publications under way at one entry.
PENDING_LIMIT = 100
# Time after which a publication is answered with "not known", in seconds.
# The appender decides within 3 s and a read takes 1 s.
VERDICT_LIMIT_S = 15.0
# Shares of the retention at which the document is written again. They differ
# between entries, so that one record is enough as a rule.
RESTATE_SHARES = (0.4, 0.5)
# Delay before a restatement is tried again, as a share of the retention.
RESTATE_AGAIN_SHARE = 0.02
# Token of the append of a restatement.
RESTATE = 'restate'

Record = records.Tried | records.Promoted


@dataclasses.dataclass(slots=True)
class Pending:
    """Hold one publication that has no verdict yet."""

    # Question that waits.
    ask: query.Query
    # Record that was appended.
    item: Record
    # Offset of the record; 0 while it is not known.
    offset: int = 0


def make_record(
    req: questions.Publish, fold: configuration.Fold
) -> Record | questions.InForceNow | questions.Lost | questions.Refused:
    """Return the record to append, or the answer when none is needed."""
    held = fold.in_force.get(req.environment)
    current = held.revision if held is not None else 0
    base = current if req.base is None else req.base
    if held is not None and held.digest == req.digest and base <= current:
        return questions.InForceNow(held.revision, held.digest)
    if base > current:
        return questions.Refused(
            f'this entry has read up to revision {current}; ask again'
        )
    if base < current:
        reason = f'revision {current} is in force, not {base}; edit that one'
        return questions.Lost(reason, current)
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
        return questions.Refused(
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


def infer_answer(
    pending: Pending, verdict: configuration.Verdict
) -> questions.InForceNow | questions.Lost | None:
    """Return the answer that a verdict gives to a publication, if any."""
    item = pending.item
    same = (verdict.environment, verdict.base, verdict.digest) == (
        item.environment,
        item.base,
        item.digest,
    )
    if same and not verdict.refused:
        return questions.InForceNow(verdict.offset, verdict.digest)
    if verdict.environment != item.environment:
        return None
    if verdict.offset == pending.offset and same:
        return questions.Lost(verdict.refused, verdict.revision)
    if not verdict.refused and verdict.base == item.base:
        # No record on the same base can come in force any more.
        reason = f'another document came in force, by {verdict.operator!r}'
        return questions.Lost(reason, verdict.revision)
    return None


class Publications:
    """Hold the publications of one entry until their verdicts."""

    def __init__(
        self, answer: abc.Callable[[query.Query, typing.Any], None]
    ) -> None:
        # Publications under way, by token of the append.
        self.pending: dict[str, Pending] = {}
        self._answer = answer

    def begin(self, token: str, req: query.Query, item: Record) -> None:
        """Note a publication that was given to the appender."""
        assert len(self.pending) < PENDING_LIMIT
        self.pending[token] = Pending(req, item)

    def settle(self, verdict: configuration.Verdict) -> None:
        """Answer every publication that a verdict decides."""
        for token, pending in list(self.pending.items()):
            answer = infer_answer(pending, verdict)
            if answer is not None:
                self._finish(token, answer)

    def appended(
        self,
        token: str,
        outcome: outcomes.AppendOutcome,
        history: abc.Iterable[configuration.Verdict],
    ) -> None:
        """Note the end of an append; wait on if it is not known."""
        pending = self.pending.get(token)
        if pending is None:
            return
        if isinstance(outcome, outcomes.NotAppended):
            reason = f'nothing was written: {outcome.reason}'
            self._finish(token, questions.Refused(reason))
        elif isinstance(outcome, outcomes.Appended):
            pending.offset = outcome.offset
            for verdict in tuple(history):
                self.settle(verdict)

    def expire(self, token: str) -> None:
        """Answer a publication that got no verdict in time."""
        if token in self.pending:
            reason = 'the log gave no answer in time; look at the history'
            self._finish(token, questions.NotKnown(reason))

    def _finish(self, token: str, answer: typing.Any) -> None:
        self._answer(self.pending.pop(token).ask, answer)
