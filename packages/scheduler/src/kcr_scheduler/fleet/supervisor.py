"""Supervise the connections to agents and other schedulers."""

from collections import abc

from kcr_core import caller_budget
from kcr_runtime import http_server
from kcr_runtime import supervisor
from kcr_runtime import task
from kcr_runtime.wire import listener
from kcr_scheduler import addresses
from kcr_scheduler.fleet import mesh
from kcr_scheduler.fleet import probe
from kcr_scheduler.fleet import publisher
from kcr_scheduler.fleet import routes


class Sessions(supervisor.Supervisor):
    """Supervise one session per connection."""

    isolated = True


class Fleet(supervisor.Supervisor):
    """Supervise the tasks that connect to agents and other schedulers."""

    strategy = supervisor.Strategy.REST_FOR_ONE

    def children(self) -> abc.Sequence[supervisor.ChildSpec]:
        """Return the tasks of the fleet."""
        return (
            supervisor.ChildSpec('sessions', Sessions),
            supervisor.ChildSpec('peer_sessions', Sessions),
            supervisor.ChildSpec('prober', probe.Prober),
            supervisor.ChildSpec('mesh', mesh.Mesh),
            supervisor.ChildSpec('publisher', publisher.Publisher),
            supervisor.ChildSpec('listener', make_listener),
        )


def make_listener(ctx: task.Context, address: str) -> listener.Listener:
    """Return the listener for agents and other schedulers."""
    host, port = ctx.cfg.listen.rsplit(':', 1)
    return listener.Listener(
        ctx,
        address,
        routes.make_routes(ctx),
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
