"""Assembly of an answer from its parts."""

from typing import NamedTuple

ANSWER_LIMIT_BYTES = 4 << 20
"""The maximum memory of one answer's parts, in bytes."""

PART_OVERHEAD_BYTES = 160
"""The memory that a part takes beside its body, in bytes."""


class PartRejected(NamedTuple):
    """A part that does not belong to the answer."""

    reason: str
    """The reason: `doubled_part`, `foreign_part` or `answer_too_long`."""


class AnswerAssembly:
    """Collects the parts of one answer, in any order of arrival.

    Example::

        >>> assembly = AnswerAssembly()
        >>> assembly.accept(1, 2, b"lock")
        >>> assembly.accept(1, 2, b"lock")
        PartRejected(reason='doubled_part')
        >>> assembly.accept(0, 2, b"hem")
        >>> assembly.find_body()
        b'hemlock'
    """

    def __init__(self, limit_bytes: int = ANSWER_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.part_count = 0
        self.parts: dict[int, bytes] = {}
        self.used_bytes = 0

    def accept(self, part: int, part_count: int, body: bytes) -> PartRejected | None:
        """Add a part; return the reason if it is rejected, None otherwise."""
        self.part_count = self.part_count or part_count
        if part_count != self.part_count or not 0 <= part < part_count:
            return PartRejected("foreign_part")
        if part in self.parts:
            return PartRejected("doubled_part")
        cost = len(body) + PART_OVERHEAD_BYTES
        if self.used_bytes + cost > self.limit_bytes:
            return PartRejected("answer_too_long")
        self.parts[part] = body
        self.used_bytes += cost
        return None

    def find_body(self) -> bytes | None:
        """Return the whole answer, None while a part is missing."""
        if not self.part_count or len(self.parts) < self.part_count:
            return None
        return b"".join(self.parts[part] for part in range(self.part_count))
