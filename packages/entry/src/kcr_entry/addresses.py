"""Name the tasks of an entry that other tasks send to."""

HTTP = 'front/http'
REQUESTS = 'work/requests'
MEMBERSHIP = 'fleet/membership'
SESSIONS = 'fleet/sessions'
APPENDER = 'log/appender'
IN_FORCE = 'configuration/in_force'
PROCESSES = 'configuration/processes'
TASKS = 'work/tasks'
CLAIMS = 'work/claims'
READERS = {
    'config': 'log/reader_config',
    'tasks': 'log/reader_tasks',
    'claims': 'log/reader_claims',
}
