"""Split the lists of a report into parts that fit into a message, and join.

The agent splits; the owner joins the running tasks and compares them with the
expected ones only once all parts have arrived.
"""

import dataclasses

from kcr_core import message_base
from kcr_jobs import messages
from kcr_jobs import types

# Largest size of the lists of one part, in bytes; the other half of a frame
# is for the rest of the report.
MAX_PART_BYTES = message_base.MAX_FRAME_BYTES // 2
# Upper bound of the encoded size of a row without its texts, in bytes: names
# of the fields, numbers and lengths.
ROW_BYTES = 96


@dataclasses.dataclass(slots=True)
class Part:
    """Store the lists of one part."""

    running: list[types.ReportedRun] = dataclasses.field(default_factory=list)
    ended: list[types.ReportedEnd] = dataclasses.field(default_factory=list)


def split(
    running: tuple[types.ReportedRun, ...],
    ended: tuple[types.ReportedEnd, ...],
    max_bytes: int = MAX_PART_BYTES,
) -> list[Part]:
    """Return the lists in parts, the ended runs first."""
    rows: tuple[types.ReportedRun | types.ReportedEnd, ...]
    rows = (*ended, *running)
    parts, size = [Part()], 0
    for row in rows:
        row_size = _infer_size(row)
        if size and size + row_size > max_bytes:
            parts.append(Part())
            size = 0
        size += row_size
        if isinstance(row, types.ReportedEnd):
            parts[-1].ended.append(row)
        else:
            parts[-1].running.append(row)
    return parts


def _infer_size(row: types.ReportedRun | types.ReportedEnd) -> int:
    return ROW_BYTES + len(row.task.encode()) + len(row.saved.encode())


@dataclasses.dataclass(slots=True)
class Joiner:
    """Join the parts of a complete list of running tasks."""

    _running: list[types.ReportedRun] = dataclasses.field(default_factory=list)
    # Number of the last part, and of the report that had it.
    _part: int = 0
    _seq: int = 0

    def join(
        self, msg: messages.RunnerReport
    ) -> tuple[types.ReportedRun, ...] | None:
        """Return the running tasks if a report completes their list."""
        if not msg.part:
            return msg.running if msg.complete else None
        if msg.part == 1:
            self._running.clear()
        elif (msg.part, msg.seq) != (self._part + 1, self._seq + 1):
            # A part is missing, so the list is not complete.
            self._part = 0
            return None
        self._part, self._seq = msg.part, msg.seq
        self._running += msg.running
        return tuple(self._running) if msg.complete else None
