"""Define the addresses of the tasks of a scheduler process."""

WATCH = 'config/watch'
MESH = 'fleet/mesh'
PUBLISHER = 'fleet/publisher'
PROBER = 'fleet/prober'
SESSIONS = 'fleet/sessions'
PEER_SESSIONS = 'fleet/peer_sessions'
OWNER = 'work/owner'
CALLS = 'work/calls'
FRONT = 'front/http'
