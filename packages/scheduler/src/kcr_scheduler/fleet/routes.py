"""Define which task handles each message from another process.

The listener and the dialed sessions use these routes.
"""

from kcr_jobs import messages
from kcr_runtime import supervisor
from kcr_runtime import task
from kcr_runtime.wire import session
from kcr_scheduler import addresses

# Task that handles each message from the wire.
ROUTES = {
    messages.Pulse: addresses.MESH,
    messages.Resign: addresses.MESH,
    messages.ConfigRequest: addresses.MESH,
    messages.ConfigOffer: addresses.MESH,
    messages.OwnerQuery: addresses.MESH,
    messages.JobCall: addresses.OWNER,
    messages.JobReply: addresses.CALLS,
    messages.Attach: addresses.OWNER,
    messages.RunnerReport: addresses.OWNER,
}
# Tasks that are informed of opened and closed sessions.
SUBSCRIBERS = (addresses.MESH, addresses.OWNER, addresses.CALLS)


def make_routes(ctx: task.Context) -> session.Routes:
    """Return the routes of a scheduler's sessions."""
    cfg = ctx.cfg
    return session.Routes(
        tasks=ROUTES,
        subscribers=SUBSCRIBERS,
        hello=session.make_hello(ctx, 'scheduler', cfg.process, cfg.address),
    )


def make_peer_spec(target: str) -> supervisor.ChildSpec:
    """Return the spec of a session that dials another scheduler."""
    return session.make_spec(target, make_routes)
