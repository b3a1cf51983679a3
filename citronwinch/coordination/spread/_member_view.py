"""What is known of members, and the bounded view of them that a process probes."""

from collections.abc import Mapping
from typing import NamedTuple

import xxhash

from citronwinch.coordination._instances import Instance, InstanceState
from citronwinch.coordination._placement import hash_seed
from citronwinch.coordination.spread._messages import MemberStatus

VIEW_OWN_ZONE = 24
"""The most members of the own availability zone that are probed."""

VIEW_OWN_REGION = 6
"""The most members of other availability zones of the region that are probed."""

VIEW_OTHER_REGIONS = 4
"""The most members of other regions that are probed."""


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


class MemberView(NamedTuple):
    """The bounded part of the fleet that a member probes and talks to."""

    own_zone: tuple[str, ...]
    """Members of the own availability zone."""

    own_region: tuple[str, ...]
    """Members of other availability zones of the own region."""

    other_regions: tuple[str, ...]
    """Members of other regions."""


def compute_view(own: Instance, members: Mapping[str, Member]) -> MemberView:
    """Return the view of a process: members chosen by rendezvous hashing."""
    groups: tuple[list[str], ...] = ([], [], [])
    for name, member in members.items():
        if is_usable(member):
            groups[_distance(own, member.instance)].append(name)
    own_zone, own_region, other_regions = groups
    return MemberView(
        _choose_nearest(own, own_zone, VIEW_OWN_ZONE),
        _choose_nearest(own, own_region, VIEW_OWN_REGION),
        _choose_nearest(own, other_regions, VIEW_OTHER_REGIONS),
    )


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


def _choose_nearest(own: Instance, names: list[str], count: int) -> tuple[str, ...]:
    if len(names) > count:
        seed = hash_seed(own.name)
        names.sort(key=lambda name: xxhash.xxh3_64_intdigest(name.encode(), seed))
    else:
        names.sort()
    return tuple(names[:count])


def _distance(own: Instance, instance: Instance) -> int:
    if instance.availability_zone == own.availability_zone:
        return 0
    return 1 if instance.region == own.region else 2
