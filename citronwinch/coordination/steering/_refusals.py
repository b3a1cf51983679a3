"""Stores refused packets, so that late copies of them are not delivered."""

import xxhash

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.steering._actions import RETRY_AFTER_MS

REFUSED_LIMIT = 16_384
"""The most refused packets that are stored."""


class RefusedPackets:
    """The hashes of recently refused packets.

    They are kept until the callers may retry; from then on a packet with the same
    bytes is a new attempt.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.expires_ms: dict[int, int] = {}

    def add(self, packet: bytes) -> bool:
        """Store a refused packet; return False when there is no room."""
        self.expire()
        if len(self.expires_ms) >= REFUSED_LIMIT:
            return False
        digest = xxhash.xxh3_64_intdigest(packet)
        self.expires_ms.pop(digest, None)
        self.expires_ms[digest] = self.clock.now_ms() + RETRY_AFTER_MS
        return True

    def remove(self, packet: bytes) -> None:
        """Remove a packet whose caller is not told that it was refused."""
        self.expires_ms.pop(xxhash.xxh3_64_intdigest(packet), None)

    def contains(self, packet: bytes) -> bool:
        """Return whether this packet was refused and its caller may not retry yet."""
        if not self.expires_ms:
            return False
        digest = xxhash.xxh3_64_intdigest(packet)
        return self.expires_ms.get(digest, 0) > self.clock.now_ms()

    def expire(self) -> None:
        """Remove expired hashes, the oldest first."""
        now_ms = self.clock.now_ms()
        for digest in list(self.expires_ms):
            if self.expires_ms[digest] > now_ms:
                break
            del self.expires_ms[digest]
