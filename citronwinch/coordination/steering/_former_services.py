"""Remembers services removed from the table, for their established flows."""

from collections import OrderedDict
from typing import NamedTuple

from citronwinch.coordination._address import FlowKey, extract_service_endpoint
from citronwinch.coordination._clock import Clock
from citronwinch.coordination._table import Table, TableRow

FORMER_SERVICE_MS = 24 * 3_600_000
"""How long a service is kept after its removal from the table, in milliseconds."""

FORMER_SERVICES_LIMIT = 1_024
"""The most former services that are kept; the oldest is evicted first."""


class FormerService(NamedTuple):
    """A service that was removed from the table."""

    name: str
    """The service's name."""

    rows: tuple[TableRow, ...]
    """Its rows in the last table that had it."""

    removed_ms: int
    """When it was removed from the table, by this process's clock, in milliseconds."""


class FormerServices:
    """Finds the service and the rows of flows whose service has left the table.

    Established flows outlive the removal of their service: their packets still go to
    the agents of its last rows, which deliver them but open no new flows.

    Services that were removed before `complete_since_ms` may be missing: this process
    had no table yet, or there was no room.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.complete_since_ms = clock.now_ms()
        self.by_endpoint: OrderedDict[bytes, FormerService] = OrderedDict()

    def update(self, old: Table, new: Table) -> None:
        """Record the services that a newer table lacks, and drop those that it has."""
        now_ms = self.clock.now_ms()
        if not old.revision:
            self.complete_since_ms = now_ms
        for endpoint, name in old.service_by_endpoint.items():
            rows = old.rows_by_service[name]
            if endpoint not in new.service_by_endpoint:
                self.by_endpoint[endpoint] = FormerService(name, rows, now_ms)
        for endpoint in new.service_by_endpoint:
            self.by_endpoint.pop(endpoint, None)
        while len(self.by_endpoint) > FORMER_SERVICES_LIMIT:
            _, evicted = self.by_endpoint.popitem(last=False)
            self.complete_since_ms = max(self.complete_since_ms, evicted.removed_ms)

    def is_complete(self) -> bool:
        """Return whether all services are known that are kept after their removal."""
        return self.clock.now_ms() - self.complete_since_ms >= FORMER_SERVICE_MS

    def find(self, flow: FlowKey) -> FormerService | None:
        """Return the former service of a flow, None when none is known."""
        former = self.by_endpoint.get(extract_service_endpoint(flow))
        if former is None:
            return None
        if self.clock.now_ms() - former.removed_ms >= FORMER_SERVICE_MS:
            return None
        return former
