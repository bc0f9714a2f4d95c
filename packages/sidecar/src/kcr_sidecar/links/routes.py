"""Define which tasks receive messages of entries, and how entries are dialed.

The supervisor of the sessions starts one for each entry of the options, and
the announcer one for each further entry that an acknowledgement lists.
"""

from kcr_core import messages
from kcr_runtime import supervisor
from kcr_runtime import task
from kcr_runtime.wire import session
from kcr_sidecar import addresses

# Address of the task that handles each message class.
ROUTES = {
    messages.Execute: addresses.ADMISSION,
    messages.HeartbeatAck: addresses.ANNOUNCER,
    messages.Assign: addresses.TASK_CONTROL,
    messages.StopTask: addresses.TASK_CONTROL,
    messages.ReportAck: addresses.TASK_CONTROL,
    messages.Control: addresses.CONTROL,
    messages.DumpRequest: addresses.CONTROL,
}
# Addresses of the tasks that receive the events of sessions.
SUBSCRIBERS = (addresses.ANNOUNCER, addresses.TASK_CONTROL)


def make_routes(ctx: task.Context) -> session.Routes:
    """Return the routes of a sidecar's sessions."""
    return session.Routes(
        tasks=ROUTES,
        subscribers=SUBSCRIBERS,
        hello=session.make_hello(ctx, 'sidecar', ctx.cfg.instance),
    )


def make_spec(target: str) -> supervisor.ChildSpec:
    """Return the child spec of a session that dials an entry."""
    return session.make_spec(target, make_routes)
