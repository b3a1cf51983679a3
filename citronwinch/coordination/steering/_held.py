"""Holds packets until the owner of their flow is known."""

from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.steering._messages import Forward

HELD_FLOWS_LIMIT = 2_048
"""The most flows with held packets."""

HELD_PACKETS_PER_FLOW = 16
"""The most held packets of one flow."""

HELD_BYTES_LIMIT = 4_194_304
"""The most bytes of held packets."""

HELD_MS = 800
"""How long a flow's packets are held, in milliseconds."""

QUERY_RETRY_MS = 150
"""How soon unanswered queries are repeated, in milliseconds."""


class HeldFlow:
    """The held packets of one flow, and the members that answered its queries.

    `revision` is the table revision that the answers are for. `is_search` tells that
    the queries ask for the owner in place of an unreachable or outdated home.
    """

    def __init__(self, service: str, revision: int, deadline_ms: int) -> None:
        self.service = service
        self.revision = revision
        self.deadline_ms = deadline_ms
        self.messages: list[Forward] = []
        self.answered: set[str] = set()
        self.queried_ms: int | None = None
        self.is_search = False


class HeldCount(NamedTuple):
    """The number and size of held packets."""

    flows: int
    """The number of flows with held packets."""

    size_bytes: int
    """The size of their packets, in bytes."""


class HeldPackets:
    """A bounded buffer for packets; the calling code refuses those that do not fit."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.flows: dict[FlowKey, HeldFlow] = {}
        self.size_bytes = 0

    @property
    def count(self) -> HeldCount:
        """The number of flows with held packets, and the size of those packets."""
        return HeldCount(len(self.flows), self.size_bytes)

    def hold(self, message: Forward, revision: int) -> HeldFlow | None:
        """Hold a packet; return its flow's entry, None when the buffer is full."""
        flow = self.flows.get(message.flow)
        size = len(message.packet)
        if self.size_bytes + size > HELD_BYTES_LIMIT:
            return None
        if flow is None:
            if len(self.flows) >= HELD_FLOWS_LIMIT:
                return None
            deadline_ms = self.clock.now_ms() + HELD_MS
            flow = HeldFlow(message.service, revision, deadline_ms)
            self.flows[message.flow] = flow
        if len(flow.messages) >= HELD_PACKETS_PER_FLOW:
            return None
        flow.messages.append(message)
        self.size_bytes += size
        return flow

    def release(self, flow: FlowKey) -> list[Forward]:
        """Remove the packets of a flow and return them."""
        held = self.flows.pop(flow, None)
        if held is None:
            return []
        self.size_bytes -= sum(len(message.packet) for message in held.messages)
        return held.messages

    def list_expired(self) -> list[FlowKey]:
        """Return the flows whose packets have been held past their deadline."""
        now_ms = self.clock.now_ms()
        return [flow for flow, held in self.flows.items() if now_ms >= held.deadline_ms]
