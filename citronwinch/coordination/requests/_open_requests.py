"""The requests that are in progress at an agent."""

import heapq
from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination.requests._actions import RequestArrival
from citronwinch.coordination.requests._records import RequestKey

RETRY_PAYLOADS_LIMIT_BYTES = 4 << 20
"""The memory that requests kept for a retry may take, in bytes."""


class OpenRequest(NamedTuple):
    """What is needed while a request is in progress."""

    arrival: RequestArrival
    """The request; its payload is empty when no retry is possible."""

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
        """Return a request in progress."""
        return self.request_by_key.get(key)

    def find_by_flow(self, flow: FlowKey) -> list[RequestKey]:
        """Return the requests in progress of a flow, in a fixed order."""
        return sorted(self.keys_by_flow.get(flow, ()))

    def add(self, arrival: RequestArrival, is_guest: bool) -> None:
        """Note a request that begins; its payload is kept if it may be retried."""
        fits = self.payload_bytes + len(arrival.payload) <= self.limit_bytes
        if not (arrival.request.repeatable and fits):
            arrival = arrival._replace(payload=b"")
        self.payload_bytes += len(arrival.payload)
        self.guest_count += is_guest
        self.request_by_key[arrival.key] = OpenRequest(arrival, is_guest)
        self.keys_by_flow.setdefault(arrival.flow, set()).add(arrival.key)

    def add_deadline(self, key: RequestKey, deadline_ms: int) -> None:
        """Have `due_deadlines` return the request at its deadline."""
        heapq.heappush(self.deadlines, (deadline_ms, key))

    def pop_due(self, now_ms: int) -> list[RequestKey]:
        """Return the requests whose deadline has come, each once."""
        due = []
        while self.deadlines and self.deadlines[0][0] <= now_ms:
            due.append(heapq.heappop(self.deadlines)[1])
        return due

    def remove(self, key: RequestKey) -> bool:
        """Forget a request; return whether it was the last guest of its flow."""
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
