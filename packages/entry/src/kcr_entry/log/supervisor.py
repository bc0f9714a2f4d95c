"""Supervise the readers and the appender of the log.

The module defines the streams that an entry reads.
"""

from collections import abc

from kcr_core import records
from kcr_entry import addresses
from kcr_entry.log import appender
from kcr_entry.log import reader
from kcr_runtime import supervisor
from kcr_runtime import task


class Log(supervisor.Supervisor):
    """Run one reader per stream and the appender."""

    def children(self) -> abc.Sequence[supervisor.ChildSpec]:
        """Return the tasks of the log part."""
        return (
            supervisor.ChildSpec('appender', appender.Appender),
            *(
                supervisor.ChildSpec(
                    f'reader_{stream.partition(".")[0]}',
                    make_reader(stream, owner),
                )
                for stream, owner in list_streams(self.ctx.cfg.region)
            ),
        )


def list_streams(region: str) -> tuple[tuple[str, str], ...]:
    """Return the streams that an entry reads, with their subscribers."""
    return (
        (records.CONFIG_STREAM, addresses.IN_FORCE),
        (records.tasks_stream(region), addresses.TASKS),
        (records.CLAIMS_STREAM, addresses.CLAIMS),
    )


def make_reader(stream: str, owner: str) -> supervisor.Factory:
    """Return the factory of the reader of one stream."""

    def make(ctx: task.Context, address: str) -> reader.Reader:
        return reader.Reader(ctx, address, stream, (owner,))

    return make
