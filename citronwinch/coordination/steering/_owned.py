"""The flows that an agent owns."""

from collections import Counter
from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock

CLOSING_IDLE_MS = 10_000
"""How long a flow is kept after its last packet once an end was seen."""

TOMBSTONE_MS = 30_000
"""How long a closed decision is remembered, in milliseconds."""

TOMBSTONE_LIMIT = 65_536
"""The most closed decisions that are remembered."""


class OwnedFlow(NamedTuple):
    """What the agent keeps of a flow that it owns."""

    service: str
    """The service under which the flow was opened."""

    last_seen_ms: int
    """When its last packet was seen."""

    decision: int = 0
    """The decision that made this agent owner; 0 for its own."""

    is_closing: bool = False
    """Whether a FIN or RST was seen."""

    opened_ms: int = 0
    """When this agent began to own it."""


class Tombstone(NamedTuple):
    """A decision that must not open its flow again."""

    decision: int
    """The number of the decision."""

    expires_ms: int
    """When it may be forgotten."""


class OwnedFlows:
    """The owned flows, and the decisions that are closed."""

    def __init__(self, clock: Clock, owner: str, first_decision: int) -> None:
        self.clock = clock
        self.owner = owner
        self.owned: dict[FlowKey, OwnedFlow] = {}
        self.flow_counts: Counter[str] = Counter()
        self.tombstones: dict[FlowKey, Tombstone] = {}
        self.last_decision = first_decision

    def has_flows(self, service: str) -> bool:
        """Return whether there are flows of a service."""
        return self.flow_counts[service] > 0

    def next_decision(self) -> int:
        """Return the number of a new decision, higher than all before."""
        self.last_decision += 1
        return self.last_decision

    def open(self, flow: FlowKey, service: str, decision: int = 0) -> None:
        """Own a flow from now on."""
        now_ms = self.clock.now_ms()
        self.owned[flow] = OwnedFlow(service, now_ms, decision, opened_ms=now_ms)
        self.flow_counts[service] += 1

    def record_packet(self, flow: FlowKey, owned: OwnedFlow, *, ends: bool) -> None:
        """Note a packet of an owned flow."""
        is_closing = owned.is_closing or ends
        self.owned[flow] = owned._replace(
            last_seen_ms=self.clock.now_ms(), is_closing=is_closing
        )

    def end(self, flow: FlowKey) -> OwnedFlow | None:
        """Own a flow no longer, and return what was kept of it."""
        owned = self.owned.pop(flow, None)
        if owned is None:
            return None
        self.flow_counts[owned.service] -= 1
        if owned.decision:
            self.close_decision(flow, owned.decision)
        return owned

    def close_decision(self, flow: FlowKey, decision: int) -> None:
        """Remember that a decision must not open its flow any more."""
        expires_ms = self.clock.now_ms() + TOMBSTONE_MS
        self.tombstones.pop(flow, None)
        self.tombstones[flow] = Tombstone(decision, expires_ms)

    def is_decision_closed(self, flow: FlowKey, decision: int) -> bool:
        """Return whether a decision is closed, or cannot be told from closed ones."""
        tombstone = self.tombstones.get(flow)
        if tombstone is not None:
            return decision <= tombstone.decision
        return len(self.tombstones) >= TOMBSTONE_LIMIT

    def expire(self) -> None:
        """Forget old closed decisions, the oldest first."""
        now_ms = self.clock.now_ms()
        for flow in list(self.tombstones):
            if self.tombstones[flow].expires_ms > now_ms:
                break
            del self.tombstones[flow]

    def find_idle(self, idle_ms: int) -> list[FlowKey]:
        """Return the flows without packets for a time; less once an end was seen."""
        now_ms = self.clock.now_ms()
        return [
            flow
            for flow, owned in self.owned.items()
            if now_ms - owned.last_seen_ms
            > (min(idle_ms, CLOSING_IDLE_MS) if owned.is_closing else idle_ms)
        ]
