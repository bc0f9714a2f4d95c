"""Name the tasks of a sidecar that other tasks send to."""

ADMISSION = 'capacity/admission'
RUNNER = 'platform/runner'
ANNOUNCER = 'links/announcer'
SESSIONS = 'links/sessions'
INTERFERENCE = 'capacity/interference'
TASK_CONTROL = 'capacity/task_control'
