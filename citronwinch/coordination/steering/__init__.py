"""Steering: assigns flows to backend servers and routes packets to their owners."""

from citronwinch.coordination.steering._actions import (
    AgentAction,
    Deliver,
    EndFlow,
    ForwardToAgent,
    Refuse,
    Send,
    SendHint,
)
from citronwinch.coordination.steering._agent import AgentSteering
from citronwinch.coordination.steering._balancer import (
    BalancerSteering,
    Packet,
    Route,
)
from citronwinch.coordination.steering._messages import (
    Forward,
    Hint,
    LeaseAnswer,
    LeaseRequest,
    MemberSilent,
    Probe,
    Query,
    QueryAnswer,
    Register,
    RegisterAck,
    SteeringMessage,
)
from citronwinch.coordination.steering._owned import OwnedFlow

__all__ = [
    "AgentAction",
    "AgentSteering",
    "BalancerSteering",
    "Deliver",
    "EndFlow",
    "Forward",
    "ForwardToAgent",
    "Hint",
    "LeaseAnswer",
    "LeaseRequest",
    "MemberSilent",
    "OwnedFlow",
    "Packet",
    "Probe",
    "Query",
    "QueryAnswer",
    "Refuse",
    "Register",
    "RegisterAck",
    "Route",
    "Send",
    "SendHint",
    "SteeringMessage",
]
