"""Decide in which zones nothing is started, by the keys of the operators.

The scheduler's configuration task passes what it reads of the keyed topic and
the views of peers to a Tracker, which keeps the view in force. The controller
starts nothing on a runner in an evacuated zone.
"""

from collections import abc
import dataclasses
import typing

from kcr_jobs import messages

# Prefix of a key; the rest of the key is the name of the zone.
KEY_PREFIX = 'evacuate/'
# Longest name of a zone, in characters, as in a heartbeat.
MAX_ZONE_CHARS = 128
# Maximum number of zones that a pulse carries; every scheduler sends four
# pulses per second to every other over a narrow link.
MAX_SHARED_ZONES = 64
# Maximum number of skipped keys that are remembered, so that each is logged
# once.
MAX_SKIPPED_KEYS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """Store which zones were evacuated when the topic was read."""

    # Offset up to which the topic was read.
    offset: int
    zones: frozenset[str] = frozenset()
    # Number of times that the topic was found recreated with a lower end;
    # offsets are comparable only within one generation.
    generation: int = 0

    @property
    def position(self) -> tuple[int, int]:
        """Return what orders views by age."""
        return self.generation, self.offset


def merge(known: View | None, found: View) -> View:
    """Return the newer view; the found one if they are of the same age."""
    if known is not None and known.position > found.position:
        return known
    return found


def forbids(view: View | None, zone: str) -> bool:
    """Return whether nothing may be started in a zone."""
    return view is not None and zone in view.zones


def forbids_all(view: View | None, zones: abc.Collection[str]) -> bool:
    """Return whether all zones are evacuated; false for no zones."""
    return bool(zones) and all(forbids(view, zone) for zone in zones)


def parse_key(key: str) -> str | None:
    """Return the zone that a key names; none for a key of another kind."""
    if not key.startswith(KEY_PREFIX):
        return None
    return key[len(KEY_PREFIX) :]


def is_valid_zone(zone: str) -> bool:
    """Return whether a zone has a name of a valid length."""
    return 0 < len(zone) <= MAX_ZONE_CHARS


def to_pulse_fields(view: View | None) -> dict[str, typing.Any]:
    """Return the fields of a pulse that carry a view.

    A view with too many zones is not sent; peers then read them themselves.
    """
    if view is None or len(view.zones) > MAX_SHARED_ZONES:
        return {}
    return {
        'evacuation_offset': view.offset,
        'evacuated_zones': tuple(sorted(view.zones)),
        'evacuation_generation': view.generation,
    }


def from_pulse(pulse: messages.Pulse) -> View | None:
    """Return the view that a pulse carries; none if it has none."""
    if pulse.evacuation_offset < 0:
        return None
    zones = frozenset(filter(is_valid_zone, pulse.evacuated_zones))
    return View(pulse.evacuation_offset, zones, pulse.evacuation_generation)


class Tracker:
    """Merge what this process reads of the topic with the views of peers."""

    def __init__(self) -> None:
        # View in force; none before the first complete read.
        self.view: View | None = None
        # Keys with an invalid zone that were read.
        self.skipped: set[str] = set()
        # Last view from reads of this process.
        self._own: View | None = None
        # Generation that a full read under way may claim.
        self._reading_generation = 0

    def begin_full_read(self) -> None:
        """Record that a read of the whole topic begins."""
        self._reading_generation = self.view.generation if self.view else 0

    def record_full_read(
        self, entries: abc.Iterable[tuple[str, bool]], end: int
    ) -> list[str]:
        """Take over a read of the whole topic; return newly skipped keys.

        Entries are pairs of a key and whether it has a value. A lower end
        than that of an earlier read shows that the topic was recreated, so
        that the views of all processes are of an older generation.
        """
        generation = self._reading_generation
        if self._own is not None and end < self._own.offset:
            generation = max(generation, self._own.generation) + 1
        self._own = View(end, generation=generation)
        return self.record_read(entries, end)

    def record_read(
        self, entries: abc.Iterable[tuple[str, bool]], end: int
    ) -> list[str]:
        """Take over the entries up to an offset; return newly skipped keys."""
        assert self._own is not None
        zones = set(self._own.zones)
        skipped = []
        for key, has_value in entries:
            zone = parse_key(key)
            if zone is None:
                continue
            if not is_valid_zone(zone):
                if self._record_skipped(key):
                    skipped.append(key)
            elif has_value:
                zones.add(zone)
            else:
                zones.discard(zone)
        self._own = View(end, frozenset(zones), self._own.generation)
        self.view = merge(self.view, self._own)
        return skipped

    def _record_skipped(self, key: str) -> bool:
        """Return whether a key is skipped for the first time."""
        if key in self.skipped or len(self.skipped) >= MAX_SKIPPED_KEYS:
            return False
        self.skipped.add(key)
        return True

    def record_peer(self, found: View) -> None:
        """Take over the view of a peer if it is newer."""
        self.view = merge(self.view, found)

    def needs_full_read(self) -> bool:
        """Return whether the own reads may be of an older generation.

        A peer has found the topic recreated, which the own reads don't show
        if it has grown since.
        """
        own, view = self._own, self.view
        return (
            own is not None
            and view is not None
            and own.generation < view.generation
        )
