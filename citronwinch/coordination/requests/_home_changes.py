"""When the home of a flow has moved, because of an edit of the table."""

from collections.abc import Sequence

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock
from citronwinch.coordination._placement import find_home
from citronwinch.coordination._table import TableRow
from citronwinch.coordination.requests._metadata import (
    PACKET_LIFETIME_MS,
    REQUEST_TIMEOUT_LIMIT_MS,
)

CHANGES_LIMIT = 16
"""The most changes of a service that are remembered."""


class HomeChanges:
    """Remembers the rows that a service had a short while ago.

    A former home may have refused a request for good. Its tombstone does not move
    with the flow, so that the new home must not run what may be older than the move.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.rows: tuple[TableRow, ...] = ()
        self.changes: list[tuple[int, tuple[TableRow, ...]]] = []

    def update_rows(self, rows: Sequence[TableRow]) -> None:
        """Take the rows of the service from now on."""
        former, self.rows = self.rows, tuple(rows)
        if former and weight_by_backend_server(former) != weight_by_backend_server(
            rows
        ):
            self.changes = self.changes[-CHANGES_LIMIT + 1 :]
            self.changes.append((self.clock.now_ms(), former))

    def find_last_move_ms(self, flow: FlowKey) -> int | None:
        """Return when the home of a flow moved last, None when it did not lately."""
        now_ms = self.clock.now_ms()
        home = find_home(flow, self.rows) if self.changes else None
        for changed_ms, former in reversed(self.changes):
            if now_ms - changed_ms > PACKET_LIFETIME_MS + REQUEST_TIMEOUT_LIMIT_MS:
                return None
            if find_home(flow, former) != home:
                return changed_ms
        return None


def weight_by_backend_server(rows: Sequence[TableRow]) -> dict[str, int]:
    """Return what places flows: the backend servers with their weights."""
    return {row.backend_server: row.weight for row in rows}
