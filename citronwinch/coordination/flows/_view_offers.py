"""The copies of the view that agents have offered to a balancer."""

import random
from collections.abc import Iterable
from typing import NamedTuple

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._messages import ViewOffer
from citronwinch.coordination.flows._store_position import StorePosition
from citronwinch.coordination.flows._view import DeploymentView

OFFER_LIFETIME_MS = 1_500
"""How long a balancer considers an offer, in milliseconds; longer than the time until
the next one."""

STORE_WAIT_MS = 50
"""How long a starting balancer waits for the store's first answer before it fetches a
copy, in milliseconds; a store that works answers sooner."""


class ReceivedOffer(NamedTuple):
    """An offer and the time of its receipt."""

    offer: ViewOffer
    """The offer."""

    received_ms: int
    """When it was received."""


class ViewOffers:
    """The copies that agents have offered to one balancer."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.clock = clock
        self.rng = rng
        self.started_ms = clock.now_ms()
        self.received: dict[str, ReceivedOffer] = {}

    def record(self, agent: str, offer: ViewOffer) -> None:
        """Record an agent's latest offer; remove the outdated ones."""
        now_ms = self.clock.now_ms()
        self.received[agent] = ReceivedOffer(offer, now_ms)
        self.received = {
            ip: received
            for ip, received in self.received.items()
            if now_ms - received.received_ms < OFFER_LIFETIME_MS
        }

    def remove(self, agent: str) -> None:
        """Remove an offer after the copy was fetched, or could not be."""
        self.received.pop(agent, None)

    def compute_age_ms(self, agent: str) -> int:
        """Return the age of the listing that an agent has offered, in milliseconds."""
        received = self.received[agent]
        return (
            received.offer.listing_age_ms + self.clock.now_ms() - received.received_ms
        )

    def choose(self, view: DeploymentView, *, is_store_lost: bool) -> str | None:
        """Return the agent with the newest copy, if it is newer than the view.

        A balancer without a view waits for the store first, which has the newest one.
        """
        has_waited = self.clock.now_ms() - self.started_ms >= STORE_WAIT_MS
        if not view.is_complete and not is_store_lost and not has_waited:
            return None
        newer = {
            ip: received.offer
            for ip, received in self.received.items()
            if is_offer_newer(received.offer, view)
        }
        if not newer:
            return None
        best = max(_rank(offer) for offer in newer.values())
        return self._choose_any(ip for ip in newer if _rank(newer[ip]) == best)

    def _choose_any(self, agents: Iterable[str]) -> str:
        # Balancers that start together must not all fetch from the same agent.
        return self.rng.choice(sorted(agents))


def is_offer_newer(offer: ViewOffer, view: DeploymentView) -> bool:
    """Return whether an offered copy has a configuration or a listing for a view."""
    if not offer.configuration_version:
        return False
    version = view.configuration.version if view.configuration else 0
    return (
        offer.configuration_version > version
        or view.confirmed_ms is None
        or offer.listing_position > view.listing.position
    )


def _rank(offer: ViewOffer) -> tuple[int, StorePosition]:
    return offer.configuration_version, offer.listing_position
