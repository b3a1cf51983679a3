"""Decodes the keys by which the operators request the evacuation of zones."""

from collections.abc import Iterable
from typing import Any

from citronwinch.coordination.flows import StorePosition, ZoneEvacuation
from citronwinch.platform._revisions import parse_revision

EVACUATION_PREFIX = "op/evacuate/"
"""Prefix of the keys that request an evacuation; the name of the zone follows."""

MAX_ZONE_NAME_BYTES = 64
"""The longest name of a zone; a key with a longer one is ignored, since the names are
part of every heartbeat."""


def decode_evacuations(
    items: Iterable[dict[str, Any]], position: StorePosition
) -> tuple[ZoneEvacuation, ...]:
    """Return the evacuations among the items of a read or the events of a watch.

    `position` is that of the store's answer. Only the key and its deletion count: the
    key itself states the request, whatever its value. An event has the revision of its
    change; if it lacks that, the answer's is right as well, since the last event of a
    key describes the key at that position. Raise KeyError, TypeError or ValueError when
    an item is malformed.

    Example::

        >>> events = [{"key": "op/evacuate/b", "revision": 7, "deleted": True}]
        >>> [entry] = decode_evacuations(events, StorePosition(1, 9))
        >>> entry.zone, entry.is_active, entry.position.revision
        ('b', False, 7)
    """
    evacuations = {}
    for item in items:
        zone = decode_evacuated_zone(item["key"])
        if zone is None:
            continue
        changed = position._replace(
            revision=parse_revision(item.get("revision", position.revision))
        )
        evacuations[zone] = ZoneEvacuation(zone, not item.get("deleted"), changed)
    return tuple(evacuations.values())


def decode_evacuated_zone(key: str) -> str | None:
    """Return the zone whose evacuation a key requests, None for any other key."""
    zone = key.removeprefix(EVACUATION_PREFIX)
    if zone == key or not 0 < len(zone.encode()) <= MAX_ZONE_NAME_BYTES:
        return None
    return zone
