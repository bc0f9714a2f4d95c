"""Forward loopback connections, and harm them on request."""

import asyncio
import contextlib
import threading

# Largest piece that is forwarded at once, in bytes.
PIECE = 65536


class Link:
    """Forward connections from an own port to one target.

    Data that a cut holds back is delivered once the cut ends, as TCP does by
    sending again.
    """

    def __init__(self, network: 'Network', target: str) -> None:
        self.network = network
        # Address that connections are forwarded to.
        self.target = target
        # Own address.
        self.address = ''
        # Delay of each piece, in seconds.
        self.delay_s = 0.0
        # Directions that are cut: `up` to the target, `down` from it.
        self.cut: frozenset[str] = frozenset()
        # Whether new connections are reset.
        self.refusing = False
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def harm(
        self,
        cut: tuple[str, ...] = (),
        delay_s: float = 0.0,
        refusing: bool = False,
    ) -> None:
        """Set what the link suffers from here on; nothing by default."""

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
                    self._pump(reader, back, 'up'),
                    self._pump(there, writer, 'down'),
                )
            finally:
                self._writers.discard(back)
                back.transport.abort()
        except OSError:
            # The side that is still there sees the connection end.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        way: str,
    ) -> None:
        while data := await reader.read(PIECE):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            await self._wait_for(way)
            writer.write(data)
            await writer.drain()
        await self._wait_for(way)
        with contextlib.suppress(OSError):
            writer.write_eof()

    async def _wait_for(self, way: str) -> None:
        while way in self.cut:
            await self._changed.wait()


class Network:
    """Run the links in a thread of their own."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self.loop.run_forever, daemon=True
        )
        self._thread.start()

    def connect(self, target: str) -> Link:
        """Open a link to a target."""
        link = Link(self, target)
        asyncio.run_coroutine_threadsafe(link.open(), self.loop).result(5.0)
        return link

    def close(self) -> None:
        """End all links."""

        async def cancel_all() -> None:
            own = asyncio.current_task()
            tasks = [t for t in asyncio.all_tasks() if t is not own]
            for item in tasks:
                item.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        asyncio.run_coroutine_threadsafe(cancel_all(), self.loop).result(10.0)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(5.0)
