"""Answers on their way through an agent: which parts are new, which are kept."""

from collections import OrderedDict
from typing import NamedTuple

from citronwinch.coordination.requests._records import RequestKey

ANSWER_CACHE_LIMIT_BYTES = 8 << 20
"""The memory that kept parts of answers may take, in bytes."""

PART_OVERHEAD_BYTES = 160
"""Memory that a kept part takes beside its payload, in bytes."""

PART_COUNT_LIMIT = 1_024
"""The most parts of one answer."""


class AnswerProgress(NamedTuple):
    """The parts of one answer that were seen."""

    part_count: int
    """The number of parts of the whole answer."""

    received_parts: int = 0
    """One bit for each part that was seen."""

    @property
    def is_complete(self) -> bool:
        """Whether every part was seen."""
        return self.received_parts == (1 << self.part_count) - 1


class AnswerCache:
    """Tells new parts from doubled ones and keeps answers to send them again.

    The payloads are bounded in bytes over all requests; the oldest answers lose
    theirs first. Losing one only means that a caller whose answer was lost hears
    nothing more; it never makes a request run again. Which parts were seen is kept
    as long as the request's record.
    """

    def __init__(self, limit_bytes: int = ANSWER_CACHE_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.cached_bytes = 0
        self.progress: dict[RequestKey, AnswerProgress] = {}
        self.payloads: OrderedDict[RequestKey, list[bytes]] = OrderedDict()

    def accept_part(
        self, key: RequestKey, part: int, part_count: int, payload: bytes
    ) -> bool:
        """Note a part; return whether it is new and fits the answer."""
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
        """Whether every part of the answer was seen."""
        answer = self.progress.get(key)
        return answer is not None and answer.is_complete

    def find_datagrams(self, key: RequestKey) -> tuple[bytes, ...]:
        """Return the datagrams of a whole answer, none when they are not kept."""
        answer = self.progress.get(key)
        payloads = self.payloads.get(key, [])
        if answer is None or len(payloads) != answer.part_count:
            return ()
        return tuple(payloads)

    def remove(self, key: RequestKey) -> None:
        """Forget an answer whose request is forgotten."""
        self.progress.pop(key, None)
        self._drop_payloads(key)

    def _drop_payloads(self, key: RequestKey) -> None:
        for payload in self.payloads.pop(key, ()):
            self.cached_bytes -= len(payload) + PART_OVERHEAD_BYTES
