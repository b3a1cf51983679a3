"""Copies of the view that agents keep for balancers that start without one.

Balancers keep what they know in memory. If all of them are killed while the store is
down, agents and backend servers still live, and so do the flows. Agents then offer
their copies to the balancers that they remember, which fetch one and go on serving.
"""

import random
from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._evacuations import ZoneEvacuation
from citronwinch.coordination.flows._messages import Heartbeat, ViewOffer
from citronwinch.coordination.flows._store_position import UNKNOWN_POSITION

COPY_BYTES_PER_S = 250
"""The mean rate at which an agent fetches copies, in bytes a second. A balancer serves
some seven agents, and control may use 2 KB a second. A large view is copied less
often."""

MIN_COPY_INTERVAL_MS = 1_000
"""The shortest time between two fetches of an agent, in milliseconds."""

FIRST_COPY_DELAY_MS = (4_000, 10_000)
"""How long after its start an agent fetches its first copy, at least and at most, in
milliseconds. A loss of power starts many agents at once, with a crowd of callers who
need all of their processor time for some seconds."""

COPY_LIMIT_BYTES = 1_000_000
"""The largest copy that an agent keeps; the compressed view of 12,000 servers and 1,200
routes has less."""

MIN_SILENCE_BEFORE_OFFER_MS = 450
"""How long all balancers must at least be silent before an agent offers its copy, in
milliseconds; longer than the shortest interval of their heartbeats."""

SILENT_GAPS_BEFORE_OFFER = 4
"""The same as a factor of the mean gap between two heartbeats. In a large fleet each
balancer sends a heartbeat to an agent only once in many seconds."""

OFFER_INTERVAL_MS = 150
"""The time between the first two offers, in milliseconds; it doubles each time."""

MAX_OFFER_INTERVAL_MS = 1_000
"""The longest time between two offers, in milliseconds."""

OFFER_RECEIVERS_LIMIT = 8
"""The most balancers that get an offer; others fetch the view from these."""

REMEMBERED_BALANCERS_LIMIT = 32
"""The most balancers that an agent remembers."""

LOCAL_SOURCE_TIMEOUT_MS = 3_000
"""How long after the last heartbeat of a balancer of its own zone an agent fetches only
from that zone, in milliseconds; traffic between zones is expensive."""


class CopySource(NamedTuple):
    """A balancer that has another view than the copy of an agent."""

    balancer: str
    """The balancer's address."""

    heartbeat: Heartbeat
    """The heartbeat that described its view."""


class KnownBalancer(NamedTuple):
    """A balancer that has sent heartbeats."""

    zone: str
    """Its availability zone."""

    interval_ms: int
    """The interval of its heartbeats to this agent, in milliseconds; 0 if unknown."""


class ViewCopy:
    """The copy of the view that one agent keeps, as it was received.

    The agent never decodes it: it knows the version and the position from the
    heartbeats of balancers, which also tell when the listing was last confirmed.
    """

    def __init__(self, zone: str, clock: Clock, rng: random.Random) -> None:
        self.zone = zone
        self.clock = clock
        self.rng = rng
        self.content = b""
        """The encoded and compressed view; empty without a copy."""
        self.configuration_version = 0
        self.listing_position = UNKNOWN_POSITION
        self.listing_digest = 0
        self.confirmed_ms = 0
        """When the store last had the copied listing, in milliseconds."""
        self.source: CopySource | None = None
        """Where the next copy can be fetched; None while the copy is current."""
        self.balancers: OrderedDict[str, KnownBalancer] = OrderedDict()
        """The balancers that sent heartbeats by address, the latest one last."""
        self.last_heartbeat_ms = clock.now_ms()
        self.last_local_heartbeat_ms = clock.now_ms() - LOCAL_SOURCE_TIMEOUT_MS
        self.next_fetch_ms = clock.now_ms() + rng.randint(*FIRST_COPY_DELAY_MS)
        self.next_offer_ms = 0
        self.offer_interval_ms = OFFER_INTERVAL_MS

    def record_heartbeat(self, heartbeat: Heartbeat, sender: str) -> None:
        """Record a balancer's view: confirm the copy, or note where to fetch one."""
        now_ms = self.clock.now_ms()
        self.last_heartbeat_ms = now_ms
        self.next_offer_ms, self.offer_interval_ms = 0, OFFER_INTERVAL_MS
        self.balancers[sender] = KnownBalancer(
            heartbeat.availability_zone, heartbeat.interval_ms
        )
        self.balancers.move_to_end(sender)
        while len(self.balancers) > REMEMBERED_BALANCERS_LIMIT:
            self.balancers.popitem(last=False)
        if heartbeat.availability_zone == self.zone:
            self.last_local_heartbeat_ms = now_ms
        elif now_ms - self.last_local_heartbeat_ms < LOCAL_SOURCE_TIMEOUT_MS:
            return
        if self._has_same_listing(heartbeat):
            self.listing_position = heartbeat.listing_position
            confirmed_ms = now_ms - heartbeat.listing_age_ms
            self.confirmed_ms = max(self.confirmed_ms, confirmed_ms)
        if self._is_newer(heartbeat) and not heartbeat.is_leaving:
            self.source = CopySource(sender, heartbeat)

    def _has_same_listing(self, heartbeat: Heartbeat) -> bool:
        return (
            bool(self.content)
            and heartbeat.listing_digest == self.listing_digest
            and heartbeat.listing_position >= self.listing_position
        )

    def _is_newer(self, heartbeat: Heartbeat) -> bool:
        """Return whether a heartbeat describes a view that the copy lacks."""
        if not heartbeat.configuration_version:
            return False
        return (
            not self.content
            or heartbeat.configuration_version > self.configuration_version
            or (
                heartbeat.listing_digest != self.listing_digest
                and heartbeat.listing_position > self.listing_position
            )
        )

    def start_fetch(self) -> CopySource | None:
        """Return where to fetch a copy now, if one is due; record that it starts."""
        now_ms = self.clock.now_ms()
        source = self.source
        if source is None or now_ms < self.next_fetch_ms:
            return None
        self.source = None
        self.next_fetch_ms = now_ms + MIN_COPY_INTERVAL_MS
        return source

    def store(self, content: bytes, heartbeat: Heartbeat) -> None:
        """Replace the copy by one fetched from the sender of a heartbeat."""
        if len(content) > COPY_LIMIT_BYTES:
            return
        now_ms = self.clock.now_ms()
        self.content = content
        self.configuration_version = heartbeat.configuration_version
        self.listing_position = heartbeat.listing_position
        self.listing_digest = heartbeat.listing_digest
        self.confirmed_ms = now_ms - heartbeat.listing_age_ms
        pause_ms = len(content) * 1_000 // COPY_BYTES_PER_S
        self.next_fetch_ms = now_ms + max(MIN_COPY_INTERVAL_MS, pause_ms)

    def list_offer_receivers(self, seeds: Iterable[str] = ()) -> list[str]:
        """Return the balancers that get an offer now: seeds and those remembered.

        That is none while any balancer sends heartbeats, or without a copy.
        """
        now_ms = self.clock.now_ms()
        if (
            not self.content
            or now_ms < self.next_offer_ms
            or now_ms - self.last_heartbeat_ms < self._compute_silence_ms()
        ):
            return []
        self.next_offer_ms = now_ms + self.offer_interval_ms
        self.offer_interval_ms = min(2 * self.offer_interval_ms, MAX_OFFER_INTERVAL_MS)
        latest = list(reversed(self.balancers))
        local = [ip for ip in latest if self.balancers[ip].zone == self.zone]
        ips = dict.fromkeys((*local, *seeds, *latest))
        return list(ips)[:OFFER_RECEIVERS_LIMIT]

    def _compute_silence_ms(self) -> int:
        """Return how long all balancers are silent before the copy is offered."""
        intervals_ms = [balancer.interval_ms for balancer in self.balancers.values()]
        per_ms = sum(1 / interval_ms for interval_ms in intervals_ms if interval_ms)
        if not per_ms:
            return MIN_SILENCE_BEFORE_OFFER_MS
        gaps_ms = round(SILENT_GAPS_BEFORE_OFFER / per_ms)
        return max(MIN_SILENCE_BEFORE_OFFER_MS, gaps_ms)

    def make_offer(self, evacuations: tuple[ZoneEvacuation, ...]) -> ViewOffer:
        """Return the offer of the copy, with the evacuations that the agent knows."""
        return ViewOffer(
            self.configuration_version,
            self.listing_position,
            self.clock.now_ms() - self.confirmed_ms,
            evacuations,
        )
