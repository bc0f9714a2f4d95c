"""Send HTTP requests of callers to the front end of a scheduler."""

import http.client
import json
import socket
import typing

# Timeout of a call, in seconds.
CALL_TIMEOUT_S = 4.0
# Host header that the routes match.
HOST = 'jobs.example'


def call_once(
    front: str,
    method: str,
    path: str,
    body: bytes | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> tuple[int, typing.Any]:
    """Send a request over a new connection; return status 0 for no answer."""
    conn = http.client.HTTPConnection(front, timeout=timeout_s)
    try:
        return call(conn, method, path, body)
    finally:
        conn.close()


def send_only(front: str, method: str, path: str, body: bytes = b'') -> bool:
    """Send a request and leave; return whether the whole of it was sent."""
    host, _, port = front.partition(':')
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    try:
        with socket.create_connection((host, int(port)), CALL_TIMEOUT_S) as s:
            s.sendall(head.encode() + body)
    except OSError:
        return False
    return True


def call(
    conn: http.client.HTTPConnection,
    method: str,
    path: str,
    body: bytes | None = None,
) -> tuple[int, typing.Any]:
    """Send a request over a connection that stays open."""
    try:
        conn.request(method, path, body, {'Host': HOST})
        got = conn.getresponse()
        data = got.read()
        return got.status, json.loads(data) if data else {}
    except (OSError, http.client.HTTPException, ValueError):
        # The request may have been carried out or not.
        conn.close()
        return 0, {}
