"""Who is there: the platform's lagging list, corrected by what peers state."""

import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import xxhash

from citronwinch.coordination._clock import Clock
from citronwinch.coordination._instances import (
    Instance,
    InstanceRole,
    InstanceState,
)
from citronwinch.coordination._placement import hash_seed
from citronwinch.coordination.spread._messages import MemberFact, MemberStatus

VIEW_OWN_ZONE = 24
"""The most members of the own availability zone that are probed."""

VIEW_OWN_REGION = 6
"""The most members of other availability zones of the region that are probed."""

VIEW_OTHER_REGIONS = 4
"""The most members of other regions that are probed."""

FACTS_PER_MESSAGE = 4
"""The most facts that one probe or answer carries."""

FACT_REPEATS_PER_DOUBLING = 3
"""How often a fact is repeated for each doubling of the fleet."""

FORGET_UNLISTED_MS = 60_000
"""How long a member is kept that is unreachable and in no list, in milliseconds."""

UNLISTED_LIMIT = 4_096
"""The most members that are kept although no list has them."""


class Member(NamedTuple):
    """What is known of one member."""

    instance: Instance
    """The instance, as listed or as it described itself."""

    incarnation: int
    """The highest incarnation that was stated; 0 when only the list names it."""

    status: MemberStatus
    """What is known of that incarnation."""

    is_listed: bool
    """Whether the platform's newest list has it."""

    changed_ms: int
    """When incarnation or status last changed."""


class Rumor(NamedTuple):
    """A fact that still rides on messages."""

    fact: MemberFact
    """The fact."""

    sends_left: int
    """How often it is still sent."""


class MemberView(NamedTuple):
    """The bounded part of the fleet that a member probes and talks to."""

    own_zone: tuple[str, ...]
    """Members of the own availability zone."""

    own_region: tuple[str, ...]
    """Members of other availability zones of the own region."""

    other_regions: tuple[str, ...]
    """Members of other regions."""


class Membership:
    """The members of the fleet as one of them sees it.

    A fact replaces another on the same member when its incarnation is higher, or when
    the incarnation is the same and its status is higher. Only the member itself
    raises its incarnation, so that only it can refute a suspicion.
    """

    def __init__(
        self, own: Instance, incarnation: int, clock: Clock, source: random.Random
    ) -> None:
        self.own = own
        self.incarnation = incarnation
        self.own_status = MemberStatus.LIVE
        self.is_listed_leaving = False
        self.is_stopping = False
        self.clock = clock
        self.source = source
        self.members: dict[str, Member] = {}
        self.rumors: dict[str, Rumor] = {}
        self.unreachable: set[str] = set()
        self.change_count = 0
        self.view_change_count = -1
        self.cached_view = MemberView((), (), ())
        self.complete: list[str] = []
        self.state_change(MemberStatus.LIVE)

    def accept_list(self, instances: Iterable[Instance]) -> None:
        """Take the platform's newest list."""
        listed = {item.name: item for item in instances}
        own = listed.pop(self.own.name, None)
        if own is not None:
            self._follow_own_state(own.state)
        now_ms = self.clock.now_ms()
        for name, instance in listed.items():
            known = self.members.get(name)
            if known is None:
                status = MemberStatus.LIVE
                self.members[name] = Member(instance, 0, status, True, now_ms)
                self.change_count += 1
            elif not known.is_listed or known.instance != instance:
                self.members[name] = known._replace(instance=instance, is_listed=True)
                self.change_count += 1
        for name, known in list(self.members.items()):
            if name in listed or not known.is_listed:
                continue
            self.change_count += 1
            if known.incarnation and known.status is not MemberStatus.UNREACHABLE:
                self.members[name] = known._replace(is_listed=False)
            else:
                self.forget(name)

    def _follow_own_state(self, listed: InstanceState) -> None:
        is_listed_leaving = listed is InstanceState.LEAVING
        if is_listed_leaving == self.is_listed_leaving:
            return
        self.is_listed_leaving = is_listed_leaving
        if is_listed_leaving:
            self.state_change(MemberStatus.LEAVING)
        elif not self.is_stopping:
            self.incarnation += 1
            self.state_change(MemberStatus.LIVE)

    def begin_stop(self) -> None:
        """Say from now on that this process is leaving."""
        self.is_stopping = True
        self.state_change(MemberStatus.LEAVING)

    def accept_fact(self, fact: MemberFact) -> bool:
        """Take a statement; return whether it was news."""
        name = fact.name
        if name == self.own.name:
            return self.refute(fact)
        known = self.members.get(name)
        described = fact.instance
        if known is not None and (fact.incarnation, fact.status) <= (
            known.incarnation,
            known.status,
        ):
            return False
        if known is None and (described is None or not self._has_room()):
            return False
        is_listed = known is not None and known.is_listed
        is_later_run = known is None or fact.incarnation > known.incarnation
        if described is not None and (is_later_run or not is_listed):
            instance = described
        else:
            assert known is not None
            instance = known.instance
        self.members[name] = Member(
            instance, fact.incarnation, fact.status, is_listed, self.clock.now_ms()
        )
        if fact.status is MemberStatus.UNREACHABLE:
            self.unreachable.add(name)
        else:
            self.unreachable.discard(name)
        if known is None or known.status != fact.status or known.instance != instance:
            self.change_count += 1
        if known is None or known.status != fact.status:
            self.spread_fact(fact)
        return True

    def refute(self, fact: MemberFact) -> bool:
        """Contradict a suspicion of this process with a higher incarnation."""
        if fact.incarnation < self.incarnation or (
            fact.incarnation == self.incarnation and fact.status <= self.own_status
        ):
            return False
        self.incarnation = fact.incarnation + 1
        self.state_change(self.own_status)
        return True

    def state_change(self, status: MemberStatus) -> None:
        """Spread this process's own status."""
        self.own_status = status
        self.change_count += 1
        self.spread_fact(self.own_fact())

    def own_fact(self) -> MemberFact:
        """Return the statement of this process about itself."""
        return MemberFact(self.own.name, self.incarnation, self.own_status, self.own)

    def spread_fact(self, fact: MemberFact) -> None:
        """Let a fact ride on the next messages; it replaces an older one."""
        rounds = max(2, len(self.members).bit_length())
        self.rumors[fact.name] = Rumor(fact, FACT_REPEATS_PER_DOUBLING * rounds)

    def take_facts(self, receiver: str) -> tuple[MemberFact, ...]:
        """Return the facts for one message, the least sent first.

        A receiver that is suspected is told so first, that it may refute it.
        """
        facts: list[MemberFact] = []
        known = self.members.get(receiver)
        if known is not None and known.status in (
            MemberStatus.SUSPECT,
            MemberStatus.UNREACHABLE,
        ):
            facts.append(MemberFact(receiver, known.incarnation, known.status))
        if not self.rumors:
            return tuple(facts)
        chosen = sorted(
            self.rumors.values(),
            key=lambda rumor: (-rumor.sends_left, rumor.fact.name),
        )
        for rumor in chosen[: FACTS_PER_MESSAGE - len(facts)]:
            name = rumor.fact.name
            if name != receiver:
                facts.append(rumor.fact)
            if rumor.sends_left <= 1:
                del self.rumors[name]
            else:
                self.rumors[name] = rumor._replace(sends_left=rumor.sends_left - 1)
        return tuple(facts)

    def forget(self, name: str) -> None:
        """Drop a member."""
        self.members.pop(name, None)
        self.rumors.pop(name, None)
        self.unreachable.discard(name)
        self.change_count += 1

    def forget_gone(self) -> None:
        """Drop members that are in no list and have been unreachable for long."""
        limit_ms = self.clock.now_ms() - FORGET_UNLISTED_MS
        for name in sorted(self.unreachable):
            member = self.members[name]
            if not member.is_listed and member.changed_ms < limit_ms:
                self.forget(name)

    def list_instances(self) -> dict[str, Instance]:
        """Return all members, with the state that follows from list and facts."""
        result = {self.own.name: self._describe_own()}
        for name, member in self.members.items():
            result[name] = describe_member(member)
        return result

    @property
    def view(self) -> MemberView:
        """The members that this process probes and talks to."""
        if self.view_change_count != self.change_count:
            self.view_change_count = self.change_count
            self.cached_view = self._compute_view()
            self.complete = [
                name
                for name, member in self.members.items()
                if member.instance.role is InstanceRole.BALANCER and is_usable(member)
            ]
        return self.cached_view

    def choose_push_targets(self, count: int) -> Sequence[str]:
        """Return members to tell of news: most of them near, one far."""
        view = self.view
        chosen: list[str] = []
        groups = [view.own_region or view.own_zone]
        if view.other_regions and self.source.random() < 0.25:
            groups = [view.other_regions]
        near = min(count - 1, len(view.own_zone))
        chosen += self.source.sample(view.own_zone, near)
        far = [name for group in groups for name in group if name not in chosen]
        if far:
            chosen.append(self.source.choice(far))
        return chosen

    def choose_complete_peers(self, count: int) -> Sequence[str]:
        """Return balancers, those of the own availability zone first."""
        _ = self.view
        own_zone = self.own.availability_zone
        near = [n for n in self.complete if self.zone_of(n) == own_zone]
        far = [n for n in self.complete if self.zone_of(n) != own_zone]
        chosen = self.source.sample(near, min(count - 1, len(near)))
        rest = count - len(chosen)
        return chosen + self.source.sample(far, min(rest, len(far)))

    def choose_join_peers(self, count: int) -> Sequence[str]:
        """Return members of as many availability zones as possible."""
        by_zone: dict[str, list[str]] = {}
        for name, member in self.members.items():
            if is_usable(member):
                by_zone.setdefault(member.instance.availability_zone, []).append(name)
        zones = list(by_zone)
        self.source.shuffle(zones)
        chosen: list[str] = []
        while zones and len(chosen) < count:
            zone = zones.pop(0)
            names = by_zone[zone]
            chosen.append(names.pop(self.source.randrange(len(names))))
            if names:
                zones.append(zone)
        return chosen

    def keeps_all_rows(self, name: str) -> bool:
        """Return whether a member is a balancer."""
        member = self.members.get(name)
        return member is not None and member.instance.role is InstanceRole.BALANCER

    def zone_of(self, name: str) -> str:
        """Return a member's availability zone, empty when it is unknown."""
        member = self.members.get(name)
        return member.instance.availability_zone if member else ""

    def _compute_view(self) -> MemberView:
        groups: tuple[list[str], ...] = ([], [], [])
        for name, member in self.members.items():
            if is_usable(member):
                groups[self._distance(member.instance)].append(name)
        own_zone, own_region, other_regions = groups
        return MemberView(
            self._choose_nearest(own_zone, VIEW_OWN_ZONE),
            self._choose_nearest(own_region, VIEW_OWN_REGION),
            self._choose_nearest(other_regions, VIEW_OTHER_REGIONS),
        )

    def _choose_nearest(self, names: list[str], count: int) -> tuple[str, ...]:
        if len(names) > count:
            seed = hash_seed(self.own.name)
            names.sort(key=lambda name: xxhash.xxh3_64_intdigest(name.encode(), seed))
        else:
            names.sort()
        return tuple(names[:count])

    def _distance(self, instance: Instance) -> int:
        if instance.availability_zone == self.own.availability_zone:
            return 0
        return 1 if instance.region == self.own.region else 2

    def _describe_own(self) -> Instance:
        leaving = self.own_status is MemberStatus.LEAVING
        state = InstanceState.LEAVING if leaving else InstanceState.LIVE
        return self.own._replace(state=state)

    def _has_room(self) -> bool:
        if len(self.members) < UNLISTED_LIMIT:
            return True
        unlisted = sum(not member.is_listed for member in self.members.values())
        return unlisted < UNLISTED_LIMIT


def is_usable(member: Member) -> bool:
    """Return whether a member is worth talking to."""
    return member.status is not MemberStatus.UNREACHABLE


def describe_member(member: Member) -> Instance:
    """Return a member's instance with the state that follows from all that is known."""
    if member.status is MemberStatus.UNREACHABLE:
        return member.instance._replace(state=InstanceState.UNREACHABLE)
    if member.status is MemberStatus.LEAVING:
        return member.instance._replace(state=InstanceState.LEAVING)
    return member.instance
