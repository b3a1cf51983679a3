"""When a caller sent an opening, as far as one balancer knows it."""

from typing import NamedTuple

from citronwinch.coordination.flows._packets import Packet

COPY_AGES_MS = (0, 200, 600)
"""How long after the original opening callers send its copies, in milliseconds."""

ATTEMPT_MS = 1_400
"""How long after its original opening a caller gives an attempt up that no server has
accepted, in milliseconds."""


class OpeningTimes(NamedTuple):
    """The times from which the age of an opening is computed."""

    first_ms: int
    """When the caller began to try; earlier than `attempt_ms` if this balancer has
    ended an attempt of the caller before."""

    attempt_ms: int
    """When the caller sent the original opening of this attempt."""

    def include_copy(self, sent_ms: int) -> "OpeningTimes":
        """Return the times with a copy whose original was sent at a time.

        Example::

            >>> OpeningTimes(700, 900).include_copy(800)
            OpeningTimes(first_ms=700, attempt_ms=800)
        """
        return OpeningTimes(min(self.first_ms, sent_ms), min(self.attempt_ms, sent_ms))

    def is_same_attempt(self, sent_ms: int) -> bool:
        """Return whether an opening that was sent at a time belongs to this attempt.

        A caller may reuse the port of an earlier flow for a new one.
        """
        return sent_ms - self.attempt_ms < ATTEMPT_MS


def read_copy_age_ms(packet: Packet) -> int:
    """Return how long before a caller's opening its original was sent.

    Callers count the copies of an opening in the field `acknowledged`.
    """
    return COPY_AGES_MS[min(packet.acknowledged, len(COPY_AGES_MS) - 1)]
