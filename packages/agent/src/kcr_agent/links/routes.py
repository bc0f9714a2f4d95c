"""Say where the messages of the schedulers go and how one is dialed."""

from kcr_agent import addresses
from kcr_core import message_base
from kcr_core import types
from kcr_jobs import messages
from kcr_runtime import supervisor
from kcr_runtime import task
from kcr_runtime.wire import session

# Task that handles each message from the wire.
ROUTES = {
    messages.OwnerIs: addresses.LINK,
    messages.Lease: addresses.CONTROL,
    messages.RunnerReportAck: addresses.CONTROL,
    messages.StartRun: addresses.CONTROL,
    messages.StopRun: addresses.CONTROL,
    messages.PaceRun: addresses.CONTROL,
}
# Tasks that hear of opened and closed sessions.
SUBSCRIBERS = (addresses.LINK,)


def make_spec(ctx: task.Context, target: str) -> supervisor.ChildSpec:
    """Return the spec of a session that dials a scheduler."""
    cfg = ctx.cfg
    place = types.Place(cfg.region, cfg.zone, cfg.rack, cfg.process)

    def hello() -> message_base.Hello:
        return message_base.Hello(
            version=message_base.PROTOCOL_VERSION,
            role='agent',
            process=cfg.process,
            incarnation=ctx.incarnation,
            place=place,
        )

    made = session.Routes(tasks=ROUTES, subscribers=SUBSCRIBERS, hello=hello)

    def factory(ctx: task.Context, address: str) -> session.Session:
        return session.Session(ctx, address, made, target)

    return supervisor.ChildSpec(target, factory)
