"""The live balancers that a balancer knows."""

from collections.abc import Iterable
from typing import NamedTuple

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._messages import Heartbeat

MIN_MEMBER_TIMEOUT_MS = 3_500
"""The least time for which a balancer without heartbeats is considered live, in
milliseconds."""

MEMBER_TIMEOUT_INTERVALS = 3
"""For how many of its heartbeat intervals a balancer without heartbeats is considered
live, besides `MEMBER_TIMEOUT_MARGIN_MS`."""

MEMBER_TIMEOUT_MARGIN_MS = 500
"""The time for delays of a heartbeat, in milliseconds."""

NAMED_ADDRESS_TIMEOUT_MS = 10_000
"""How long an address that members have named gets heartbeats while none arrives from
it, in milliseconds."""


class BalancerMember(NamedTuple):
    """A balancer from which heartbeats arrive."""

    heartbeat: Heartbeat
    """Its last heartbeat."""

    last_heartbeat_ms: int
    """When that heartbeat arrived."""

    @property
    def timeout_ms(self) -> int:
        """How long after that heartbeat the balancer is considered live, in ms."""
        intervals_ms = MEMBER_TIMEOUT_INTERVALS * self.heartbeat.interval_ms
        return max(MIN_MEMBER_TIMEOUT_MS, intervals_ms + MEMBER_TIMEOUT_MARGIN_MS)


class BalancerMembers:
    """Tracks the live balancers, discovered from seed addresses and heartbeats.

    Agents name balancers as well: each balancer finds the agents in the store's
    listing, so that balancers find each other there even if all seeds are outdated.
    """

    def __init__(self, own_ip: str, seeds: Iterable[str], clock: Clock) -> None:
        self.own_ip = own_ip
        self.clock = clock
        self.set_seeds(seeds)
        self.members: dict[str, BalancerMember] = {}
        self.named_addresses_ms: dict[str, int] = {}
        """The addresses that members or agents have named but from which no heartbeat
        has arrived, with the time at which each was first named."""

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the seed addresses."""
        self.seeds = set(seeds) - {self.own_ip}

    def handle_heartbeat(self, ip: str, heartbeat: Heartbeat) -> bool:
        """Record a heartbeat; return whether its sender is new or has restarted.

        A delayed heartbeat of an earlier incarnation is ignored.
        """
        now_ms = self.clock.now_ms()
        known = self.members.get(ip)
        if known is not None and heartbeat.incarnation < known.heartbeat.incarnation:
            return False
        self.members[ip] = BalancerMember(heartbeat, now_ms)
        self.named_addresses_ms.pop(ip, None)
        self.record_named(heartbeat.balancers)
        return known is None or heartbeat.incarnation > known.heartbeat.incarnation

    def record_named(self, addresses: Iterable[str]) -> list[str]:
        """Record balancers that another process has named; return the unknown ones."""
        unknown = [
            ip
            for ip in addresses
            if ip not in (self.own_ip, *self.members, *self.named_addresses_ms)
        ]
        self.named_addresses_ms |= dict.fromkeys(unknown, self.clock.now_ms())
        return unknown

    def may_lack_balancers(self) -> bool:
        """Return whether live balancers are likely to be unknown.

        Either none is known, since seeds may be outdated, or one was named a short time
        ago and has not been heard.
        """
        latest_ms = self.clock.now_ms() - MIN_MEMBER_TIMEOUT_MS
        named_ms = self.named_addresses_ms.values()
        return not self.members or any(since_ms > latest_ms for since_ms in named_ms)

    def expire(self) -> list[str]:
        """Remove silent members and return their addresses.

        Named addresses are removed as well after `NAMED_ADDRESS_TIMEOUT_MS`.
        """
        now_ms = self.clock.now_ms()
        silent = [
            ip
            for ip, member in self.members.items()
            if now_ms - member.last_heartbeat_ms > member.timeout_ms
        ]
        for ip in silent:
            del self.members[ip]
        for ip, first_named_ms in list(self.named_addresses_ms.items()):
            if now_ms - first_named_ms > NAMED_ADDRESS_TIMEOUT_MS:
                del self.named_addresses_ms[ip]
        return silent

    def list_live(self) -> list[str]:
        """Return the live balancers that are not about to stop."""
        return [
            ip for ip, member in self.members.items() if not member.heartbeat.is_leaving
        ]

    def list_live_in_zone(self, zone: str) -> list[str]:
        """Return the live balancers of a zone that are not about to stop."""
        return [
            ip
            for ip in self.list_live()
            if self.members[ip].heartbeat.availability_zone == zone
        ]

    def list_heartbeat_targets(self) -> set[str]:
        """Return the addresses to which this balancer sends heartbeats."""
        return self.seeds | self.members.keys() | self.named_addresses_ms.keys()
