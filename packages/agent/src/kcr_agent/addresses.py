"""Define the addresses of the tasks of an agent process."""

LINK = 'links/link'
SESSIONS = 'links/sessions'
CONTROL = 'runner/control'
FRONT = 'runner/front'
