"""Hold the state of the control of one runner: the runner, owner and lease.

The control task owns one State. The modules that act by subject (lists of
runs, orders) share it; each call to the runner belongs to the number of the
lease under which it was made, and its answer is dropped under a later one.
"""

from collections import abc
import typing

from twisted.internet import task as twisted_task

from kcr_agent.runner import client
from kcr_core import message_base
from kcr_jobs import messages
from kcr_jobs import runner_lease
from kcr_jobs import types
from kcr_runtime import task
from kcr_runtime.wire import session


class State:
    """Store what the control task knows of its runner and the owner."""

    def __init__(self, owner_task: task.Task) -> None:
        self._task = owner_task
        self.ctx, self.log = owner_task.ctx, owner_task.log
        self.runner: client.RunnerClient = client.RUNNERS.get(
            self.ctx.cfg.runner
        )(self.ctx)
        # Content of the last heartbeat; none before the first.
        self.info: types.RunnerInfo | None = None
        # Lease and the start orders under it.
        # An earlier process may have extended a lease until this one started.
        self.lease = runner_lease.RunnerLease(
            runner_lease.infer_expiry(self.now(), self.ctx.cfg.lease_s)
        )
        # Address of the session task that leads to the owner; empty for none.
        self.owner_session = ''
        # Time of the first unanswered request for a lease; none without one.
        self.attach_sent_at: float | None = None
        # Number of the lease; answers to calls under older ones are dropped.
        self.term = 0
        # Whether the owner forbids starts, as the zone is evacuated.
        self.starts_closed = False
        # Start of the incarnation that has answered last, if `info` is of
        # another one, until the next heartbeat; 0 if not.
        self.answered_born_ms = 0
        # Whether a deregistration with the id of the runner has arrived after
        # the last heartbeat of the incarnation.
        self.deregistered = False
        # Whether the task has ended.
        self.ended = False

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._task.now()

    def spawn(self, work: abc.Coroutine[typing.Any, typing.Any, None]) -> None:
        """Run a coroutine; if it fails, the control task fails."""
        self._task.spawn(work)

    async def pause(self, delay_s: float) -> None:
        """Wait for a time."""
        await twisted_task.deferLater(self.ctx.reactor, delay_s)

    def is_current(self, term: int) -> bool:
        """Return whether a lease is still the current one."""
        return not self.ended and term == self.term

    def is_leaving(self) -> bool:
        """Return whether the runner takes no new tasks."""
        return self.deregistered or (
            self.info is not None and self.info.draining
        )

    def send_to_owner(self, msg: message_base.Message) -> None:
        """Send a message over the session that leads to the owner."""
        self._task.send(self.owner_session, session.Send(msg))

    def attach(self) -> None:
        """Request a lease, if the owner and the runner are known."""
        if self.info is None or self.answered_born_ms:
            return
        if self.owner_session:
            self.attach_sent_at = self.now()
            self.send_to_owner(
                messages.Attach(self.ctx.cfg.process, self.info)
            )

    def begin_lease(self, token: int) -> None:
        """Begin a lease that the owner has granted."""
        self.term += 1
        self.attach_sent_at = None
        self.starts_closed = False
        self.lease.start(token)

    def drop_lease(self) -> None:
        """Drop the lease; its orders and calls are void."""
        self.term += 1
        self.attach_sent_at = None
        if self.lease.token:
            self.log.info('lease dropped', token=self.lease.token)
        self.lease.start(0)
