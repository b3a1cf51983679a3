"""Fetching a configuration or listing from another balancer, and pacing of answers."""

import random
from collections.abc import Collection, Mapping

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._members import BalancerMember
from citronwinch.coordination.flows._view import DeploymentView

VIEW_ANSWER_LINK_SHARE = 0.4
"""The share of an instance's link that view answers to other balancers may use; the
rest is for the packets of flows."""

LARGEST_CONFIGURATION_BYTES = 350_000
"""The size of the store's answer with the platform's largest configuration: 256 KiB in
base64."""

MAX_UNPACED_ANSWER_BYTES = 20_000
"""The largest answer that is not paced; a listing of a few hundred servers fits."""


def list_view_sources(
    view: DeploymentView, members: Mapping[str, BalancerMember]
) -> list[str]:
    """Return the balancers with a newer configuration or a different, newer listing.

    If any has a newer configuration, only those with the newest one are returned,
    because the other balancers cannot supply it.
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
        if member.heartbeat.listing_position > view.listing.position
        and member.heartbeat.listing_digest != view.listing_digest
    ]


def choose_view_source(
    sources: Collection[str],
    members: Mapping[str, BalancerMember],
    zone: str,
    rng: random.Random,
) -> str | None:
    """Return a random source, from the own zone if possible; None without sources.

    The choice is random so that the balancers do not all fetch from the first balancer
    that has the data.
    """
    local = [ip for ip in sources if members[ip].heartbeat.availability_zone == zone]
    preferred_sources = sorted(local or sources)
    return rng.choice(preferred_sources) if preferred_sources else None


def compute_configuration_transfer_ms(link_mbps: float) -> int:
    """Return the transfer time of the largest configuration, in milliseconds.

    Example::

        >>> compute_configuration_transfer_ms(5)
        560
        >>> compute_configuration_transfer_ms(1_000)
        3
    """
    return round(LARGEST_CONFIGURATION_BYTES * 8 / (link_mbps * 1_000))


class ViewAnswerPacing:
    """Keeps large answers to other balancers from filling the link of an instance.

    A balancer whose request is refused fetches from another balancer that has received
    the configuration meanwhile, so that it spreads over many links instead of one.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> clock = ManualClock()
        >>> pacing = ViewAnswerPacing(clock, link_mbps=5)
        >>> pacing.admit(100_000), pacing.admit(100_000)
        (True, False)
        >>> clock.advance(400)
        >>> pacing.admit(100_000)
        True
    """

    def __init__(self, clock: Clock, link_mbps: float) -> None:
        self.clock = clock
        self.bytes_per_ms = link_mbps * 1_000 / 8 * VIEW_ANSWER_LINK_SHARE
        self.free_at_ms = clock.now_ms()

    def admit(self, answer_bytes: int) -> bool:
        """Return whether an answer may be sent now; if so, count it as sent."""
        now_ms = self.clock.now_ms()
        if answer_bytes <= MAX_UNPACED_ANSWER_BYTES:
            return True
        if now_ms < self.free_at_ms:
            return False
        self.free_at_ms = now_ms + round(answer_bytes / self.bytes_per_ms)
        return True
