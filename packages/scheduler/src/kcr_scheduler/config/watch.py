"""Keep what operators publish, and distribute it in the process.

The task reads the configuration and the evacuated zones from the store; the
mesh task passes on those of peers. A valid configuration with a higher version
comes into force and is sent to the mesh, the owner and the front end; a newer
view of the evacuated zones is sent to the mesh and the owner. Each answer of
the store is reported to the mesh, which decides by it whether this process may
claim the jobs.
"""

import typing

from kcr_core import registry
from kcr_jobs import config
from kcr_jobs import evacuation
from kcr_runtime import store
from kcr_runtime import task
from kcr_scheduler import addresses
from kcr_scheduler import events

# Topic and key of the configuration.
TOPIC = 'keyed.op'
KEY = 'config'
# Longest wait of one read for a record, in seconds. The answer also shows that
# this process reaches the store, which the election requires.
READ_WAIT_S = 0.7
# Pause after a failed read, in seconds.
RETRY_S = 0.25

# Functions that decode the text of a configuration or raise ValueError, by
# kind of configuration.
DECODERS: registry.Registry[typing.Any] = registry.Registry('configuration')


class _Read:
    pass


class Watch(task.Task):
    """Own the configuration in force."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        self.store: store.Store = store.STORES.get(ctx.cfg.store)(ctx)
        # Newest configuration; none before the first.
        self.config: config.Config | None = None
        self._decode_config = DECODERS.get(ctx.cfg.config)
        self._body = b''
        # Evacuated zones, and where their newest change was read.
        self._zones = evacuation.Tracker()
        self._zones_source = 'store'
        # Offset of the next read; none before the first complete read.
        self._offset: int | None = None
        # Time of the first failed read after an answer; none without one.
        self._store_lost_at: float | None = None

    def started(self) -> None:
        """Start reading the store."""
        # The mesh task has the view from before a restart of this task.
        self.send(addresses.MESH, events.EvacuationQuery())
        self.post(_Read())

    def dump(self) -> dict[str, typing.Any]:
        """Return the version in force."""
        version = self.config.version if self.config else 0
        out = {**super().dump(), 'version': version}
        if self._zones.view is not None:
            out['evacuated_zones'] = sorted(self._zones.view.zones)
            out['evacuation_offset'] = self._zones.view.offset
        return out

    @task.handles(_Read)
    def _on_read(self, msg: _Read) -> None:
        self.spawn(self._read())

    async def _read(self) -> None:
        got: store.ItemsResult | store.Trimmed
        full = self._offset is None
        if self._offset is None:
            self._zones.begin_full_read()
            got = await self.store.newest(TOPIC)
        else:
            got = await self.store.read_keyed(TOPIC, self._offset, READ_WAIT_S)
        if not self._running:
            return
        if isinstance(got, store.Items):
            self._offset = got.end
            self._record_answer()
            self._apply_items(got, full)
            self.post(_Read())
            return
        if isinstance(got, store.Trimmed):
            self._record_answer()
            self._offset = None
            self.after(RETRY_S, _Read())
            return
        if self._store_lost_at is None:
            self._store_lost_at = self.now()
            self.log.warning('store lost', reason=got.reason)
        self.after(RETRY_S, _Read())

    def _apply_items(self, got: store.Items, full: bool) -> None:
        for item in got.items:
            if item.key == KEY and item.value:
                self._apply(item.value, 'store')
        # An entry whose value can't be read still names its zone.
        entries = [(i.key, bool(i.value) or i.malformed) for i in got.items]
        before = self._zones.view
        if full:
            skipped = self._zones.record_full_read(entries, got.end)
        else:
            skipped = self._zones.record_read(entries, got.end)
        for key in skipped:
            self.log.warning('evacuation skipped', key=key)
            self._count_evacuation('skipped')
        if self._zones.needs_full_read():
            self._offset = None
        self._publish_zones(before, 'store')

    @task.handles(events.EvacuationReceived)
    def _on_evacuation(self, msg: events.EvacuationReceived) -> None:
        before = self._zones.view
        self._zones.record_peer(msg.view)
        self._publish_zones(before, 'peer')

    def _publish_zones(
        self, before: evacuation.View | None, source: str
    ) -> None:
        view = self._zones.view
        if view is None or view == before:
            return
        old = before.zones if before else frozenset()
        for zone in sorted(view.zones - old):
            self.log.info(
                'zone evacuated', zone=zone, offset=view.offset, source=source
            )
            self._count_evacuation('begun')
        for zone in sorted(old - view.zones):
            self.log.info(
                'zone evacuation ended', zone=zone, offset=view.offset,
                source=source,
            )  # fmt: skip
            self._count_evacuation('ended')
        self._zones_source = source
        event = events.EvacuationInForce(view, source)
        for target in (addresses.OWNER, addresses.MESH):
            self.send(target, event)

    def _count_evacuation(self, effect: str) -> None:
        self.ctx.metrics.count('zone_evacuations', effect=effect)

    def _record_answer(self) -> None:
        if self._store_lost_at is not None:
            away_s = round(self.now() - self._store_lost_at, 3)
            self.log.info('store regained', away_s=away_s)
            self._store_lost_at = None
            # A version written meanwhile may have been trimmed before it was
            # read, so everything is read again.
            self._offset = None
        self.send(addresses.MESH, events.StoreAnswered())

    @task.handles(events.ConfigReceived)
    def _on_received(self, msg: events.ConfigReceived) -> None:
        self._apply(msg.body, 'peer')

    def _apply(self, body: bytes, source: str) -> None:
        try:
            found = self._decode_config(body)
        except ValueError as exc:
            self.log.error(
                'configuration is malformed', source=source, error=str(exc)
            )
            return
        if self.config is not None and found.version <= self.config.version:
            return
        self.config, self._body = found, body
        self.log.info(
            'configuration in force',
            version=found.version,
            routes=sum(len(r) for r in found.routes.values()),
            source=source,
        )
        self.ctx.metrics.count('config_applied', source=source)
        event = events.ConfigInForce(found, body)
        for target in (addresses.OWNER, addresses.MESH, addresses.FRONT):
            self.send(target, event)

    @task.handles(events.ConfigQuery)
    def _on_query(self, msg: events.ConfigQuery) -> None:
        if self.config is not None:
            self.send(
                msg.sender, events.ConfigInForce(self.config, self._body)
            )
        if self._zones.view is not None:
            self.send(
                msg.sender,
                events.EvacuationInForce(self._zones.view, self._zones_source),
            )
