"""Supervise the connections of an entry and its view of the endpoints.

The module defines the task that handles each message from the wire.
"""

from collections import abc

from kcr_core import caller_budget
from kcr_core import messages
from kcr_entry import addresses
from kcr_entry.fleet import membership
from kcr_entry.fleet import peers
from kcr_runtime import http_server
from kcr_runtime import supervisor
from kcr_runtime import task
from kcr_runtime.wire import listener
from kcr_runtime.wire import session

# Task that handles each message from the wire.
ROUTES = {
    messages.EndpointState: addresses.MEMBERSHIP,
    messages.Heartbeat: addresses.MEMBERSHIP,
    messages.Leaving: addresses.MEMBERSHIP,
    messages.Executed: addresses.REQUESTS,
    messages.Refused: addresses.REQUESTS,
    messages.Failed: addresses.REQUESTS,
    messages.Started: addresses.TASKS,
    messages.Evicted: addresses.TASKS,
    messages.Finished: addresses.TASKS,
    messages.TaskWait: addresses.TASKS,
    messages.PeerHeartbeat: addresses.PEERS,
    messages.LastMessageQuery: addresses.MEMBERSHIP,
    messages.LastMessageReply: addresses.FENCES,
    messages.DocumentRequest: addresses.IN_FORCE,
    messages.DocumentOffer: addresses.IN_FORCE,
    messages.Control: addresses.IN_FORCE,
    messages.DumpRequest: addresses.PROCESSES,
    messages.DumpReply: addresses.PROCESSES,
    messages.OutcomeQuery: addresses.CLAIMS,
    messages.OutcomeReply: addresses.CLAIMS,
}
# Tasks that are informed of accepted sessions.
SUBSCRIBERS = (
    addresses.MEMBERSHIP,
    addresses.REQUESTS,
    addresses.TASKS,
    addresses.PEERS,
    addresses.IN_FORCE,
    addresses.PROCESSES,
    addresses.CLAIMS,
)


class Sessions(supervisor.Supervisor):
    """Run one session per connection."""

    isolated = True


class Fleet(supervisor.Supervisor):
    """Run the listener, its sessions, the membership and the peers.

    A sidecar sends its full state once per connection, so the sessions are
    restarted when the membership task is.
    """

    strategy = supervisor.Strategy.REST_FOR_ONE

    def children(self) -> abc.Sequence[supervisor.ChildSpec]:
        """Return the tasks of the fleet."""
        return (
            supervisor.ChildSpec('membership', membership.Membership),
            supervisor.ChildSpec('sessions', Sessions),
            supervisor.ChildSpec('peer_sessions', Sessions),
            supervisor.ChildSpec('peers', peers.Peers),
            supervisor.ChildSpec('listener', make_listener),
        )


def make_listener(ctx: task.Context, address: str) -> listener.Listener:
    """Return the listener for sidecars and other entries."""
    host, port = ctx.cfg.listen.rsplit(':', 1)
    return listener.Listener(
        ctx,
        address,
        make_routes(ctx),
        host,
        int(port),
        addresses.SESSIONS,
        min(
            ctx.cfg.max_connections,
            caller_budget.derive_connections(
                ctx.cfg.max_fds, http_server.CONTROL_SHARE
            ),
        ),
    )


def make_routes(
    ctx: task.Context, subscribers: tuple[str, ...] = SUBSCRIBERS
) -> session.Routes:
    """Return the routes of an entry's sessions."""
    cfg = ctx.cfg
    return session.Routes(
        tasks=ROUTES,
        subscribers=subscribers,
        hello=session.make_hello(ctx, 'entry', cfg.process, cfg.listen),
    )
