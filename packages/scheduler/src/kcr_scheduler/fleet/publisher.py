"""List this scheduler in the store and read the addresses of the others.

The task sends the addresses to the mesh, which connects to them. Agents read
the same topic to find the owner.
"""

from kcr_runtime import seeds
from kcr_runtime import store
from kcr_runtime import task
from kcr_scheduler import addresses
from kcr_scheduler import events

# Keyed topic with the address of each scheduler, by name of the process.
TOPIC = 'keyed.schedulers'
# Time between reads of the list, in seconds. Peers report each other, so the
# list is required only at the start and after a network partition.
READ_INTERVAL_S = 5.0
# Pause after a failed call, in seconds.
RETRY_S = 0.5


class _Publish:
    pass


class _Read:
    pass


class Publisher(task.Task):
    """Own the address of this process in the list of schedulers."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        self.store: store.Store = store.STORES.get(ctx.cfg.store)(ctx)
        self._filter = seeds.AddressFilter(self.log, ctx.metrics)

    def started(self) -> None:
        """Publish the own address and read the list."""
        self.post(_Publish())
        self.post(_Read())

    @task.handles(_Publish)
    def _on_publish(self, msg: _Publish) -> None:
        self.spawn(self._publish())

    async def _publish(self) -> None:
        cfg = self.ctx.cfg
        got = await self.store.put(TOPIC, cfg.process, cfg.address.encode())
        if not self._running:
            return
        if isinstance(got, store.Appended):
            self.log.info('listed in the store', address=cfg.address)
        else:
            self.after(RETRY_S, _Publish())

    @task.handles(_Read)
    def _on_read(self, msg: _Read) -> None:
        self.spawn(self._read())

    async def _read(self) -> None:
        got = await self.store.newest(TOPIC)
        if not self._running:
            return
        if not isinstance(got, store.Items):
            self.after(RETRY_S, _Read())
            return
        found = self._filter.filter(
            (item.key, item.value.decode(errors='replace'))
            for item in got.items
            if item.value
        )
        self.send(addresses.MESH, events.SchedulersListed(found))
        self.after(READ_INTERVAL_S, _Read())
