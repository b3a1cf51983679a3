"""Compact tombstones for refused requests."""

import xxhash

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.requests._metadata import (
    PACKET_LIFETIME_MS,
    REQUEST_TIMEOUT_LIMIT_MS,
)
from citronwinch.coordination.requests._records import RequestKey

FILTER_BITS = 1 << 23
"""The size of one generation, in bits."""

HASH_COUNT = 7
"""The bits that are set for each refusal."""

REFUSALS_LIMIT = 800_000
"""The most refusals in one generation; with them 1% of new requests look refused."""

GENERATION_MS = REQUEST_TIMEOUT_LIMIT_MS + PACKET_LIFETIME_MS
"""How long refusals are collected in one generation, which is kept as long again."""


class RefusalFilter:
    """Remembers refusals in two Bloom filters of 1 MiB.

    A request that it takes for refused without reason is refused again, so that
    saying "not run" of it stays true. A refusal is remembered for at least
    `GENERATION_MS`, as long as a copy of it can arrive.

    Example::

        >>> from citronwinch.coordination import FlowKey, ManualClock
        >>> refusals = RefusalFilter(ManualClock())
        >>> key = RequestKey(FlowKey(bytes(13)), bytes(16))
        >>> refusals.contains(key), refusals.add(key), refusals.contains(key)
        (False, True, True)
    """

    def __init__(
        self, clock: Clock, bits: int = FILTER_BITS, limit: int = REFUSALS_LIMIT
    ) -> None:
        self.clock = clock
        self.bits = bits
        self.limit = limit
        self.current = bytearray()
        self.previous = bytearray()
        self.count = 0
        self.started_ms = clock.now_ms()
        self.last_added_ms: int | None = None

    @property
    def used_bytes(self) -> int:
        """The memory that the filters take."""
        return len(self.current) + len(self.previous)

    def add(self, key: RequestKey) -> bool:
        """Remember a refusal; return False when there is no room."""
        if self.count >= self.limit:
            return False
        self.current = self.current or bytearray(self.bits // 8)
        for place in self._find_places(key):
            self.current[place >> 3] |= 1 << (place & 7)
        self.count += 1
        self.last_added_ms = self.clock.now_ms()
        return True

    def contains(self, key: RequestKey) -> bool:
        """Whether a request was refused, or cannot be told from one that was."""
        generations = [one for one in (self.current, self.previous) if one]
        if not generations:
            return False
        places = self._find_places(key)
        return any(
            all(one[place >> 3] >> (place & 7) & 1 for place in places)
            for one in generations
        )

    def expire(self, arrived_ms: int) -> None:
        """Drop what is older than two generations, by the time of arrival."""
        if arrived_ms - self.started_ms <= GENERATION_MS:
            return
        self.previous, self.current = self.current, bytearray()
        self.count = 0
        self.started_ms = arrived_ms

    def _find_places(self, key: RequestKey) -> list[int]:
        digest = xxhash.xxh3_128_intdigest(key.flow + key.request_id)
        first, step = digest >> 64, digest & ((1 << 64) - 1) | 1
        return [(first + i * step) % self.bits for i in range(HASH_COUNT)]
