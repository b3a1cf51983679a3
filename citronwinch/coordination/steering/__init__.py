"""Steering: placing flows on backend servers and finding their owners again."""

from citronwinch.coordination.steering._actions import (
    AgentAction,
    Deliver,
    EndFlow,
    PassOn,
    Refuse,
    RestoreFlow,
    Send,
    TellBalancer,
)
from citronwinch.coordination.steering._agent import AgentSteering
from citronwinch.coordination.steering._balancer import (
    BalancerSteering,
    Packet,
    Route,
)
from citronwinch.coordination.steering._messages import (
    FlowRecord,
    Forward,
    HandOver,
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
    TakeBack,
)
from citronwinch.coordination.steering._owned import OwnedFlow

__all__ = [
    "AgentAction",
    "AgentSteering",
    "BalancerSteering",
    "Deliver",
    "EndFlow",
    "FlowRecord",
    "Forward",
    "HandOver",
    "Hint",
    "LeaseAnswer",
    "LeaseRequest",
    "MemberSilent",
    "OwnedFlow",
    "Packet",
    "PassOn",
    "Probe",
    "Query",
    "QueryAnswer",
    "Refuse",
    "Register",
    "RegisterAck",
    "RestoreFlow",
    "Route",
    "Send",
    "SteeringMessage",
    "TakeBack",
    "TellBalancer",
]
