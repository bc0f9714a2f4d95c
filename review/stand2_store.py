"""Stand in for the platform's metadata store."""

import base64
import collections
import json
import struct
import threading
import time
import typing

import stand2_web as web

# Time of one append, in seconds; the answer takes 4 ms on small sites.
APPEND_S = 0.004
MAX_RECORD_BYTES = 262_144
MAX_CALL_BYTES = 2_097_152


class Store(web.StandIn):
    """Keep the topics, each with one partition, in memory."""

    def __init__(self, host: str) -> None:
        self._changed = threading.Condition()
        self._topics: dict[str, list[bytes]] = collections.defaultdict(list)
        self._first: dict[str, int] = collections.defaultdict(int)
        super().__init__(host)

    def put(self, topic: str, key: str, value: typing.Any) -> None:
        """Write a value under a key, as the operator does."""
        name = key.encode()
        data = bytes((len(name),)) + name + json.dumps(value).encode()
        with self._changed:
            self._topics[topic].append(data)
            self._changed.notify_all()

    def answer(
        self,
        path: str,
        fields: dict[str, str],
        body: bytes,
        headers: typing.Any,
    ) -> tuple[int, typing.Any] | None:
        """Answer an append, a read, a trim or a read of the newest values."""
        if path == '/-/log-trim':
            msg = json.loads(body)
            with self._changed:
                topic = msg['Topic']
                self._first[topic] = max(self._first[topic], msg['Before'])
            return 200, {}
        if path == '/-/log-append':
            time.sleep(APPEND_S)
            return self._append(fields, body)
        if path == '/-/log-read':
            return self._read(fields)
        if path == '/-/log-newest':
            return self._newest(fields['Topic'])
        return 404, {}

    def _append(
        self, fields: dict[str, str], body: bytes
    ) -> tuple[int, typing.Any]:
        found, position = [], 0
        while position < len(body):
            (size,) = struct.unpack_from('>I', body, position)
            found.append(body[position + 4 : position + 4 + size])
            position += 4 + size
        if len(body) > MAX_CALL_BYTES or any(
            len(item) > MAX_RECORD_BYTES for item in found
        ):
            return 400, {}
        with self._changed:
            items = self._topics[fields['Topic']]
            if 'At' in fields and int(fields['At']) != len(items):
                return 412, {'EndOffset': len(items)}
            start = len(items)
            items += found
            self._changed.notify_all()
            return 200, {'Offset': start, 'EndOffset': len(items)}

    def _read(self, fields: dict[str, str]) -> tuple[int, typing.Any]:
        topic, start = fields['Topic'], int(fields['From'])
        until = time.monotonic() + int(fields.get('WaitMs', 0)) / 1000.0
        with self._changed:
            items = self._topics[topic]
            while len(items) <= start:
                left = until - time.monotonic()
                if left <= 0:
                    break
                self._changed.wait(left)
            first = self._first[topic]
            if start < first:
                return 410, {'FirstOffset': first}
            parts = [struct.pack('>QQ', len(items), first)]
            left_bytes = int(fields.get('MaxKb', 1024)) * 1024
            for item in items[start:]:
                parts += [struct.pack('>I', len(item)), item]
                left_bytes -= len(item)
                if left_bytes <= 0:
                    break
            return 200, b''.join(parts)

    def _newest(self, topic: str) -> tuple[int, typing.Any]:
        newest: dict[str, dict[str, typing.Any]] = {}
        with self._changed:
            items = self._topics[topic]
            for offset, item in enumerate(items):
                key = item[1 : 1 + item[0]].decode()
                value = item[1 + item[0] :]
                newest.pop(key, None)
                if value:
                    newest[key] = {
                        'Key': key,
                        'Value': base64.b64encode(value).decode(),
                        'Offset': offset,
                    }
            return 200, {
                'items': list(newest.values()),
                'HasMore': False,
                'EndOffset': len(items),
            }
