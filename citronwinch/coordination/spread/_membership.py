"""The members of the fleet, from the platform's listing and from gossip.

The listing lags behind, and facts that members gossip correct it.
"""

import itertools
import random
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from citronwinch.coordination._clock import Clock
from citronwinch.coordination._instances import (
    Instance,
    InstanceRole,
    InstanceState,
)
from citronwinch.coordination.spread._member_view import (
    Member,
    MemberView,
    compute_view,
    describe_member,
    is_usable,
)
from citronwinch.coordination.spread._messages import MemberFact, MemberStatus

FACTS_PER_MESSAGE = 8
"""The most facts that one probe or answer carries."""

FACT_REPEATS_PER_DOUBLING = 2
"""The number of messages that carry a fact, per doubling of the fleet's size.

A process attaches a fact to this many messages for each binary digit of the number of
members (2 digits at least), since gossip needs more rounds to reach more members.
"""

UNLISTED_RETENTION_MS = 60_000
"""How long an unreachable member that is not listed is stored, in milliseconds."""

LISTING_LAG_MS = 30_000
"""How far the platform's listing may lag, in milliseconds.

For this long after a peer reported this process as leaving, a listing that shows it as
live counts as outdated.
"""

VIEW_INTERVAL_MS = 5_000
"""The shortest time between two computations of the view, in milliseconds."""

UNLISTED_LIMIT = 4_096
"""The most members that are stored although the platform does not list them."""


class QueuedFact(NamedTuple):
    """A fact that is still attached to probes and answers."""

    fact: MemberFact
    """The fact."""

    sends_left: int
    """The number of messages that are still to carry it."""


class Membership:
    """The members of the fleet as one process knows them.

    A fact replaces another about the same member when its incarnation is higher, or
    when the incarnation is the same and its status is higher. Only the member itself
    raises its incarnation, so that only the member can refute a suspicion of it.
    """

    def __init__(
        self, own: Instance, incarnation: int, clock: Clock, rng: random.Random
    ) -> None:
        self.own = own
        self.incarnation = incarnation
        self.own_status = MemberStatus.LIVE
        self.is_listed = False
        self.leaving_reported_ms = 0
        self.is_stopping = False
        self.clock = clock
        self.rng = rng
        self.members: dict[str, Member] = {}
        self.instances: dict[str, Instance] = {}
        self.queued_facts: OrderedDict[str, QueuedFact] = OrderedDict()
        self.unreachable: set[str] = set()
        self.change_count = 0
        self.view_change_count = -1
        self.view_due_ms = clock.now_ms()
        self.cached_view = MemberView((), (), ())
        self.usable_balancers: list[str] = []
        self.announce_status(MemberStatus.LIVE)

    def accept_listing(self, instances: Iterable[Instance]) -> None:
        """Add, update and remove members after the platform's newest listing."""
        listed = {item.name: item for item in instances}
        own = listed.pop(self.own.name, None)
        self.is_listed = own is not None and own.address == self.own.address
        if own is not None:
            self._apply_listed_state(own.state)
        now_ms = self.clock.now_ms()
        for name, instance in listed.items():
            known = self.members.get(name)
            if known is None:
                status = MemberStatus.LIVE
                self._store_member(name, Member(instance, 0, status, True, now_ms))
                self.view_due_ms = now_ms
            elif not known.is_listed or known.instance != instance:
                self._store_member(
                    name, known._replace(instance=instance, is_listed=True)
                )
        for name, instance in listed.items():
            if instance.state is InstanceState.LEAVING:
                known = self.members[name]
                fact = MemberFact(name, known.incarnation, MemberStatus.LEAVING)
                self.accept_fact(fact)
        for name, known in list(self.members.items()):
            if name in listed or not known.is_listed:
                continue
            if known.incarnation and known.status is not MemberStatus.UNREACHABLE:
                self._store_member(name, known._replace(is_listed=False))
            else:
                self.remove_member(name)

    def _apply_listed_state(self, listed: InstanceState) -> None:
        if listed is InstanceState.LEAVING:
            if self.own_status is not MemberStatus.LEAVING:
                self.announce_status(MemberStatus.LEAVING)
            # The report is dated back by the lag, since it comes from the listing: a
            # later listing that shows this process as live applies at once.
            self.leaving_reported_ms = self.clock.now_ms() - LISTING_LAG_MS
            return
        reported_ago_ms = self.clock.now_ms() - self.leaving_reported_ms
        is_leaving = self.own_status is MemberStatus.LEAVING
        if is_leaving and not self.is_stopping and reported_ago_ms >= LISTING_LAG_MS:
            self.incarnation += 1
            self.announce_status(MemberStatus.LIVE)

    def start_leaving(self) -> None:
        """Announce that this process is leaving; the listing no longer changes that."""
        self.is_stopping = True
        self.announce_status(MemberStatus.LEAVING)

    def accept_fact(self, fact: MemberFact) -> bool:
        """Apply a fact to its member; return whether it replaced an older one."""
        name = fact.name
        if name == self.own.name:
            return self.handle_own_fact(fact)
        known = self.members.get(name)
        described_instance = fact.instance
        if known is not None and (fact.incarnation, fact.status) <= (
            known.incarnation,
            known.status,
        ):
            return False
        if known is None and (described_instance is None or not self._has_room()):
            return False
        is_listed = known is not None and known.is_listed
        is_newer_incarnation = known is None or fact.incarnation > known.incarnation
        if described_instance is not None and (is_newer_incarnation or not is_listed):
            instance = described_instance
        else:
            assert known is not None
            instance = known.instance
        is_status_change = known is None or known.status != fact.status
        member = Member(
            instance, fact.incarnation, fact.status, is_listed, self.clock.now_ms()
        )
        if is_status_change or (known is not None and known.instance != instance):
            self._store_member(name, member)
        else:
            self.members[name] = member
        if fact.status is MemberStatus.UNREACHABLE:
            self.unreachable.add(name)
        else:
            self.unreachable.discard(name)
        if is_status_change:
            self.queue_fact(fact)
        return True

    def handle_own_fact(self, fact: MemberFact) -> bool:
        """Apply a fact about this process; return whether the own fact changed.

        A suspicion is refuted by a higher incarnation. The status LEAVING is adopted
        instead: the platform lists this process as leaving, and a peer has read that
        listing first. A suspicion of an earlier incarnation has been refuted before,
        but its sender missed the refutation, which is therefore sent again.
        """
        own = (self.incarnation, self.own_status)
        if (fact.incarnation, fact.status) == own:
            return False
        # A peer that knows this process from the listing only states incarnation 0.
        if fact.status is MemberStatus.LEAVING and fact.incarnation in (
            0,
            self.incarnation,
        ):
            self.leaving_reported_ms = self.clock.now_ms()
            self.announce_status(MemberStatus.LEAVING)
            return True
        if (fact.incarnation, fact.status) < own:
            if fact.status in (MemberStatus.SUSPECT, MemberStatus.UNREACHABLE):
                self.queue_fact(self.own_fact())
            return False
        self.incarnation = fact.incarnation + 1
        self.announce_status(self.own_status)
        return True

    def announce_status(self, status: MemberStatus) -> None:
        """Set this process's own status and queue it as a fact."""
        self.own_status = status
        self.change_count += 1
        self.queue_fact(self.own_fact())

    def own_fact(self) -> MemberFact:
        """Return this process's fact about itself.

        The fact contains the instance until the platform lists it, since peers may not
        know the instance before.
        """
        described_instance = None if self.is_listed else self.own
        return MemberFact(
            self.own.name, self.incarnation, self.own_status, described_instance
        )

    def queue_fact(self, fact: MemberFact) -> None:
        """Attach a fact to the next messages; it replaces the member's older one."""
        doublings = max(2, len(self.members).bit_length())
        self.queued_facts[fact.name] = QueuedFact(
            fact, FACT_REPEATS_PER_DOUBLING * doublings
        )
        self.queued_facts.move_to_end(fact.name, last=False)

    def dequeue_facts(self, receiver: str) -> tuple[MemberFact, ...]:
        """Return the facts for one message: new ones first, then in rotation.

        A receiver that is suspected or unreachable gets the fact about itself first,
        so that it can refute it.
        """
        facts: list[MemberFact] = []
        known = self.members.get(receiver)
        if known is not None and known.status in (
            MemberStatus.SUSPECT,
            MemberStatus.UNREACHABLE,
        ):
            facts.append(MemberFact(receiver, known.incarnation, known.status))
        free_slots = FACTS_PER_MESSAGE - len(facts)
        for name, queued in list(
            itertools.islice(self.queued_facts.items(), free_slots)
        ):
            if name != receiver:
                facts.append(queued.fact)
            if queued.sends_left <= 1:
                del self.queued_facts[name]
            else:
                self.queued_facts[name] = queued._replace(
                    sends_left=queued.sends_left - 1
                )
                self.queued_facts.move_to_end(name)
        return tuple(facts)

    def remove_member(self, name: str) -> None:
        """Remove a member and the queued fact about it."""
        self.members.pop(name, None)
        self.instances.pop(name, None)
        self.queued_facts.pop(name, None)
        self.unreachable.discard(name)
        self.change_count += 1

    def expire(self) -> None:
        """Remove unlisted members that have been unreachable for too long."""
        limit_ms = self.clock.now_ms() - UNLISTED_RETENTION_MS
        for name in sorted(self.unreachable):
            member = self.members[name]
            if not member.is_listed and member.changed_ms < limit_ms:
                self.remove_member(name)

    def list_instances(self) -> dict[str, Instance]:
        """Return all members by name, with states derived from listing and facts."""
        return {self.own.name: self._describe_own(), **self.instances}

    def _store_member(self, name: str, member: Member) -> None:
        self.members[name] = member
        self.instances[name] = describe_member(member)
        self.change_count += 1

    @property
    def view(self) -> MemberView:
        """The members that this process probes and pushes to.

        Computed at most once per `VIEW_INTERVAL_MS`, together with `usable_balancers`.
        """
        now_ms = self.clock.now_ms()
        if self.view_change_count != self.change_count and now_ms >= self.view_due_ms:
            self.view_due_ms = now_ms + VIEW_INTERVAL_MS
            self.view_change_count = self.change_count
            self.cached_view = compute_view(self.own, self.members)
            self.usable_balancers = [
                name
                for name, member in self.members.items()
                if member.instance.role is InstanceRole.BALANCER and is_usable(member)
            ]
        return self.cached_view

    def choose_push_targets(self, count: int) -> Sequence[str]:
        """Return members for a push: all but one of the own zone, and one farther away.

        The farther one is in another availability zone of the own region or, in one
        call of four, in another region if the view has any. In a region without other
        availability zones it is one more member of the own zone.
        """
        view = self.view
        chosen: list[str] = []
        groups = [view.own_region or view.own_zone]
        if view.other_regions and self.rng.random() < 0.25:
            groups = [view.other_regions]
        near = min(count - 1, len(view.own_zone))
        chosen += self.rng.sample(view.own_zone, near)
        far = [name for group in groups for name in group if name not in chosen]
        if far:
            chosen.append(self.rng.choice(far))
        return chosen

    def choose_whole_table_peers(self, count: int) -> Sequence[str]:
        """Return balancers, if possible all but one of them in the own zone."""
        _ = self.view  # Reading the property refreshes `usable_balancers`.
        own_zone = self.own.availability_zone
        near = [n for n in self.usable_balancers if self.find_zone(n) == own_zone]
        far = [n for n in self.usable_balancers if self.find_zone(n) != own_zone]
        chosen = self.rng.sample(near, min(count - 1, len(near)))
        rest = count - len(chosen)
        return chosen + self.rng.sample(far, min(rest, len(far)))

    def choose_join_peers(self, count: int) -> Sequence[str]:
        """Return members of as many different availability zones as possible."""
        by_zone: dict[str, list[str]] = {}
        for name, member in self.members.items():
            if is_usable(member):
                by_zone.setdefault(member.instance.availability_zone, []).append(name)
        zones = list(by_zone)
        self.rng.shuffle(zones)
        chosen: list[str] = []
        while zones and len(chosen) < count:
            zone = zones.pop(0)
            names = by_zone[zone]
            chosen.append(names.pop(self.rng.randrange(len(names))))
            if names:
                zones.append(zone)
        return chosen

    def stores_whole_table(self, name: str) -> bool:
        """Return whether a member stores the whole table, as balancers do."""
        member = self.members.get(name)
        return member is not None and member.instance.role is InstanceRole.BALANCER

    def find_zone(self, name: str) -> str:
        """Return a member's availability zone, empty when it is unknown."""
        member = self.members.get(name)
        return member.instance.availability_zone if member else ""

    def _describe_own(self) -> Instance:
        leaving = self.own_status is MemberStatus.LEAVING
        state = InstanceState.LEAVING if leaving else InstanceState.LIVE
        return self.own._replace(state=state)

    def _has_room(self) -> bool:
        if len(self.members) < UNLISTED_LIMIT:
            return True
        unlisted = sum(not member.is_listed for member in self.members.values())
        return unlisted < UNLISTED_LIMIT
