"""The evacuations of availability zones that the operators have requested."""

from typing import NamedTuple

from citronwinch.coordination.flows._store_position import StorePosition


class ZoneEvacuation(NamedTuple):
    """Whether the operators want new flows kept away from a zone's backend servers."""

    zone: str
    """The name of the availability zone."""

    is_active: bool
    """Whether the evacuation is requested; False after its removal."""

    position: StorePosition
    """The store's position at which the request or its removal was read."""
