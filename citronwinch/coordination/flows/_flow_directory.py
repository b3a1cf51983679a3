"""Where flows are, as the balancers of an availability zone tell each other.

Routers move nearly all flows of a zone to other balancers whenever a balancer joins or
leaves the rotation. In a service with many backend servers, asking all agents for each
of the flows would cost more than the flows themselves. Each flow therefore has a
keeper, one of the zone's balancers, which stores the flow's location. The location is a
hint: it may be lost or outdated, and the agents are asked when it does not help.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable
from typing import NamedTuple

import xxhash

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock
from citronwinch.coordination._placement import hash_seed
from citronwinch.coordination.flows._actions import SendMessage
from citronwinch.coordination.flows._messages import FlowLocation, FlowLocations

MIN_AGENTS = 6
"""Up to this many agents of a service in the own zone are asked without a lookup; their
answers are as cheap and more certain."""

LOCATION_RETENTION_MS = 60_000
"""How long a location is stored, in milliseconds; the platform's longest lifetime of a
flow."""

LOCATION_LIMIT = 120_000
"""The most locations that a balancer stores."""

REGISTRATION_DELAY_MS = 500
"""How old a flow is when its location is sent to the keeper, in milliseconds. Flows for
a single request end before, and need no keeper."""

LOCATIONS_PER_MESSAGE = 16
"""The most locations in one message, which then fits into one packet."""

LISTING_LAG_MS = 1_500
"""By how much the listing of a balancer may lag, in milliseconds; it is not used for
resets when it is older."""

LEAVING_BALANCER_MS = 4_000
"""For how long a balancer that has left the zone is still asked about flows, in
milliseconds: while it forwards before its exit, and until the servers of its last flows
are listed."""

HANDOVER_LIMIT = 4_000
"""The most locations that a balancer hands over at a change of the zone's balancers."""


class StoredLocation(NamedTuple):
    """A location that this balancer keeps."""

    location: FlowLocation
    """The location."""

    stored_ms: int
    """When it was stored, in milliseconds."""


class FlowDirectory:
    """The flow locations that one balancer keeps, and the keepers of other flows.

    A flow's keeper is the balancer with the lowest rendezvous hash for the flow. A
    keeper that leaves one lookup unanswered is passed over until it sends a message.
    """

    def __init__(self, own_ip: str, clock: Clock) -> None:
        self.own_ip = own_ip
        self.clock = clock
        self.balancers: frozenset[str] = frozenset((own_ip,))
        """The live balancers of the zone, with this one unless it is stopping."""
        self.may_lack_balancers = False
        """Whether live balancers are likely to be unknown."""
        self.silent: set[str] = set()
        """The balancers that have left a lookup unanswered."""
        self.restarted_ms: dict[str, int] = {}
        """When balancers that have restarted lately were heard again."""
        self.left_ms: dict[str, int] = {}
        """When balancers that have left the zone lately did so."""
        self.stored: OrderedDict[FlowKey, StoredLocation] = OrderedDict()
        self.unregistered: OrderedDict[FlowKey, int] = OrderedDict()
        """The flows whose keeper does not know them, with the time at which each was
        found or confirmed."""

    def set_balancers(self, balancers: Iterable[str]) -> list[SendMessage]:
        """Replace the zone's balancers; hand over locations that others keep now.

        Only a balancer that joins takes over locations of others. A balancer that is
        stopping, which is missing from `balancers`, hands over all of its own.
        """
        former, self.balancers = self.balancers, frozenset(balancers)
        now_ms = self.clock.now_ms()
        self.left_ms |= dict.fromkeys(former - self.balancers, now_ms)
        self.silent &= self.balancers
        joined = self.balancers - former
        is_stopping = self.own_ip in former and self.own_ip not in self.balancers
        if not joined and not is_stopping:
            return []
        latest = list(self.stored.values())[-HANDOVER_LIMIT:]
        by_keeper: dict[str, list[FlowLocation]] = {}
        for location, _ in latest:
            keeper = self.find_keeper(location.flow)
            if keeper in joined or (is_stopping and keeper):
                by_keeper.setdefault(keeper, []).append(location)
        return _make_messages(by_keeper)

    def record_restart(self, balancer: str) -> None:
        """Record that a balancer has restarted: it has forgotten its flows.

        One that was lost before it came back opened them so long ago that their servers
        are listed.
        """
        self.restarted_ms[balancer] = self.clock.now_ms()

    def list_recently_restarted(self) -> set[str]:
        """Return the balancers that may have forgotten a flow at a server that the
        listing of another balancer still lacks."""
        latest_ms = self.clock.now_ms() - LISTING_LAG_MS
        self.restarted_ms = {
            ip: since_ms
            for ip, since_ms in self.restarted_ms.items()
            if since_ms > latest_ms
        }
        return set(self.restarted_ms)

    def list_peers(self) -> set[str]:
        """Return the other balancers that may have opened a flow of the zone lately.

        Those that have just left are among them: a stopping balancer still forwards.
        """
        latest_ms = self.clock.now_ms() - LEAVING_BALANCER_MS
        self.left_ms = {
            ip: since_ms
            for ip, since_ms in self.left_ms.items()
            if since_ms > latest_ms and ip not in self.balancers
        }
        return {*self.balancers, *self.left_ms} - {self.own_ip}

    def find_keeper(self, flow: FlowKey) -> str:
        """Return the address of a flow's keeper, empty without a balancer."""
        candidates = self.balancers - self.silent or self.balancers
        return min(
            candidates,
            key=lambda ip: (xxhash.xxh3_64_intdigest(flow, hash_seed(ip)), ip),
            default="",
        )

    def find_location(self, flow: FlowKey) -> FlowLocation | None:
        """Return the stored location of a flow, None if it is unknown."""
        stored = self.stored.get(flow)
        return stored.location if stored is not None else None

    def store(self, location: FlowLocation) -> None:
        """Store a location; discard the oldest ones beyond the limit."""
        self.stored[location.flow] = StoredLocation(location, self.clock.now_ms())
        self.stored.move_to_end(location.flow)
        while len(self.stored) > LOCATION_LIMIT:
            self.stored.popitem(last=False)

    def request_registration(self, flow: FlowKey) -> None:
        """Register a flow with its keeper after REGISTRATION_DELAY_MS."""
        if len(self.balancers) > 1 and len(self.unregistered) < LOCATION_LIMIT:
            self.unregistered.setdefault(flow, self.clock.now_ms())

    def take_due_registrations(self) -> list[FlowKey]:
        """Remove and return the flows whose registration is due."""
        latest_ms = self.clock.now_ms() - REGISTRATION_DELAY_MS
        due = []
        while self.unregistered:
            flow, since_ms = next(iter(self.unregistered.items()))
            if since_ms > latest_ms:
                break
            del self.unregistered[flow]
            due.append(flow)
        return due

    def register(self, locations: Collection[FlowLocation]) -> list[SendMessage]:
        """Send locations to their keepers, or store those that this balancer keeps."""
        by_keeper: dict[str, list[FlowLocation]] = {}
        for location in locations:
            keeper = self.find_keeper(location.flow)
            if keeper == self.own_ip:
                self.store(location)
            elif keeper:
                by_keeper.setdefault(keeper, []).append(location)
        return _make_messages(by_keeper)

    def expire(self) -> None:
        """Remove the locations that are older than LOCATION_RETENTION_MS."""
        oldest_ms = self.clock.now_ms() - LOCATION_RETENTION_MS
        while self.stored:
            flow, stored = next(iter(self.stored.items()))
            if stored.stored_ms >= oldest_ms:
                break
            del self.stored[flow]


def _make_messages(by_keeper: dict[str, list[FlowLocation]]) -> list[SendMessage]:
    return [
        SendMessage(
            keeper, FlowLocations(tuple(group[start : start + LOCATIONS_PER_MESSAGE]))
        )
        for keeper, group in by_keeper.items()
        for start in range(0, len(group), LOCATIONS_PER_MESSAGE)
    ]
