"""The latest listings of a balancer, from which it makes differences for others."""

from collections import OrderedDict
from collections.abc import Mapping
from typing import NamedTuple

from citronwinch.coordination.flows._deployment import BackendServer

LISTINGS_LIMIT = 12
"""The most listings that are kept; a balancer that is further behind gets the whole
listing. Listings change about once a second while servers are replaced."""


class ListingDifference(NamedTuple):
    """What turns one listing into another."""

    changed: dict[str, BackendServer]
    """The entries that were added or changed, by name."""

    removed: tuple[str, ...]
    """The names of the entries that were removed."""


def apply_difference(
    servers: Mapping[str, BackendServer], difference: ListingDifference
) -> dict[str, BackendServer]:
    """Return the entries of a listing after a difference."""
    remaining = {k: v for k, v in servers.items() if k not in difference.removed}
    return remaining | difference.changed


class ListingHistory:
    """The latest listings by digest.

    Example::

        >>> history = ListingHistory()
        >>> history.record(7, {})
        >>> history.make_difference(7, {})
        ListingDifference(changed={}, removed=())
        >>> history.make_difference(8, {}) is None
        True
    """

    def __init__(self) -> None:
        self.listings: OrderedDict[int, Mapping[str, BackendServer]] = OrderedDict()

    def record(self, digest: int, servers: Mapping[str, BackendServer]) -> None:
        """Keep a listing; discard the oldest beyond the limit."""
        self.listings[digest] = servers
        self.listings.move_to_end(digest)
        while len(self.listings) > LISTINGS_LIMIT:
            self.listings.popitem(last=False)

    def make_difference(
        self, digest: int, servers: Mapping[str, BackendServer]
    ) -> ListingDifference | None:
        """Return what turns the listing with a digest into the given one.

        None if no such listing is kept.
        """
        base = self.listings.get(digest)
        if base is None:
            return None
        changed = {
            name: server for name, server in servers.items() if base.get(name) != server
        }
        return ListingDifference(changed, tuple(sorted(base.keys() - servers.keys())))
