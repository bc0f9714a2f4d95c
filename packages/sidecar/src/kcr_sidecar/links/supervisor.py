"""Supervise the connections of a sidecar to the entries."""

from collections import abc

from kcr_core import messages
from kcr_core import types
from kcr_runtime import supervisor
from kcr_runtime import task
from kcr_runtime.wire import session
from kcr_sidecar import addresses
from kcr_sidecar.links import announcer
from kcr_sidecar.links import control

# Task that handles each message from the wire.
ROUTES = {
    messages.Execute: addresses.ADMISSION,
    messages.HeartbeatAck: addresses.ANNOUNCER,
    messages.Control: addresses.CONTROL,
    messages.DumpRequest: addresses.CONTROL,
}


class Sessions(supervisor.Supervisor):
    """Hold one session per entry."""

    def children(self) -> abc.Sequence[supervisor.ChildSpec]:
        """Return a session for each entry of the settings."""
        return [
            make_spec(self.ctx, target)
            for target in dict.fromkeys(self.ctx.cfg.entries)
        ]


class Links(supervisor.Supervisor):
    """Run the announcer and the sessions to the entries."""

    def children(self) -> abc.Sequence[supervisor.ChildSpec]:
        """Return the tasks of the links part."""
        return (
            supervisor.ChildSpec('announcer', announcer.Announcer),
            supervisor.ChildSpec('control', control.Control),
            supervisor.ChildSpec('sessions', Sessions),
        )


def make_spec(ctx: task.Context, target: str) -> supervisor.ChildSpec:
    """Return the spec of a session that dials `target`."""
    routes = make_routes(ctx)

    def factory(ctx: task.Context, address: str) -> session.Session:
        return session.Session(ctx, address, routes, target)

    return supervisor.ChildSpec(target, factory)


def make_routes(ctx: task.Context) -> session.Routes:
    """Return the routes of a sidecar's sessions."""
    cfg = ctx.cfg
    place = types.Place(cfg.region, cfg.zone, cfg.rack, cfg.instance)

    def hello() -> messages.Hello:
        return messages.Hello(
            version=messages.PROTOCOL_VERSION,
            role='sidecar',
            process=cfg.process,
            incarnation=ctx.incarnation,
            place=place,
        )

    return session.Routes(
        tasks=ROUTES,
        subscribers=(addresses.ANNOUNCER,),
        hello=hello,
    )
