"""The duplicate window: the requests that an agent has decided about."""

import heapq
from collections.abc import Iterable

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.requests._records import (
    RECORD_BYTES,
    ExportedRecord,
    RequestKey,
    RequestRecord,
    RequestState,
)

WINDOW_LIMIT_BYTES = 12 << 20
"""The memory that all records may take, in bytes."""

TOMBSTONE_RESERVE = 0.25
"""The share of the window into which only tombstones go."""


class RequestWindow:
    """Remembers each request until no copy of it can arrive any more.

    A record is never dropped early: when the window is full it takes no new record,
    and the agent refuses the request. The last quarter is for tombstones alone, so
    that an agent whose window is full for new work can still refuse truthfully.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> window = RequestWindow(ManualClock(), limit_bytes=RECORD_BYTES)
        >>> key = RequestKey(FlowKey(bytes(13)), bytes(16))
        >>> window.add(key, RequestRecord(RequestState.REFUSED, 100, 5_100))
        True
        >>> len(window.expire(5_100)), len(window.expire(5_101))
        (0, 1)
    """

    def __init__(self, clock: Clock, limit_bytes: int = WINDOW_LIMIT_BYTES) -> None:
        self.clock = clock
        self.limit_bytes = limit_bytes
        self.records: dict[RequestKey, RequestRecord] = {}
        self.expiries: list[tuple[int, RequestKey]] = []
        self.expired_until_ms = clock.now_ms()

    @property
    def used_bytes(self) -> int:
        """The memory that the records take."""
        return len(self.records) * RECORD_BYTES

    def find(self, key: RequestKey) -> RequestRecord | None:
        """Return what is known of a request, None when it is new."""
        return self.records.get(key)

    def has_room(self, state: RequestState) -> bool:
        """Whether a new record in this state fits."""
        limit = self.limit_bytes
        if state is not RequestState.REFUSED:
            limit -= int(limit * TOMBSTONE_RESERVE)
        return self.used_bytes + RECORD_BYTES <= limit

    def add(self, key: RequestKey, record: RequestRecord) -> bool:
        """Remember a new request; return False when the window is full."""
        if key in self.records or not self.has_room(record.state):
            return False
        self.records[key] = record
        heapq.heappush(self.expiries, (record.expires_ms, key))
        return True

    def set_state(self, key: RequestKey, state: RequestState) -> None:
        """Set how far a known request has come."""
        self.records[key] = self.records[key]._replace(state=state)

    def record_age(self, key: RequestKey, age_ms: int) -> bool:
        """Note the age of a copy; return whether the caller sent it anew."""
        record = self.records[key]
        if age_ms <= record.age_ms:
            return False
        self.records[key] = record._replace(age_ms=age_ms)
        return True

    def expire(self, arrived_ms: int) -> list[RequestKey]:
        """Drop the records of which no copy can arrive any more; return their keys.

        `arrived_ms` is the earliest time at which a packet that is still to be
        handled may have arrived. After a pause that is before the pause, so that a
        copy which waited in the socket buffer still meets its record.
        """
        self.expired_until_ms = max(self.expired_until_ms, arrived_ms)
        expired = []
        while self.expiries and self.expiries[0][0] < arrived_ms:
            _, key = heapq.heappop(self.expiries)
            del self.records[key]
            expired.append(key)
        return expired

    def export_records(self, flow: FlowKey | None = None) -> list[ExportedRecord]:
        """Return the records of a flow, or all, for another process."""
        now_ms = self.clock.now_ms()
        return [
            ExportedRecord(
                key,
                record.state,
                max(0, record.deadline_ms - now_ms),
                max(0, record.expires_ms - now_ms),
                record.repeatable,
            )
            for key, record in self.records.items()
            if flow is None or key.flow == flow
        ]

    def import_records(self, exported: Iterable[ExportedRecord]) -> bool:
        """Take over records; return False when one did not fit."""
        now_ms = self.clock.now_ms()
        is_complete = True
        for item in exported:
            record = RequestRecord(
                item.state,
                now_ms + item.remaining_ms,
                now_ms + item.keep_ms,
                item.repeatable,
            )
            if item.key not in self.records:
                is_complete = self.add(item.key, record) and is_complete
        return is_complete
