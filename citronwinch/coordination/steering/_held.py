"""Packets that wait until it is known who owns their flow."""

from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.steering._messages import Forward

HELD_FLOWS_LIMIT = 2_048
"""The most flows whose packets wait."""

HELD_PACKETS_PER_FLOW = 16
"""The most packets of one flow that wait."""

HELD_BYTES_LIMIT = 4_194_304
"""The most bytes of packets that wait."""

HELD_MS = 800
"""How long a packet waits, in milliseconds."""

QUERY_RETRY_MS = 150
"""How soon an unanswered query is sent again, in milliseconds."""


class HeldFlow:
    """The waiting packets of one flow and who has answered for it."""

    def __init__(self, service: str, revision: int, deadline_ms: int) -> None:
        self.service = service
        self.revision = revision
        self.deadline_ms = deadline_ms
        self.messages: list[Forward] = []
        self.answered: set[str] = set()
        self.queried_ms: int | None = None
        self.is_search = False


class HeldCount(NamedTuple):
    """How much waits."""

    flows: int
    """The flows."""

    size_bytes: int
    """The bytes of their packets."""


class HeldPackets:
    """A bounded buffer; what does not fit is refused by the caller."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.flows: dict[FlowKey, HeldFlow] = {}
        self.size_bytes = 0

    @property
    def count(self) -> HeldCount:
        """How much waits now."""
        return HeldCount(len(self.flows), self.size_bytes)

    def hold(self, message: Forward, revision: int) -> HeldFlow | None:
        """Keep a packet and return what is known of its flow, None when full."""
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
        """Return the packets of a flow and keep them no longer."""
        held = self.flows.pop(flow, None)
        if held is None:
            return []
        self.size_bytes -= sum(len(message.packet) for message in held.messages)
        return held.messages

    def expired(self) -> list[FlowKey]:
        """Return the flows whose packets have waited too long."""
        now_ms = self.clock.now_ms()
        return [flow for flow, held in self.flows.items() if now_ms >= held.deadline_ms]
