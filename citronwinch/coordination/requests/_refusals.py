"""Compact tombstones of refused requests: a pair of Bloom filters."""

import xxhash

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.requests._metadata import (
    PACKET_LIFETIME_MS,
    REQUEST_TIMEOUT_LIMIT_MS,
)
from citronwinch.coordination.requests._records import RequestKey

FILTER_BITS = 1 << 23
"""The size of the filter of one generation, in bits."""

HASH_COUNT = 7
"""The number of bits that are set for each refusal."""

REFUSALS_LIMIT = 800_000
"""The maximum number of refusals in one generation.

With that many, the false positive rate is 1% of new requests.
"""

GENERATION_MS = REQUEST_TIMEOUT_LIMIT_MS + PACKET_LIFETIME_MS
"""The time for which a generation collects refusals, in milliseconds.

Afterwards the generation is stored for the same time again.
"""


class RefusalFilter:
    """Stores refusals in two Bloom filters of 1 MiB, one for each generation.

    A false positive is refused like a late copy, so that its outcome "not run" is
    true as well. A refusal is stored for at least `GENERATION_MS`, the time in which
    a copy of the request can arrive.

    Example::

        >>> from citronwinch.coordination import FlowKey, ManualClock
        >>> refusals = RefusalFilter(ManualClock())
        >>> key = RequestKey(FlowKey(bytes(13)), bytes(16))
        >>> refusals.contains(key), refusals.add(key), refusals.contains(key)
        (False, True, True)
    """

    def __init__(
        self,
        clock: Clock,
        size_bits: int = FILTER_BITS,
        refusals_limit: int = REFUSALS_LIMIT,
    ) -> None:
        self.clock = clock
        self.size_bits = size_bits
        self.refusals_limit = refusals_limit
        self.current = bytearray()
        self.previous = bytearray()
        self.refusal_count = 0
        self.started_ms = clock.now_ms()
        self.last_added_ms: int | None = None

    @property
    def used_bytes(self) -> int:
        """The memory that the filters take, in bytes."""
        return len(self.current) + len(self.previous)

    def add(self, key: RequestKey) -> bool:
        """Store a refusal; return False when the generation is full."""
        if self.refusal_count >= self.refusals_limit:
            return False
        self.current = self.current or bytearray(self.size_bits // 8)
        for index in self._find_bit_indexes(key):
            self.current[index >> 3] |= 1 << (index & 7)
        self.refusal_count += 1
        self.last_added_ms = self.clock.now_ms()
        return True

    def contains(self, key: RequestKey) -> bool:
        """Return whether a request was refused; true for false positives as well."""
        generations = [
            generation for generation in (self.current, self.previous) if generation
        ]
        if not generations:
            return False
        indexes = self._find_bit_indexes(key)
        return any(
            all(generation[index >> 3] >> (index & 7) & 1 for index in indexes)
            for generation in generations
        )

    def expire(self, arrived_ms: int) -> None:
        """Start a new generation when the current one has collected long enough.

        `arrived_ms` is a lower bound for all packets that are not handled yet: the
        earliest time at which one of them may have arrived. The generation before the
        current one is removed.
        """
        if arrived_ms - self.started_ms <= GENERATION_MS:
            return
        self.previous, self.current = self.current, bytearray()
        self.refusal_count = 0
        self.started_ms = arrived_ms

    def _find_bit_indexes(self, key: RequestKey) -> list[int]:
        digest = xxhash.xxh3_128_intdigest(key.flow + key.request_id)
        first, step = digest >> 64, digest & ((1 << 64) - 1) | 1
        return [(first + i * step) % self.size_bits for i in range(HASH_COUNT)]
