"""The duplicate window: records of the requests that an agent has decided about."""

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
"""The maximum memory of all records, in bytes."""

TOMBSTONE_RESERVE = 0.25
"""The share of the window that is reserved for tombstones."""


class RequestWindow:
    """Stores a record of each request until no copy of the request can arrive.

    No record is evicted early: a full window accepts no new record, and the agent
    refuses the request. A quarter of the window is reserved for tombstones, so that
    an agent without room for new requests can still report truthfully that a refused
    request was not run.

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
        """The memory that the records take, in bytes."""
        return len(self.records) * RECORD_BYTES

    def find(self, key: RequestKey) -> RequestRecord | None:
        """Return the record of a request, None when there is none."""
        return self.records.get(key)

    def has_room(self, state: RequestState) -> bool:
        """Return whether there is room for a new record in a state."""
        usable_bytes = self.limit_bytes
        if state is not RequestState.REFUSED:
            usable_bytes -= int(usable_bytes * TOMBSTONE_RESERVE)
        return self.used_bytes + RECORD_BYTES <= usable_bytes

    def add(self, key: RequestKey, record: RequestRecord) -> bool:
        """Store the record of a new request; return False when it does not fit.

        An existing record is not replaced, and False is returned as well.
        """
        if key in self.records or not self.has_room(record.state):
            return False
        self.records[key] = record
        heapq.heappush(self.expiries, (record.expires_ms, key))
        return True

    def set_state(self, key: RequestKey, state: RequestState) -> None:
        """Set the state of a stored record."""
        self.records[key] = self.records[key]._replace(state=state)

    def record_age(self, key: RequestKey, age_ms: int) -> bool:
        """Store the highest age of a request's copies; return whether it has risen.

        A higher age means that the caller retransmitted the request; the network
        duplicates a packet with its age.
        """
        record = self.records[key]
        if age_ms <= record.age_ms:
            return False
        self.records[key] = record._replace(age_ms=age_ms)
        return True

    def expire(self, arrived_ms: int) -> list[RequestKey]:
        """Remove the records whose requests have no copies under way; return the keys.

        `arrived_ms` is a lower bound for all packets that are not handled yet: the
        earliest time at which one of them may have arrived. After a pause of the
        process it lies before the pause, so that the record of a copy that waited in
        the socket buffer is still there.
        """
        self.expired_until_ms = max(self.expired_until_ms, arrived_ms)
        expired = []
        while self.expiries and self.expiries[0][0] < arrived_ms:
            _, key = heapq.heappop(self.expiries)
            del self.records[key]
            expired.append(key)
        return expired

    def export_records(self, flow: FlowKey | None = None) -> list[ExportedRecord]:
        """Return the records of a flow, or of all flows, for another process."""
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

    def import_records(self, exported_records: Iterable[ExportedRecord]) -> bool:
        """Add records of another process; return False when some did not fit."""
        now_ms = self.clock.now_ms()
        is_complete = True
        for exported_record in exported_records:
            record = RequestRecord(
                exported_record.state,
                now_ms + exported_record.remaining_ms,
                now_ms + exported_record.keep_ms,
                exported_record.repeatable,
            )
            if exported_record.key not in self.records:
                is_complete = self.add(exported_record.key, record) and is_complete
        return is_complete
