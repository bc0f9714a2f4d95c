"""Define the addresses of the tasks of an entry.

An address is the path of a task in the supervisor tree; other tasks of the
process send messages to it.
"""

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
# Supervisors of the sessions with processes and with other entries.
ALL_SESSIONS = {SESSIONS, PEER_SESSIONS}
APPENDER = 'log/appender'
IN_FORCE = 'configuration/in_force'
PROCESSES = 'configuration/processes'
# Readers of the streams of the log.
READERS = {
    'config': 'log/reader_config',
    'tasks': 'log/reader_tasks',
    'claims': 'log/reader_claims',
}
# Tasks that receive the settings of the document in force.
SETTINGS_SUBSCRIBERS = (
    PROCESSES,
    MEMBERSHIP,
    REQUESTS,
    TASKS,
    CLAIMS,
    PEERS,
    FENCES,
)
