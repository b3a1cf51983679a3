"""Answers that pass through an agent: duplicate detection and a cache of payloads."""

from collections import OrderedDict
from typing import NamedTuple

from citronwinch.coordination.requests._records import RequestKey

ANSWER_CACHE_LIMIT_BYTES = 8 << 20
"""The maximum memory of the cached parts of answers, in bytes."""

PART_OVERHEAD_BYTES = 160
"""The memory that a cached part takes beside its payload, in bytes."""

PART_COUNT_LIMIT = 1_024
"""The maximum number of parts of one answer."""


class AnswerProgress(NamedTuple):
    """The parts of one answer that have arrived."""

    part_count: int
    """The number of parts of the whole answer."""

    received_parts: int = 0
    """A bit set with one bit for each part that has arrived."""

    @property
    def is_complete(self) -> bool:
        """Whether every part has arrived."""
        return self.received_parts == (1 << self.part_count) - 1


class AnswerCache:
    """Detects duplicate parts of answers and caches the payloads to send them again.

    The payloads of all requests share one limit in bytes, and those of the oldest
    answers are evicted first. After an eviction a caller that did not receive the
    answer cannot get it again, but the request is never run again. Which parts have
    arrived is stored as long as the request's record.
    """

    def __init__(self, limit_bytes: int = ANSWER_CACHE_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.cached_bytes = 0
        self.progress: dict[RequestKey, AnswerProgress] = {}
        self.payloads: OrderedDict[RequestKey, list[bytes]] = OrderedDict()

    def accept_part(
        self, key: RequestKey, part: int, part_count: int, payload: bytes
    ) -> bool:
        """Store a part; return whether the part is new and belongs to the answer."""
        answer = self.progress.get(key) or AnswerProgress(part_count)
        if part_count != answer.part_count or part_count > PART_COUNT_LIMIT:
            return False
        if not 0 <= part < part_count or answer.received_parts >> part & 1:
            return False
        self.progress[key] = answer._replace(
            received_parts=answer.received_parts | 1 << part
        )
        self.payloads.setdefault(key, []).append(payload)
        self.cached_bytes += len(payload) + PART_OVERHEAD_BYTES
        while self.cached_bytes > self.limit_bytes:
            self._drop_payloads(next(iter(self.payloads)))
        return True

    def is_complete(self, key: RequestKey) -> bool:
        """Return whether every part of the answer has arrived."""
        answer = self.progress.get(key)
        return answer is not None and answer.is_complete

    def find_datagrams(self, key: RequestKey) -> tuple[bytes, ...]:
        """Return the datagrams of a complete answer; none when any is not cached."""
        answer = self.progress.get(key)
        payloads = self.payloads.get(key, [])
        if answer is None or len(payloads) != answer.part_count:
            return ()
        return tuple(payloads)

    def remove(self, key: RequestKey) -> None:
        """Remove an answer when the record of its request expires."""
        self.progress.pop(key, None)
        self._drop_payloads(key)

    def _drop_payloads(self, key: RequestKey) -> None:
        for payload in self.payloads.pop(key, ()):
            self.cached_bytes -= len(payload) + PART_OVERHEAD_BYTES
