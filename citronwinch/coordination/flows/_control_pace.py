"""Paces control messages, so that their rate does not grow with the fleet."""

import zlib
from collections.abc import Iterable

from citronwinch.coordination._clock import Clock

BALANCER_HEARTBEAT_MS = 1_000
"""The shortest interval of heartbeats to another balancer, in milliseconds."""

BALANCER_HEARTBEATS_PER_S = 5
"""The most heartbeats to other balancers per second, announcements excluded."""

AGENT_HEARTBEAT_MS = 300
"""The shortest interval of heartbeats to an agent of the own zone, in milliseconds."""

AGENT_HEARTBEATS_PER_S = 12
"""The most heartbeats per second to agents of the own zone."""

REMOTE_AGENT_HEARTBEAT_MS = 2_000
"""The shortest interval of heartbeats to an agent of another zone, in milliseconds;
traffic between zones is expensive."""

REMOTE_AGENT_HEARTBEATS_PER_S = 5
"""The most heartbeats per second to agents of other zones."""


def compute_interval_ms(shortest_ms: int, receivers: int, messages_per_s: int) -> int:
    """Return the interval of messages to each of several receivers, in milliseconds.

    Example::

        >>> compute_interval_ms(300, receivers=3, messages_per_s=12)
        300
        >>> compute_interval_ms(300, receivers=24, messages_per_s=12)
        2000
    """
    return max(shortest_ms, receivers * 1_000 // messages_per_s)


def compute_former_interval_ms(former_servers: int) -> int:
    """Return the interval of heartbeats to the agent of each former server, in ms."""
    return compute_interval_ms(
        AGENT_HEARTBEAT_MS, former_servers, AGENT_HEARTBEATS_PER_S
    )


class MessagePace:
    """Tells to which receivers a regular message is due.

    A new receiver is due at once. From then on its messages are due at its own offset
    within the interval, so that the messages of a process are spread over time.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> clock = ManualClock(10_000)
        >>> pace = MessagePace(clock)
        >>> pace.list_due(["10.0.0.1"], 300), pace.list_due(["10.0.0.1"], 300)
        (['10.0.0.1'], [])
        >>> clock.advance(300)
        >>> pace.list_due(["10.0.0.1"], 300)
        ['10.0.0.1']
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.due_ms: dict[str, int] = {}
        """When the next message of each receiver is due."""

    def list_due(self, receivers: Iterable[str], interval_ms: int) -> list[str]:
        """Return the receivers that get a message now, and record that as sent.

        After the interval has become shorter, receivers whose message would be due too
        late by it get one now.
        """
        now_ms, due_ms = self.clock.now_ms(), self.due_ms
        latest_ms = now_ms + interval_ms
        due = [
            ip for ip in receivers if not now_ms < due_ms.get(ip, now_ms) <= latest_ms
        ]
        self.record_sent(due, interval_ms)
        return due

    def record_sent(self, receivers: Iterable[str], interval_ms: int) -> None:
        """Record that some receivers get a message now."""
        now_ms = self.clock.now_ms()
        for ip in receivers:
            offset_ms = zlib.crc32(ip.encode()) % interval_ms
            since_slot_ms = (now_ms - offset_ms) % interval_ms
            self.due_ms[ip] = now_ms - since_slot_ms + interval_ms

    def retain(self, receivers: Iterable[str]) -> None:
        """Remove all receivers but the given ones."""
        for ip in self.due_ms.keys() - set(receivers):
            del self.due_ms[ip]
