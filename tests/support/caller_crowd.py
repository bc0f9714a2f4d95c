"""Play a crowd of callers that send much, end nothing and read nothing.

Each pattern is what one connection sends; a crowd plays it on many
connections at once to one listener, and the memory and the descriptors of the
process are sampled meanwhile.
"""

from collections import abc
import contextlib
import dataclasses
import os
import pathlib
import select
import socket
import stat
import time

from kcr_core import registry

# Host header, which the routes of the platform's tests match.
HOST = 'jobs.example'
# Connections of a crowd.
CROWD = 60
# Bytes that a connection sends at most, and at once.
SENT_BYTES = 2 * 1024 * 1024
PIECE_BYTES = 64 * 1024
# Largest body within the limits of the configuration.
BODY_BYTES = 262144
# Time without progress after which a crowd has sent what it can, and the
# longest time for a crowd, in seconds.
STALLED_S = 1.0
MAX_CROWD_S = 10.0
# Times that each connection is opened again after it was closed.
REOPENS = 3

# What one connection sends to a path with a method, by name of the pattern.
PATTERNS: registry.Registry[abc.Callable[[str, str], bytes]] = (
    registry.Registry('pattern')
)


def _head(method: str, path: str, *lines: str) -> bytes:
    host = f'Host: {HOST}'
    return '\r\n'.join([f'{method} {path} HTTP/1.1', host, *lines]).encode()


def _chunked(method: str, path: str, body: bytes) -> bytes:
    head = _head(method, path, 'Transfer-Encoding: chunked')
    return head + b'\r\n\r\n' + body


@PATTERNS.register('large chunks')
def send_large_chunks(method: str, path: str) -> bytes:
    """Announce a chunk of 4 GB and send a part of it."""
    return _chunked(method, path, b'ffffffff\r\n' + b'x' * SENT_BYTES)


@PATTERNS.register('small chunks')
def send_small_chunks(method: str, path: str) -> bytes:
    """Send chunks of one byte."""
    return _chunked(method, path, b'1\r\nx\r\n' * 25_000)


@PATTERNS.register('stops short')
def send_almost_all(method: str, path: str) -> bytes:
    """Send chunks up to the limit of a body, without the last one."""
    chunk = b'1000\r\n' + b'x' * 4096 + b'\r\n'
    return _chunked(method, path, chunk * (BODY_BYTES // 4096 - 1))


@PATTERNS.register('chunk extensions')
def send_extensions(method: str, path: str) -> bytes:
    """Send chunks of one byte with long extensions."""
    chunk = b'1;a=' + b'x' * 1000 + b'\r\nx\r\n'
    return _chunked(method, path, chunk * 1000)


@PATTERNS.register('trailers')
def send_trailers(method: str, path: str) -> bytes:
    """Send trailers after the last chunk, without an end."""
    return _chunked(method, path, b'0\r\n' + b'a: b\r\n' * 10_900)


@PATTERNS.register('large length')
def send_large_length(method: str, path: str) -> bytes:
    """Announce a length of 50 MB and send a part of it."""
    head = _head(method, path, 'Content-Length: 50000000')
    return head + b'\r\n\r\n' + b'x' * SENT_BYTES


@PATTERNS.register('headers')
def send_headers(method: str, path: str) -> bytes:
    """Send header lines without an end."""
    return _head(method, path, *(f'x{n}: 1' for n in range(100_000)))


@PATTERNS.register('open head')
def send_open_head(method: str, path: str) -> bytes:
    """Send a head just below both limits, and stop short of its end."""
    return _head(method, path, *(f'x{n}: {"y" * 20}' for n in range(480)))


@PATTERNS.register('long header')
def send_long_header(method: str, path: str) -> bytes:
    """Send one header line without an end."""
    return _head(method, path, 'x: ' + 'y' * SENT_BYTES)


@PATTERNS.register('pipelined, unread')
def send_pipelined(method: str, path: str) -> bytes:
    """Send many requests at once and read no response."""
    request = _head('GET', path) + b'\r\n\r\n'
    return request * (SENT_BYTES // len(request))


@PATTERNS.register('deep JSON')
def send_deep_json(method: str, path: str) -> bytes:
    """Send a complete body of nested lists, again and again."""
    body = b'{"a":' + b'[' * 4500 + b']' * 4500 + b'}'
    return _repeat(method, path, body, 20)


@PATTERNS.register('wide JSON')
def send_wide_json(method: str, path: str) -> bytes:
    """Send a complete body of many small values, again and again."""
    deps = b','.join([b'7777'] * 51_000)
    body = b'{"Spec":"x","Phases":[{"DependsOn":[' + deps + b']}]}'
    return _repeat(method, path, body, 4)


@PATTERNS.register('wrong items')
def send_wrong_items(method: str, path: str) -> bytes:
    """Send complete bodies in which each item of a list is an error."""
    items = b','.join([b'0'] * 65_000)
    body = b'{"Phases":[' + items + b'],"Labels":[' + items + b']}'
    return _repeat(method, path, body, 4)


@PATTERNS.register('empty lists')
def send_empty_lists(method: str, path: str) -> bytes:
    """Send a complete body of many empty lists, again and again."""
    body = b'{"a":[' + b','.join([b'[]'] * 87_000) + b']}'
    return _repeat(method, path, body, 4)


def _repeat(method: str, path: str, body: bytes, times: int) -> bytes:
    head = _head(method, path, f'Content-Length: {len(body)}')
    return (head + b'\r\n\r\n' + body) * times


def _upgrade() -> bytes:
    return _head(
        'GET', '/', 'Connection: Upgrade', 'Upgrade: websocket',
        'Sec-WebSocket-Version: 13',
        'Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==',
    ) + b'\r\n\r\n'  # fmt: skip


@PATTERNS.register('open frame')
def send_open_frame(method: str, path: str) -> bytes:
    """Announce a frame of 1 MB and stop short of its end."""
    size = (2**20).to_bytes(8, 'big')
    return _upgrade() + b'\x82\xff' + size + bytes(4) + b'x' * (2**20 - 1)


@PATTERNS.register('pings, unread')
def send_pings(method: str, path: str) -> bytes:
    """Send pings and read no response."""
    ping = b'\x89\xfd' + bytes(4) + b'x' * 125
    return _upgrade() + ping * (SENT_BYTES // len(ping))


@dataclasses.dataclass(slots=True)
class Usage:
    """Store the highest memory and number of descriptors that were seen."""

    memory_mb: float = 0.0
    fds: int = 0

    def sample(self, pid: int) -> None:
        """Raise the figures to those of a process now."""
        memory_kb, fds = 0.0, 0
        status = pathlib.Path(f'/proc/{pid}/status').read_text()
        for line in status.splitlines():
            # The highest resident size, which lasts for milliseconds.
            if line.startswith('VmHWM:'):
                memory_kb = float(line.split()[1])
        for link in os.listdir(f'/proc/{pid}/fd'):
            with contextlib.suppress(OSError):
                found = os.stat(f'/proc/{pid}/fd/{link}')
                fds += 1
                # An open temporary file has no name.
                if stat.S_ISREG(found.st_mode) and found.st_nlink == 0:
                    memory_kb += found.st_size / 1024
        self.memory_mb = max(self.memory_mb, memory_kb / 1024)
        self.fds = max(self.fds, fds)


class _Caller:
    """Send one pattern over one connection."""

    def __init__(self, address: str, data: bytes) -> None:
        host, port = address.rsplit(':', 1)
        self._target = (host, int(port))
        self._data = memoryview(data)
        self._reopens = REOPENS
        self.sock: socket.socket | None = None
        self._open()

    def _open(self) -> None:
        self._sent = 0
        self.sock = socket.socket()
        # A small window lets responses that nobody reads fill up soon.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sock.setblocking(False)
        self.sock.connect_ex(self._target)

    def send(self) -> int:
        """Send the next piece; return the number of bytes."""
        assert self.sock is not None
        piece = self._data[self._sent : self._sent + PIECE_BYTES]
        try:
            count = self.sock.send(piece) if piece else 0
        except BlockingIOError:
            return 0
        except OSError:
            self.close()
            if self._reopens:
                self._reopens -= 1
                self._open()
            return 0
        self._sent += count
        return count

    @property
    def sending(self) -> bool:
        """Return whether there is more to send."""
        return self.sock is not None and self._sent < len(self._data)

    def close(self) -> None:
        """Close the connection."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None


def play(address: str, data: bytes, pid: int) -> Usage:
    """Send the same on all connections of a crowd; return the usage."""
    usage = Usage()
    # Begins a new count of the highest resident size.
    pathlib.Path(f'/proc/{pid}/clear_refs').write_text('5')
    callers = [_Caller(address, data) for _ in range(CROWD)]
    began = progress = time.monotonic()
    try:
        while time.monotonic() - began < MAX_CROWD_S:
            sending = {c.sock: c for c in callers if c.sock and c.sending}
            ready = select.select([], list(sending), [], 0.1)[1]
            if sum([sending[sock].send() for sock in ready]):
                progress = time.monotonic()
            usage.sample(pid)
            if time.monotonic() - progress > STALLED_S:
                break
        return usage
    finally:
        for caller in callers:
            caller.close()
