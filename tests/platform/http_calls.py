"""Send the requests of callers to a scheduler."""

import http.client
import json
import typing

# Time that a call may take, in seconds.
CALL_S = 4.0
# Host of the routes.
HOST = 'jobs.example'


def ask_once(
    front: str, method: str, path: str, body: bytes | None = None
) -> tuple[int, typing.Any]:
    """Send one request over an own connection; status 0 for no answer."""
    conn = http.client.HTTPConnection(front, timeout=CALL_S)
    try:
        return ask(conn, method, path, body)
    finally:
        conn.close()


def ask(
    conn: http.client.HTTPConnection,
    method: str,
    path: str,
    body: bytes | None = None,
) -> tuple[int, typing.Any]:
    """Send one request over a connection that is kept open."""
    try:
        conn.request(method, path, body, {'Host': HOST})
        got = conn.getresponse()
        data = got.read()
        return got.status, json.loads(data) if data else {}
    except (OSError, http.client.HTTPException, ValueError):
        # The caller can't tell what became of the request.
        conn.close()
        return 0, {}
