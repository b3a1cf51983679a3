"""From whom a balancer fetches what it lacks, and how fast others may fetch from it."""

import random
from collections.abc import Collection, Mapping

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._members import Member
from citronwinch.coordination.flows._view import DeploymentView

ANSWER_LINK_SHARE = 0.4
"""The share of an instance's link that answers with a configuration may take; packets
of flows need the rest."""

LARGEST_CONFIGURATION_BYTES = 350_000
"""What the store sends for the platform's largest configuration: 256 KiB in base64."""

MAX_UNPACED_ANSWER_BYTES = 20_000
"""Up to this size answers are not paced; a listing of a few hundred servers fits."""


def list_sources(view: DeploymentView, members: Mapping[str, Member]) -> list[str]:
    """Return the balancers that know a newer configuration or another, newer listing.

    Those with the newest configuration come alone: the others would be asked in vain.
    """
    version = view.configuration.version if view.configuration else 0
    newest = max(
        (member.heartbeat.configuration_version for member in members.values()),
        default=0,
    )
    if newest > version:
        return [
            ip
            for ip, member in members.items()
            if member.heartbeat.configuration_version == newest
        ]
    return [
        ip
        for ip, member in members.items()
        if member.heartbeat.revision > view.listing.revision
        and member.heartbeat.listing_digest != view.listing_digest
    ]


def choose_source(
    sources: Collection[str],
    members: Mapping[str, Member],
    zone: str,
    rng: random.Random,
) -> str | None:
    """Return one of the sources, of the own zone if there is one, None without any.

    The choice is random, so that not all balancers ask the one that had it first.
    """
    local = [ip for ip in sources if members[ip].heartbeat.availability_zone == zone]
    candidates = sorted(local or sources)
    return rng.choice(candidates) if candidates else None


def compute_transfer_ms(link_mbps: float) -> int:
    """Return how long the largest configuration takes on a link, in milliseconds.

    Example::

        >>> compute_transfer_ms(5), compute_transfer_ms(1_000)
        (560, 3)
    """
    return round(LARGEST_CONFIGURATION_BYTES * 8 / (link_mbps * 1_000))


class AnswerPacing:
    """Keeps answers with a configuration from filling the link of an instance.

    Whoever is turned away asks another balancer that has the configuration by then, so
    that it spreads from many links instead of one.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> clock = ManualClock()
        >>> pacing = AnswerPacing(clock, link_mbps=5)
        >>> pacing.admit(100_000), pacing.admit(100_000)
        (True, False)
        >>> clock.advance(400)
        >>> pacing.admit(100_000)
        True
    """

    def __init__(self, clock: Clock, link_mbps: float) -> None:
        self.clock = clock
        self.bytes_per_ms = link_mbps * 1_000 / 8 * ANSWER_LINK_SHARE
        self.free_at_ms = clock.now_ms()

    def admit(self, answer_bytes: int) -> bool:
        """Return whether an answer of a size may be sent now."""
        now_ms = self.clock.now_ms()
        if answer_bytes <= MAX_UNPACED_ANSWER_BYTES:
            return True
        if now_ms < self.free_at_ms:
            return False
        self.free_at_ms = now_ms + round(answer_bytes / self.bytes_per_ms)
        return True
