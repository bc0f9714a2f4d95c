"""Stand-ins of the platform: its store, its advice service, a channel.

They do what the platform's pages say, in memory and on loopback addresses.
"""

import asyncio
import base64
import json
import struct
import time

import stand_http as http

# Bounds of the store's settings, as the settings of a small deployment name
# them.
MAX_RECORD_BYTES = 262144
MAX_CALL_BYTES = 2097152
APPEND_S = 0.002
# Calls that may wait at the advice service.
MAX_ADVICE_CALLS = 32


def split_records(body):
    """Return the records of a body, each behind its length."""
    out, at = [], 0
    while at < len(body):
        (size,) = struct.unpack_from('>I', body, at)
        out.append(body[at + 4 : at + 4 + size])
        at += 4 + size
    return out


class Store:
    """Keep the records of topics; linearizable, loses nothing."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        # Offset of the first record that is kept, by topic.
        self.first = {}
        # Whether each call is answered with 503, as nothing is done.
        self.down = False
        # Reads that wait for a record.
        self._waiting = set()
        self._appending = asyncio.Lock()
        self.server = http.Server(self._answer)

    async def start(self):
        """Listen."""
        await self.server.start()
        return self

    def set_down(self, down):
        """Begin or end an outage."""
        self.down = down
        self.record.write('store', 'down' if down else 'up again')

    def put(self, topic, key, value):
        """Write a value of a key, as the operator does."""
        name = key.encode()
        self.topics.setdefault(topic, []).append(
            bytes((len(name),)) + name + json.dumps(value).encode()
        )
        self._wake()

    def _wake(self):
        for item in self._waiting:
            if not item.done():
                item.set_result(None)

    async def _answer(self, req):
        if self.down:
            return 503, {}
        name = req.path.rpartition('/')[2]
        if name == 'log-append':
            return await self._append(req)
        if name == 'log-read':
            return await self._read(req)
        if name == 'log-newest':
            return 200, self._newest(self.topics.get(req.query['Topic'], []))
        if name == 'log-trim':
            body = req.json()
            topic = body['Topic']
            self.first[topic] = max(
                self.first.get(topic, 0), int(body['Before'])
            )
            return 200, {}
        return 404, {}

    async def _append(self, req):
        found = split_records(req.body)
        if len(req.body) > MAX_CALL_BYTES or any(
            len(r) > MAX_RECORD_BYTES for r in found
        ):
            return 400, {}
        async with self._appending:
            await asyncio.sleep(APPEND_S)
            log = self.topics.setdefault(req.query['Topic'], [])
            at = req.query.get('At')
            if at is not None and int(at) != len(log):
                return 412, {'EndOffset': len(log)}
            offset = len(log)
            log.extend(found)
            self._wake()
            return 200, {'Offset': offset, 'EndOffset': len(log)}

    async def _read(self, req):
        topic, start = req.query['Topic'], int(req.query['From'])
        log = self.topics.setdefault(topic, [])
        if start < self.first.get(topic, 0):
            return 410, {'FirstOffset': self.first[topic]}
        wait_s = int(req.query.get('WaitMs', 0)) / 1000.0
        until = time.monotonic() + wait_s
        while len(log) <= start and time.monotonic() < until:
            item = asyncio.get_running_loop().create_future()
            self._waiting.add(item)
            await asyncio.wait({item}, timeout=until - time.monotonic())
            self._waiting.discard(item)
        if self.down:
            return 503, {}
        limit = int(req.query.get('MaxKb', 1024)) * 1024
        parts = [struct.pack('>QQ', len(log), self.first.get(topic, 0))]
        size = 0
        for data in log[start:]:
            if size + len(data) > limit:
                break
            parts += [struct.pack('>I', len(data)), data]
            size += len(data)
        return 200, b''.join(parts)

    def _newest(self, log):
        newest = {}
        for offset, data in enumerate(log):
            key = data[1 : 1 + data[0]].decode()
            value = base64.b64encode(data[1 + data[0] :]).decode()
            newest[key] = {'Key': key, 'Value': value, 'Offset': offset}
        return {
            'items': list(newest.values()), 'HasMore': False,
            'EndOffset': len(log),
        }


class Adviser:
    """Grant tickets: one call at a time for each machine, in turn.

    All calls of a machine count as one caller; the cases have one owner.
    """

    def __init__(self, record, decision_ms, period_ms, valid_ms):
        self.record = record
        self.decision_ms = decision_ms
        self.period_ms = period_ms
        self.valid_ms = valid_ms
        # Time until which a ticket is valid, by step, runner and ticket.
        self.tickets = {}
        self.calls = self.refused = 0
        self._waiting = 0
        self._turn = asyncio.Lock()
        self.server = http.Server(self._answer)

    async def start(self):
        """Listen."""
        await self.server.start()
        return self

    async def _answer(self, req):
        if req.path != '/-/advise':
            return 404, {}
        body = req.json()
        step, workers = body['Step'], body['Workers']
        if len(workers) > 100:
            return 400, {}
        if self._waiting >= MAX_ADVICE_CALLS:
            self.refused += 1
            return 429, {}
        self._waiting += 1
        try:
            await self._turn.acquire()
        finally:
            self._waiting -= 1
        try:
            delay_ms = self.decision_ms + self.period_ms * len(workers)
            await asyncio.sleep(delay_ms / 1000.0)
        finally:
            self._turn.release()
        self.calls += 1
        now = asyncio.get_running_loop().time()
        rows = []
        for worker in workers:
            ticket = f't{self.calls}-{worker}'
            self.tickets[step, worker, ticket] = now + self.valid_ms / 1000.0
            rows.append([worker, ticket])
        self.record.write('advice', f'granted {len(rows)} for {step}')
        return 200, {'Granted': rows, 'ValidMs': self.valid_ms}

    def is_valid(self, step, worker, ticket):
        """Return whether a ticket lets a runner start the step's tasks."""
        now = asyncio.get_running_loop().time()
        return now < self.tickets.get((step, worker, ticket), 0.0)


class Channel:
    """Forward bytes between a port and a target.

    `silence` keeps the open channels open, but carries nothing on them any
    more; new ones work.
    """

    def __init__(self, target):
        self.target = target
        self.address = ''
        self._pairs = []
        self._server = None

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(
            self._accept, '127.0.0.1', 0, backlog=2048
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'
        return self

    def silence(self):
        """Carry nothing more on the open channels; return their number."""
        for pair in self._pairs:
            pair['silent'] = True
        return len(self._pairs)

    def close(self):
        """End all channels."""
        if self._server is not None:
            self._server.close()
        for pair in self._pairs:
            for writer in pair['writers']:
                writer.transport.abort()

    async def _accept(self, reader, writer):
        host, _, port = self.target.rpartition(':')
        try:
            far_reader, far = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = {'silent': False, 'writers': (writer, far)}
        self._pairs.append(pair)
        try:
            await asyncio.gather(
                self._pump(pair, reader, far),
                self._pump(pair, far_reader, writer),
            )
        finally:
            if pair in self._pairs:
                self._pairs.remove(pair)
            for item in (writer, far):
                item.transport.abort()

    async def _pump(self, pair, reader, writer):
        try:
            while data := await reader.read(65536):
                if not pair['silent']:
                    writer.write(data)
                    await writer.drain()
        except ConnectionError:
            pass
        if pair['silent']:
            # A silent channel does not pass on its end either.
            return
        writer.transport.abort()
