"""The evacuations of availability zones that the operators have requested."""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._store_position import (
    RESTORED_DISTRUST_MS,
    StorePosition,
)

MAX_EVACUATIONS = 64
"""The most zones of which an entry is kept; it bounds the size of a heartbeat."""

CONFIRMATION_INTERVAL_MS = 30_000
"""How long zones may be active without a read that confirms it, in milliseconds. A
process that returns from a partition may send a request whose removal no other process
remembers; the read corrects that. It costs a call to the store only while a zone is
evacuated."""


class ZoneEvacuation(NamedTuple):
    """Whether the operators want new flows kept away from a zone's backend servers."""

    zone: str
    """The name of the availability zone."""

    is_active: bool
    """Whether the evacuation is requested; False after its removal."""

    position: StorePosition
    """The store's position at which the request or its removal was read."""


class Evacuations:
    """The latest known entry of each zone that is or was evacuated.

    Balancers learn entries from the store and from each other, agents from balancers.
    Entries arrive in any order and repeatedly; the one with the latest position wins.
    Entries of removed requests are kept, because a process that was partitioned from
    the others may still send the request.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> evacuations = Evacuations(ManualClock(0))
        >>> requested = ZoneEvacuation("b", True, StorePosition(1, 8))
        >>> removed = ZoneEvacuation("b", False, StorePosition(1, 9))
        >>> evacuations.merge([requested]), evacuations.active_zones
        (True, frozenset({'b'}))
        >>> evacuations.merge([removed]), evacuations.merge([requested])
        (True, False)
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.entries: dict[str, ZoneEvacuation] = {}
        self.active_zones: frozenset[str] = frozenset()
        """The zones whose backend servers must receive no new flows."""
        self.era: int | None = None
        """The highest era of the store that is known, None before the first."""
        self.distrust_until_ms = 0
        """Until when the store may lack requests, because it came back from an older
        copy. The time starts when this process first learns of the era, since a process
        that has just started does not know how old the era is."""
        self.confirmed_ms = 0
        """When the active zones changed or were read last, in milliseconds."""

    def merge(self, entries: Iterable[ZoneEvacuation]) -> bool:
        """Apply entries of any origin; return whether the active zones changed."""
        for entry in entries:
            self.record_era(entry.position.era)
            known = self.entries.get(entry.zone)
            if known is None or _order(entry) > _order(known):
                self.entries[entry.zone] = entry
        self._remove_oldest()
        active_zones = frozenset(
            entry.zone for entry in self.entries.values() if entry.is_active
        )
        has_changed = active_zones != self.active_zones
        self.active_zones = active_zones
        if has_changed:
            self.confirmed_ms = self.clock.now_ms()
        return has_changed

    def accept_read(self, zones: Collection[str], position: StorePosition) -> bool:
        """Apply all requests that the store has; return whether active zones changed.

        A request that the read lacks has been removed, unless the store came back from
        a copy that may be older than the request.
        """
        self.record_era(position.era)
        self.confirmed_ms = self.clock.now_ms()
        is_distrusted = self.clock.now_ms() < self.distrust_until_ms
        removed = [
            entry.zone
            for entry in self.entries.values()
            if entry.is_active
            and entry.zone not in zones
            and not (is_distrusted and entry.position.era < position.era)
        ]
        read = [ZoneEvacuation(zone, True, position) for zone in zones]
        return self.merge(
            [*read, *(ZoneEvacuation(zone, False, position) for zone in removed)]
        )

    def record_era(self, era: int) -> None:
        """Record an era of the store; a later one than known starts the distrust."""
        if self.era is None or era > self.era:
            self.era = era
            self.distrust_until_ms = self.clock.now_ms() + RESTORED_DISTRUST_MS

    def needs_read(self) -> bool:
        """Return whether a read must confirm the active zones.

        A watch reports only changes, so that it never shows that the copy from which
        the store came back lacks a request.
        """
        now_ms = self.clock.now_ms()
        if not self.active_zones or self.era is None:
            return False
        if any(
            self.entries[zone].position.era < self.era for zone in self.active_zones
        ):
            return now_ms >= self.distrust_until_ms
        return now_ms - self.confirmed_ms >= CONFIRMATION_INTERVAL_MS

    def list_entries(self) -> tuple[ZoneEvacuation, ...]:
        """Return the entries for a heartbeat."""
        return tuple(self.entries.values())

    def _remove_oldest(self) -> None:
        """Remove the entries with the earliest positions beyond the limit.

        The rule depends on positions only, so that the order in which entries arrive
        does not matter.
        """
        if len(self.entries) > MAX_EVACUATIONS:
            latest = sorted(
                self.entries.values(), key=lambda entry: (entry.position, entry.zone)
            )[-MAX_EVACUATIONS:]
            self.entries = {entry.zone: entry for entry in latest}


def _order(entry: ZoneEvacuation) -> tuple[StorePosition, bool]:
    # At one position of the store a zone has one state. Should two reads differ, as
    # they may when a read of several pages overlaps a change, the request wins until a
    # later position decides.
    return entry.position, entry.is_active
