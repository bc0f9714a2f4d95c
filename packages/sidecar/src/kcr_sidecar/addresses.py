"""Define the addresses of the tasks of a sidecar.

The supervisors build these addresses from the names of their children; the
tasks use them to send messages to each other.
"""

ADMISSION = 'capacity/admission'
RUNNER = 'platform/runner'
ANNOUNCER = 'links/announcer'
SESSIONS = 'links/sessions'
CONTROL = 'links/control'
SHUTDOWN = 'capacity/shutdown'
TASK_CONTROL = 'capacity/task_control'
WORKER = 'platform/worker'
INTERFERENCE = 'capacity/interference'

# Tasks that receive the settings of the document in force.
SETTINGS_SUBSCRIBERS = (
    ANNOUNCER,
    SHUTDOWN,
    TASK_CONTROL,
    INTERFERENCE,
    WORKER,
)
