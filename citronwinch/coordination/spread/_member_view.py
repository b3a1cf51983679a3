"""What a process knows of a member, and the bounded view of members that it probes."""

from collections.abc import Mapping
from typing import NamedTuple

import xxhash

from citronwinch.coordination._instances import Instance, InstanceState
from citronwinch.coordination._placement import hash_seed
from citronwinch.coordination.spread._messages import MemberStatus

OWN_ZONE_VIEW_LIMIT = 24
"""The most members of the own availability zone that are probed."""

OWN_REGION_VIEW_LIMIT = 6
"""The most members of other availability zones of the region that are probed."""

OTHER_REGIONS_VIEW_LIMIT = 4
"""The most members of other regions that are probed."""


class Member(NamedTuple):
    """What a process knows of one member."""

    instance: Instance
    """The instance, from the platform's listing or from the member's own fact."""

    incarnation: int
    """The highest known incarnation; 0 if the member is known from the listing only."""

    status: MemberStatus
    """The status of that incarnation."""

    is_listed: bool
    """Whether the platform's newest listing has the member."""

    changed_ms: int
    """When the member was added, or last got a new incarnation or status."""


class MemberView(NamedTuple):
    """The bounded part of the fleet that a process probes and pushes to."""

    own_zone: tuple[str, ...]
    """Members in the own availability zone."""

    own_region: tuple[str, ...]
    """Members in the other availability zones of the own region."""

    other_regions: tuple[str, ...]
    """Members in other regions."""


def compute_view(own: Instance, members: Mapping[str, Member]) -> MemberView:
    """Return the view of a process, chosen by rendezvous hashing with its name."""
    groups: tuple[list[str], ...] = ([], [], [])
    for name, member in members.items():
        if is_usable(member):
            groups[_group_index(own, member.instance)].append(name)
    own_zone, own_region, other_regions = groups
    return MemberView(
        _choose_by_hash(own, own_zone, OWN_ZONE_VIEW_LIMIT),
        _choose_by_hash(own, own_region, OWN_REGION_VIEW_LIMIT),
        _choose_by_hash(own, other_regions, OTHER_REGIONS_VIEW_LIMIT),
    )


def is_usable(member: Member) -> bool:
    """Return whether a member may be chosen as receiver: all but unreachable ones may.

    An unreachable member gets only an occasional probe, to notice its return.
    """
    return member.status is not MemberStatus.UNREACHABLE


def describe_member(member: Member) -> Instance:
    """Return a member's instance with the state that follows from its status."""
    if member.status is MemberStatus.UNREACHABLE:
        return member.instance._replace(state=InstanceState.UNREACHABLE)
    if member.status is MemberStatus.LEAVING:
        return member.instance._replace(state=InstanceState.LEAVING)
    return member.instance


def _choose_by_hash(own: Instance, names: list[str], count: int) -> tuple[str, ...]:
    if len(names) > count:
        seed = hash_seed(own.name)
        names.sort(key=lambda name: xxhash.xxh3_64_intdigest(name.encode(), seed))
    else:
        names.sort()
    return tuple(names[:count])


def _group_index(own: Instance, instance: Instance) -> int:
    if instance.availability_zone == own.availability_zone:
        return 0
    return 1 if instance.region == own.region else 2
