"""Define which task handles each message from a scheduler.

The sessions of the agent use these routes; the link task dials with them.
"""

from kcr_agent import addresses
from kcr_jobs import messages
from kcr_runtime import supervisor
from kcr_runtime import task
from kcr_runtime.wire import session

# Task that handles each message from the wire.
ROUTES = {
    messages.OwnerReply: addresses.LINK,
    messages.Lease: addresses.CONTROL,
    messages.RunnerReportAck: addresses.CONTROL,
    messages.StartRun: addresses.CONTROL,
    messages.StopRun: addresses.CONTROL,
    messages.ThrottleRun: addresses.CONTROL,
}
# Tasks that are informed of opened and closed sessions.
SUBSCRIBERS = (addresses.LINK,)


def make_routes(ctx: task.Context) -> session.Routes:
    """Return the routes of an agent's sessions."""
    return session.Routes(
        tasks=ROUTES,
        subscribers=SUBSCRIBERS,
        hello=session.make_hello(ctx, 'agent', ctx.cfg.process),
    )


def make_spec(target: str) -> supervisor.ChildSpec:
    """Return the spec of a session that dials a scheduler."""
    return session.make_spec(target, make_routes)
