"""Forward loopback connections and inject network faults into them.

The deployment connects processes through these links; faults.py cuts, delays
and resets them.
"""

import asyncio
import contextlib
import threading

# Largest chunk that is forwarded at once.
MAX_CHUNK_BYTES = 65536
# The same on a link with a limited rate.
MAX_LIMITED_BYTES = 4096


class Link:
    """Forward connections from a port of its own to one target.

    Data that a cut holds back is delivered once the cut ends, as with TCP
    retransmission.
    """

    def __init__(self, network: 'Network', target: str) -> None:
        self.network = network
        # Address to which connections are forwarded.
        self.target = target
        # Address on which the link listens.
        self.address = ''
        # Delay of each chunk, in seconds.
        self.delay_s = 0.0
        # Directions that are cut: `up` to the target, `down` from it.
        self.cut: frozenset[str] = frozenset()
        # Whether new connections are reset.
        self.refusing = False
        # Bytes a second that each direction carries, over all connections; 0
        # for any number.
        self.rate = 0
        # Bytes from the target after which that direction is cut; 0 for none.
        self.cut_after = 0
        self._carried = 0
        self._turns = {'up': asyncio.Lock(), 'down': asyncio.Lock()}
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        # The writers of connections that carry no more bytes.
        self._silent: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(
            self._accept, '127.0.0.1', 0, limit=MAX_CHUNK_BYTES
        )
        host, port = server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def set_faults(
        self,
        cut: tuple[str, ...] = (),
        delay_s: float = 0.0,
        refusing: bool = False,
    ) -> None:
        """Replace the faults of the link; without arguments, clear them."""

        def change() -> None:
            self.cut, self.delay_s = frozenset(cut), delay_s
            self.refusing = refusing
            self._changed.set()
            self._changed = asyncio.Event()

        self.network.loop.call_soon_threadsafe(change)

    def reset(self) -> None:
        """Reset all connections."""

        def abort() -> None:
            for writer in self._writers:
                writer.transport.abort()

        self.network.loop.call_soon_threadsafe(abort)

    def silence(self) -> None:
        """Let the open connections carry no more bytes; new ones work."""
        asyncio.run_coroutine_threadsafe(
            self._silence(), self.network.loop
        ).result(5.0)

    async def _silence(self) -> None:
        self._silent |= self._writers

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            if self.refusing:
                writer.transport.abort()
                return
            await self._wait_for('up')
            host, port = self.target.rsplit(':', 1)
            there, back = await asyncio.open_connection(host, int(port))
            self._writers.add(back)
            try:
                await asyncio.gather(
                    self._forward(reader, back, 'up'),
                    self._forward(there, writer, 'down'),
                )
            finally:
                self._writers.discard(back)
                self._silent -= {back, writer}
                back.transport.abort()
        except OSError:
            # The other side sees the connection closed.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        while data := await reader.read(
            MAX_LIMITED_BYTES if self.rate else MAX_CHUNK_BYTES
        ):
            if self.rate:
                async with self._turns[direction]:
                    await asyncio.sleep(len(data) / self.rate)
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            await self._wait_for(direction)
            if writer in self._silent:
                continue
            writer.write(data)
            await writer.drain()
            if direction == 'down':
                self._carried += len(data)
                if 0 < self.cut_after <= self._carried:
                    self.cut |= {direction}
        await self._wait_for(direction)
        with contextlib.suppress(OSError):
            writer.write_eof()

    async def _wait_for(self, direction: str) -> None:
        while direction in self.cut:
            await self._changed.wait()


class Network:
    """Run an event loop for all links in a thread of its own."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self.loop.run_forever, daemon=True
        )
        self._thread.start()

    def connect(self, target: str) -> Link:
        """Return a new link to a target."""
        link = Link(self, target)
        asyncio.run_coroutine_threadsafe(link.open(), self.loop).result(5.0)
        return link

    def close(self) -> None:
        """Close all links and end the thread."""

        async def cancel_all() -> None:
            own = asyncio.current_task()
            tasks = [t for t in asyncio.all_tasks() if t is not own]
            for item in tasks:
                item.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        asyncio.run_coroutine_threadsafe(cancel_all(), self.loop).result(10.0)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(5.0)
