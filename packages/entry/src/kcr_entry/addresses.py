"""Name the tasks of an entry that other tasks send to."""

HTTP = 'front/http'
REQUESTS = 'work/requests'
MEMBERSHIP = 'fleet/membership'
SESSIONS = 'fleet/sessions'
TASKS = 'work/tasks'
FENCES = 'work/fences'
PEERS = 'fleet/peers'
PEER_SESSIONS = 'fleet/peer_sessions'
APPENDER = 'log/appender'
