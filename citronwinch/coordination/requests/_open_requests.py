"""The requests in progress at an agent."""

import heapq
from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination.requests._actions import RequestArrival
from citronwinch.coordination.requests._records import RequestKey

RETRY_PAYLOADS_LIMIT_BYTES = 4 << 20
"""The maximum memory of the payloads that are stored for retries, in bytes."""


class OpenRequest(NamedTuple):
    """A request in progress."""

    arrival: RequestArrival
    """The packet of the request; its payload is empty when no retry is possible."""

    is_guest: bool
    """Whether another agent owns the flow."""


class OpenRequests:
    """Requests in progress, by key and by flow, with their deadlines."""

    def __init__(self, limit_bytes: int = RETRY_PAYLOADS_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.request_by_key: dict[RequestKey, OpenRequest] = {}
        self.keys_by_flow: dict[FlowKey, set[RequestKey]] = {}
        self.deadlines: list[tuple[int, RequestKey]] = []
        self.payload_bytes = 0
        self.guest_count = 0

    def __len__(self) -> int:
        return len(self.request_by_key)

    def find(self, key: RequestKey) -> OpenRequest | None:
        """Return a request in progress, None when there is none."""
        return self.request_by_key.get(key)

    def find_by_flow(self, flow: FlowKey) -> list[RequestKey]:
        """Return the keys of a flow's requests in progress, in a fixed order."""
        return sorted(self.keys_by_flow.get(flow, ()))

    def add(self, arrival: RequestArrival, is_guest: bool) -> None:
        """Add a request; its payload is stored if it is repeatable and fits."""
        fits = self.payload_bytes + len(arrival.payload) <= self.limit_bytes
        if not (arrival.request.repeatable and fits):
            arrival = arrival._replace(payload=b"")
        self.payload_bytes += len(arrival.payload)
        self.guest_count += is_guest
        self.request_by_key[arrival.key] = OpenRequest(arrival, is_guest)
        self.keys_by_flow.setdefault(arrival.flow, set()).add(arrival.key)

    def add_deadline(self, key: RequestKey, deadline_ms: int) -> None:
        """Add the deadline of a request, for `pop_due` to return."""
        heapq.heappush(self.deadlines, (deadline_ms, key))

    def pop_due(self, now_ms: int) -> list[RequestKey]:
        """Remove the deadlines that have passed and return their requests."""
        due = []
        while self.deadlines and self.deadlines[0][0] <= now_ms:
            due.append(heapq.heappop(self.deadlines)[1])
        return due

    def remove(self, key: RequestKey) -> bool:
        """Remove a request; return whether it was the last of a guest flow."""
        request = self.request_by_key.pop(key, None)
        if request is None:
            return False
        self.payload_bytes -= len(request.arrival.payload)
        self.guest_count -= request.is_guest
        remaining_keys = self.keys_by_flow[key.flow]
        remaining_keys.discard(key)
        if remaining_keys:
            return False
        del self.keys_by_flow[key.flow]
        return request.is_guest
