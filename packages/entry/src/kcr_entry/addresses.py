"""Name the tasks of an entry that other tasks send to."""

HTTP = 'front/http'
REQUESTS = 'work/requests'
MEMBERSHIP = 'fleet/membership'
SESSIONS = 'fleet/sessions'
TASKS = 'work/tasks'
FENCES = 'work/fences'
CLAIMS = 'work/claims'
PEERS = 'fleet/peers'
LISTENER = 'fleet/listener'
PEER_SESSIONS = 'fleet/peer_sessions'
# Supervisors of all sessions.
ALL_SESSIONS = {SESSIONS, PEER_SESSIONS}
APPENDER = 'log/appender'
IN_FORCE = 'configuration/in_force'
PROCESSES = 'configuration/processes'
READERS = {
    'config': 'log/reader_config',
    'tasks': 'log/reader_tasks',
    'claims': 'log/reader_claims',
}
# Tasks that follow the settings of the document in force.
FOLLOWERS = (
    PROCESSES,
    MEMBERSHIP,
    REQUESTS,
    TASKS,
    CLAIMS,
    PEERS,
    FENCES,
)
