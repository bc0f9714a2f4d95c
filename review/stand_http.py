"""Serve and send HTTP/1.1 for the stand-ins, with asyncio only."""

import asyncio
import json
from urllib import parse

# Result of a handler: the request gets no answer and its channel is closed.
NO_ANSWER = None


class Request:
    """Represent one request that a server has read."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition('?')
        self.query = dict(parse.parse_qsl(query))
        self.headers = headers
        self.body = body

    def json(self):
        """Return the decoded body."""
        return json.loads(self.body or b'{}')


async def _read_head(reader):
    """Return the first line and the headers; None at the end of a channel."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Server:
    """Serve a coroutine `handler(request)` on a loopback address.

    It returns the status and the body, which is bytes or a value for JSON.
    """

    def __init__(self, handler):
        self._handler = handler
        self._server = None
        self._writers = set()
        self.address = ''

    async def start(self, host='127.0.0.1', port=0):
        """Listen; a port of 0 chooses a free one."""
        self._server = await asyncio.start_server(
            self._serve, host, port, backlog=2048, limit=2**22
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'
        return self

    def close(self):
        """Stop to listen and end all channels."""
        if self._server is not None:
            self._server.close()
        self.drop_channels()

    def drop_channels(self):
        """End all channels, as a server that crashes does."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await _read_head(reader)
                if head is None:
                    return
                (method, target, _), headers = head[0].split(' ', 2), head[1]
                size = int(headers.get('content-length') or 0)
                body = await reader.readexactly(size) if size else b''
                got = await self._handler(
                    Request(method, target, headers, body)
                )
                if got is NO_ANSWER:
                    return
                status, out = got
                if not isinstance(out, bytes):
                    out = json.dumps(out, separators=(',', ':')).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json'
                    f'\r\nContent-Length: {len(out)}\r\n\r\n'.encode() + out
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def _read_body(reader, headers):
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                return b''.join(parts)
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length']))
    return await reader.read()


async def call(address, method, path, body=None, headers=None, timeout=3.0):
    """Send one request on a new channel; return the status and the body.

    The status is 0 if there is no complete answer in time.
    """
    try:
        return await asyncio.wait_for(
            _call(address, method, path, body, headers or {}), timeout
        )
    except (
        OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError
    ) as exc:
        return 0, {'error': type(exc).__name__}


async def _call(address, method, path, body, headers):
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        data = b'' if body is None else json.dumps(body).encode()
        fields = {
            'Host': address, 'Content-Length': str(len(data)),
            'Connection': 'close', **headers,
        }
        if body is not None:
            fields.setdefault('Content-Type', 'application/json')
        lines = ''.join(f'{k}: {v}\r\n' for k, v in fields.items())
        writer.write(f'{method} {path} HTTP/1.1\r\n{lines}\r\n'.encode() + data)
        head = await _read_head(reader)
        if head is None:
            return 0, {'error': 'no answer'}
        status = int(head[0].split(' ')[1])
        out = await _read_body(reader, head[1])
        try:
            return status, json.loads(out or b'{}')
        except ValueError:
            return status, {}
    finally:
        writer.transport.abort()
