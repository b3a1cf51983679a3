"""The instances that run the system's processes."""

from enum import Enum
from typing import NamedTuple

from citronwinch.coordination._address import Endpoint


class InstanceRole(Enum):
    """What an instance's process does."""

    BALANCER = "balancer"
    AGENT = "agent"


class InstanceState(Enum):
    """Whether an instance stays or is on its way out."""

    LIVE = "live"
    LEAVING = "leaving"

    UNREACHABLE = "unreachable"
    """Its peers get no answer: it takes no new work, but established flows are still
    tried, since a wrong verdict must not break them."""


class Instance(NamedTuple):
    """One process of the system, as the platform lists it."""

    name: str
    """Its unique name; an agent is named after its backend server."""

    role: InstanceRole
    """What it does."""

    availability_zone: str
    """Where it runs."""

    address: Endpoint
    """Where its peers send to."""

    state: InstanceState = InstanceState.LIVE
    """Whether it stays."""

    region: str = ""
    """The region of its availability zone; empty where there is only one."""
