"""Moves of a flow's home after edits of the table."""

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
"""The maximum number of stored changes of a service's rows."""


class HomeChanges:
    """Stores the recent rows of a service, to find when a flow's home last moved.

    The previous home may have refused a request. Its tombstone does not move with the
    flow, so that the new home must not run requests that may be older than the move.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.rows: tuple[TableRow, ...] = ()
        self.changes: list[tuple[int, tuple[TableRow, ...]]] = []

    def update_rows(self, rows: Sequence[TableRow]) -> None:
        """Set the current rows of the service."""
        previous_rows, self.rows = self.rows, tuple(rows)
        if previous_rows and collect_weights(previous_rows) != collect_weights(rows):
            self.changes = self.changes[-CHANGES_LIMIT + 1 :]
            self.changes.append((self.clock.now_ms(), previous_rows))

    def find_last_move_ms(self, flow: FlowKey) -> int | None:
        """Return when the home of a flow last moved; None without a recent move.

        A move is recent as long as copies of requests sent before it can arrive.
        """
        now_ms = self.clock.now_ms()
        home = find_home(flow, self.rows) if self.changes else None
        for changed_ms, previous_rows in reversed(self.changes):
            if now_ms - changed_ms > PACKET_LIFETIME_MS + REQUEST_TIMEOUT_LIMIT_MS:
                return None
            if find_home(flow, previous_rows) != home:
                return changed_ms
        return None


def collect_weights(rows: Sequence[TableRow]) -> dict[str, int]:
    """Return the weights of the backend servers, which determine a flow's home."""
    return {row.backend_server: row.weight for row in rows}
