"""Tracks which agents a balancer can reach."""

from citronwinch.coordination._clock import Clock

PROBE_AFTER_MS = 1_000
"""The least time without a message from an agent before a probe, in milliseconds."""

PROBE_AFTER_MS_PER_BALANCER = 500
"""The time before a probe per balancer, in milliseconds; the longer time applies.

It bounds the rate of probes at an agent, however many balancers there are.
"""

PROBE_TIMEOUT_MS = 200
"""How long to wait for the answer to a probe, in milliseconds."""

UNANSWERED_PROBES_LIMIT = 3
"""The number of unanswered probes after which an agent counts as unreachable."""

PROBES_PER_TICK = 20
"""The most probes that are sent in one tick, to bound their rate."""


class AgentContact:
    """The messages and probes between a balancer and one agent.

    `has_sent_since` tells whether anything was sent after the agent's last message.
    """

    def __init__(self) -> None:
        self.has_sent_since = False
        self.last_received_ms = 0
        self.last_probed_ms = 0
        self.unanswered_probes = 0


class AgentReachability:
    """Probes agents that have sent nothing since a message was sent to them.

    After several unanswered probes an agent counts as unreachable. It is still
    probed, and its next message makes it reachable again.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.contacts: dict[str, AgentContact] = {}
        self.unreachable: set[str] = set()
        self.balancer_count = 1

    @property
    def probe_after_ms(self) -> int:
        """The time without a message from an agent before it is probed."""
        return max(PROBE_AFTER_MS, PROBE_AFTER_MS_PER_BALANCER * self.balancer_count)

    def mark_unreachable(self, agent: str) -> None:
        """Count an agent as unreachable and probe it at the next tick.

        Another agent of its service has reported that it does not answer.
        """
        contact = self.contacts.setdefault(agent, AgentContact())
        contact.unanswered_probes = UNANSWERED_PROBES_LIMIT + 1
        contact.last_probed_ms = self.clock.now_ms() - self.probe_after_ms
        self.unreachable.add(agent)

    def record_sent(self, agent: str) -> None:
        """Record that a message was sent to an agent."""
        contact = self.contacts.get(agent)
        if contact is None:
            contact = self.contacts[agent] = AgentContact()
            contact.last_received_ms = self.clock.now_ms()
        contact.has_sent_since = True

    def record_received(self, agent: str) -> None:
        """Record that a message from an agent arrived."""
        contact = self.contacts.get(agent)
        if contact is None:
            return
        contact.last_received_ms = self.clock.now_ms()
        contact.has_sent_since = False
        contact.unanswered_probes = 0
        self.unreachable.discard(agent)

    def due_probes(self) -> list[str]:
        """Return the agents to probe now; update the reachability of these agents."""
        now_ms = self.clock.now_ms()
        due: list[str] = []
        for agent, contact in self.contacts.items():
            if len(due) >= PROBES_PER_TICK:
                break
            if self.is_due(contact, now_ms):
                self.update_reachability(agent, contact)
                contact.last_probed_ms = now_ms
                contact.unanswered_probes += 1
                due.append(agent)
        return due

    def is_due(self, contact: AgentContact, now_ms: int) -> bool:
        """Return whether an agent should be probed now."""
        if contact.unanswered_probes:
            limit_ms = (
                self.probe_after_ms
                if contact.unanswered_probes > UNANSWERED_PROBES_LIMIT
                else PROBE_TIMEOUT_MS
            )
            return now_ms - contact.last_probed_ms >= limit_ms
        is_quiet = now_ms - contact.last_received_ms >= self.probe_after_ms
        return contact.has_sent_since and is_quiet

    def update_reachability(self, agent: str, contact: AgentContact) -> None:
        """Count an agent as unreachable when too many probes are unanswered."""
        if contact.unanswered_probes >= UNANSWERED_PROBES_LIMIT:
            self.unreachable.add(agent)
