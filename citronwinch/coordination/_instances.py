"""The instances, each of which is one process of the system."""

from enum import Enum
from typing import NamedTuple

from citronwinch.coordination._address import Endpoint


class InstanceRole(Enum):
    """The kind of process that an instance runs."""

    BALANCER = "balancer"
    AGENT = "agent"


class InstanceState(Enum):
    """Whether an instance is live, leaving or unreachable."""

    LIVE = "live"
    LEAVING = "leaving"

    UNREACHABLE = "unreachable"
    """The instance does not answer its peers. It gets no new flows, but packets of
    established flows are still sent to it, because the state may be a false positive
    and must not break these flows."""


class Instance(NamedTuple):
    """One process of the system, as the platform lists it."""

    name: str
    """The unique name; an agent is named after its backend server."""

    role: InstanceRole
    """The kind of process."""

    availability_zone: str
    """The availability zone that the instance runs in."""

    address: Endpoint
    """The address at which the instance receives messages from its peers."""

    state: InstanceState = InstanceState.LIVE
    """Whether the instance is live, leaving or unreachable."""

    region: str = ""
    """The region of the availability zone; empty if there is only one region."""
