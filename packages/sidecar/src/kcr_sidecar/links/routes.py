"""Say where the messages of the entries go and how an entry is dialed."""

from kcr_core import message_base
from kcr_core import messages
from kcr_core import types
from kcr_runtime import supervisor
from kcr_runtime import task
from kcr_runtime.wire import session
from kcr_sidecar import addresses

# Task that handles each message from the wire.
ROUTES = {
    messages.Execute: addresses.ADMISSION,
    messages.HeartbeatAck: addresses.ANNOUNCER,
    messages.Assign: addresses.TASK_CONTROL,
    messages.StopTask: addresses.TASK_CONTROL,
    messages.ReportAck: addresses.TASK_CONTROL,
    messages.Control: addresses.CONTROL,
    messages.DumpRequest: addresses.CONTROL,
}
# Tasks that hear of opened and closed sessions.
SUBSCRIBERS = (addresses.ANNOUNCER, addresses.TASK_CONTROL)


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

    def hello() -> message_base.Hello:
        return message_base.Hello(
            version=message_base.PROTOCOL_VERSION,
            role='sidecar',
            process=cfg.process,
            incarnation=ctx.incarnation,
            place=place,
        )

    return session.Routes(
        tasks=ROUTES,
        subscribers=SUBSCRIBERS,
        hello=hello,
    )
