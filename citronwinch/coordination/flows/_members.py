"""The balancers that this balancer knows."""

from collections.abc import Iterable
from typing import NamedTuple

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._messages import Heartbeat

MEMBER_TIMEOUT_MS = 3_500
"""How long a silent balancer counts as live, in milliseconds: three heartbeats and
half a second for delay."""

CANDIDATE_TIMEOUT_MS = 10_000
"""How long an address that others named is tried without an answer, in milliseconds."""


class Member(NamedTuple):
    """A balancer that was heard from."""

    heartbeat: Heartbeat
    """Its last heartbeat."""

    last_heartbeat_ms: int
    """When that arrived."""


class BalancerMembers:
    """The live balancers, learned from heartbeats and from a few first addresses."""

    def __init__(self, own_ip: str, seeds: Iterable[str], clock: Clock) -> None:
        self.own_ip = own_ip
        self.clock = clock
        self.set_seeds(seeds)
        self.members: dict[str, Member] = {}
        self.candidates: dict[str, int] = {}

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Use other first addresses."""
        self.seeds = set(seeds) - {self.own_ip}

    def handle_heartbeat(self, ip: str, heartbeat: Heartbeat) -> bool:
        """Take a heartbeat; return whether its sender is new or has restarted.

        The delayed heartbeat of an earlier incarnation is ignored.
        """
        now_ms = self.clock.now_ms()
        known = self.members.get(ip)
        if known is not None and heartbeat.incarnation < known.heartbeat.incarnation:
            return False
        self.members[ip] = Member(heartbeat, now_ms)
        self.candidates.pop(ip, None)
        for other in heartbeat.balancers:
            if other != self.own_ip and other not in self.members:
                self.candidates.setdefault(other, now_ms)
        return known is None or heartbeat.incarnation > known.heartbeat.incarnation

    def expire(self) -> list[str]:
        """Drop silent balancers; return their addresses."""
        now_ms = self.clock.now_ms()
        silent = [
            ip
            for ip, member in self.members.items()
            if now_ms - member.last_heartbeat_ms > MEMBER_TIMEOUT_MS
        ]
        for ip in silent:
            del self.members[ip]
        for ip, first_named_ms in list(self.candidates.items()):
            if now_ms - first_named_ms > CANDIDATE_TIMEOUT_MS:
                del self.candidates[ip]
        return silent

    def list_live(self) -> list[str]:
        """Return the balancers that stay."""
        return [
            ip for ip, member in self.members.items() if not member.heartbeat.is_leaving
        ]

    def list_heartbeat_targets(self) -> set[str]:
        """Return every address that a heartbeat goes to."""
        return self.seeds | self.members.keys() | self.candidates.keys()
