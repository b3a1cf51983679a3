"""Steering: placing flows on backend servers and finding their owners again."""

from citronwinch.coordination.steering._agent import (
    AgentAction,
    AgentSteering,
    Deliver,
    OwnedFlow,
    PassOn,
    Refuse,
    TellBalancer,
)
from citronwinch.coordination.steering._balancer import (
    BalancerSteering,
    Packet,
    Route,
)
from citronwinch.coordination.steering._messages import Forward, Hint, SteeringMessage

__all__ = [
    "AgentAction",
    "AgentSteering",
    "BalancerSteering",
    "Deliver",
    "Forward",
    "Hint",
    "OwnedFlow",
    "Packet",
    "PassOn",
    "Refuse",
    "Route",
    "SteeringMessage",
    "TellBalancer",
]
