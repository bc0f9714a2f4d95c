"""Serve and send small HTTP/1.1 requests on loopback addresses."""

import http.client
from http import server
import json
import threading
import typing
from urllib import parse


class _Handler(server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True

    def _any(self) -> None:
        size = int(self.headers.get('content-length') or 0)
        body = self.rfile.read(size)
        path, _, query = self.path.partition('?')
        fields = dict(parse.parse_qsl(query, keep_blank_values=True))
        stand_in: typing.Any = vars(self.server)['stand_in']
        got = stand_in.answer(path, fields, body, self.headers)
        if got is None:
            self.close_connection = True
            return
        status, out = got
        data = out if isinstance(out, bytes) else json.dumps(out).encode()
        try:
            self.send_response(status)
            self.send_header('Content-Length', str(len(data)))
            self.send_header('Content-Type', 'application/json')
            self.end_headers()
            self.wfile.write(data)
        except OSError:
            self.close_connection = True

    do_GET = do_POST = do_DELETE = _any

    def log_message(self, *args: typing.Any) -> None:
        """Write no access log."""


class _Server(server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request: typing.Any, address: typing.Any) -> None:
        """Ignore connections that the other side has reset."""


class StandIn:
    """Serve on a free port of a loopback address.

    Subclasses define `answer`, which returns status and body, or nothing to
    close the connection without an answer.
    """

    def __init__(self, host: str) -> None:
        self._server = _Server((host, 0), _Handler)
        vars(self._server)['stand_in'] = self
        self.address = f'{host}:{self._server.server_port}'
        threading.Thread(
            target=self._server.serve_forever, args=(0.1,), daemon=True
        ).start()

    def answer(
        self,
        path: str,
        fields: dict[str, str],
        body: bytes,
        headers: typing.Any,
    ) -> tuple[int, typing.Any] | None:
        """Answer one request."""
        raise NotImplementedError

    def close(self) -> None:
        """Close the port."""
        self._server.shutdown()
        self._server.server_close()


def call(
    address: str,
    method: str,
    path: str,
    body: typing.Any = None,
    timeout_s: float = 3.0,
    headers: dict[str, str] | None = None,
) -> tuple[int, typing.Any, dict[str, str]]:
    """Send one request; return status 0 if there is no answer."""
    data = None if body is None else json.dumps(body).encode()
    conn = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        conn.request(
            method, path, data,
            {'Content-Type': 'application/json', **(headers or {})},
        )
        got = conn.getresponse()
        raw = got.read()
        out = json.loads(raw) if raw else {}
        fields = {k.lower(): v for k, v in got.getheaders()}
        return got.status, out, fields
    except (OSError, http.client.HTTPException, ValueError):
        return 0, {}, {}
    finally:
        conn.close()
