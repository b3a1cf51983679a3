"""Packets that were refused, so that a late copy is not delivered."""

import xxhash

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.steering._actions import RETRY_AFTER_MS

REFUSED_LIMIT = 16_384
"""The most refused packets that are remembered."""


class RefusedPackets:
    """The packets that were refused a short while ago, by their hash.

    They are kept until their callers may ask again: from then on the same bytes
    are a new attempt.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.expires_ms: dict[int, int] = {}

    def record(self, packet: bytes) -> bool:
        """Remember a packet; return False when there is no room."""
        self.expire()
        if len(self.expires_ms) >= REFUSED_LIMIT:
            return False
        digest = xxhash.xxh3_64_intdigest(packet)
        self.expires_ms.pop(digest, None)
        self.expires_ms[digest] = self.clock.now_ms() + RETRY_AFTER_MS
        return True

    def is_refused(self, packet: bytes) -> bool:
        """Return whether the caller was just told that this packet is refused."""
        if not self.expires_ms:
            return False
        digest = xxhash.xxh3_64_intdigest(packet)
        return self.expires_ms.get(digest, 0) > self.clock.now_ms()

    def expire(self) -> None:
        """Forget old packets, the oldest first."""
        now_ms = self.clock.now_ms()
        for digest in list(self.expires_ms):
            if self.expires_ms[digest] > now_ms:
                break
            del self.expires_ms[digest]
