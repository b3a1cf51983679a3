"""Stores the flows that an agent owns, and tombstones of closed decisions."""

from collections import Counter
from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock

CLOSING_IDLE_MS = 10_000
"""The idle timeout of a flow after a FIN or RST, in milliseconds."""

TOMBSTONE_MS = 30_000
"""How long the tombstone of a closed decision is kept, in milliseconds."""

TOMBSTONE_LIMIT = 65_536
"""The most tombstones that are kept."""


class OwnedFlow(NamedTuple):
    """The state of a flow that the agent owns."""

    service: str
    """The service under which the flow was opened."""

    last_seen_ms: int
    """When its last packet arrived, in milliseconds."""

    decision_number: int = 0
    """The number of the decision by which the flow's home assigned it to this agent.

    It is 0 when this agent was the home and decided itself.
    """

    is_closing: bool = False
    """Whether a FIN or RST has arrived."""

    opened_ms: int = 0
    """When this agent became its owner, in milliseconds."""


class Tombstone(NamedTuple):
    """A decision that must not open its flow again."""

    decision_number: int
    """The number of the decision."""

    expires_ms: int
    """When the tombstone expires, in milliseconds."""


class OwnedFlows:
    """The owned flows by key, and the tombstones of closed decisions."""

    def __init__(self, clock: Clock, owner: str, initial_decision_number: int) -> None:
        self.clock = clock
        self.owner = owner
        self.owned: dict[FlowKey, OwnedFlow] = {}
        self.flow_counts: Counter[str] = Counter()
        self.tombstones: dict[FlowKey, Tombstone] = {}
        self.last_decision_number = initial_decision_number

    def has_flows(self, service: str) -> bool:
        """Return whether any owned flow belongs to a service."""
        return self.flow_counts[service] > 0

    def next_decision_number(self) -> int:
        """Return the number of a new decision, higher than all before."""
        self.last_decision_number += 1
        return self.last_decision_number

    def open(self, flow: FlowKey, service: str, decision_number: int = 0) -> None:
        """Add a flow."""
        now_ms = self.clock.now_ms()
        self.owned[flow] = OwnedFlow(service, now_ms, decision_number, opened_ms=now_ms)
        self.flow_counts[service] += 1

    def record_packet(self, flow: FlowKey, owned: OwnedFlow, *, ends: bool) -> None:
        """Record that a packet of an owned flow has arrived."""
        is_closing = owned.is_closing or ends
        self.owned[flow] = owned._replace(
            last_seen_ms=self.clock.now_ms(), is_closing=is_closing
        )

    def end(self, flow: FlowKey) -> OwnedFlow | None:
        """Remove a flow and return its state, None when it is not owned."""
        owned = self.owned.pop(flow, None)
        if owned is None:
            return None
        self.flow_counts[owned.service] -= 1
        if owned.decision_number:
            self.close_decision(flow, owned.decision_number)
        return owned

    def close_decision(self, flow: FlowKey, decision_number: int) -> None:
        """Store a tombstone, so that a decision cannot open its flow any more."""
        expires_ms = self.clock.now_ms() + TOMBSTONE_MS
        self.tombstones.pop(flow, None)
        self.tombstones[flow] = Tombstone(decision_number, expires_ms)

    def is_decision_closed(self, flow: FlowKey, decision_number: int) -> bool:
        """Return whether a decision is closed, and cannot open its flow any more.

        When all tombstones are in use, an unknown decision counts as closed.
        """
        tombstone = self.tombstones.get(flow)
        if tombstone is not None:
            return decision_number <= tombstone.decision_number
        return len(self.tombstones) >= TOMBSTONE_LIMIT

    def expire(self) -> None:
        """Remove expired tombstones, the oldest first."""
        now_ms = self.clock.now_ms()
        for flow in list(self.tombstones):
            if self.tombstones[flow].expires_ms > now_ms:
                break
            del self.tombstones[flow]

    def list_idle(self, idle_ms: int) -> list[FlowKey]:
        """Return the flows without a packet for `idle_ms`.

        After a FIN or RST the timeout is `CLOSING_IDLE_MS` when that is shorter.
        """
        now_ms = self.clock.now_ms()
        return [
            flow
            for flow, owned in self.owned.items()
            if now_ms - owned.last_seen_ms
            > (min(idle_ms, CLOSING_IDLE_MS) if owned.is_closing else idle_ms)
        ]
