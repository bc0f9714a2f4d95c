"""Store ended epochs, so that a late assignment does not start them again.

`task_home` looks up each assignment here before it accepts it.
"""

import collections

from kcr_core import message_base
from kcr_core import resources

# Number of ended epochs to keep. At 4,500 starts/s over 9,100 instances these
# cover more than four hours.
MAX_ENDED = 8192


class EndedEpochs:
    """Store ended epochs and the newest known epoch of each task."""

    def __init__(self) -> None:
        self._reports: collections.OrderedDict[
            resources.Holder, message_base.Message | None
        ] = collections.OrderedDict()
        self._newest: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def __contains__(self, holder: resources.Holder) -> bool:
        return holder in self._reports

    def __len__(self) -> int:
        return len(self._reports)

    def report(self, holder: resources.Holder) -> message_base.Message | None:
        """Return the unacknowledged report of an epoch, if any."""
        return self._reports.get(holder)

    def store(
        self, holder: resources.Holder, report: message_base.Message | None
    ) -> None:
        """Store an ended epoch; drop the oldest one above `MAX_ENDED`."""
        self._reports[holder] = report
        self.record_epoch(holder)
        if len(self._reports) > MAX_ENDED:
            self._reports.popitem(last=False)

    def record_epoch(self, holder: resources.Holder) -> None:
        """Record that an epoch exists."""
        key, epoch = holder
        self._newest[key] = max(self._newest.get(key, 0), epoch)
        self._newest.move_to_end(key)
        if len(self._newest) > 2 * MAX_ENDED:
            self._newest.popitem(last=False)

    def newest(self, key: str) -> int:
        """Return the newest known epoch of a task, or 0."""
        return self._newest.get(key, 0)
