"""Name the tasks of an entry that other tasks send to."""

HTTP = 'front/http'
REQUESTS = 'work/requests'
MEMBERSHIP = 'fleet/membership'
SESSIONS = 'fleet/sessions'
