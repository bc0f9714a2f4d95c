"""Name the tasks of a sidecar that other tasks send to."""

ADMISSION = 'capacity/admission'
RUNNER = 'platform/runner'
ANNOUNCER = 'links/announcer'
SESSIONS = 'links/sessions'
CONTROL = 'links/control'
SHUTDOWN = 'capacity/shutdown'
TASK_CONTROL = 'capacity/task_control'
WORKER = 'platform/worker'
INTERFERENCE = 'capacity/interference'

# Tasks that follow the settings of the document in force.
FOLLOWERS = (
    ANNOUNCER,
    SHUTDOWN,
    TASK_CONTROL,
    INTERFERENCE,
    WORKER,
)
