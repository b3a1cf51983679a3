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
from citronwinch.coordination.steering._flow_handover import ReturnedTransfer
from citronwinch.coordination.steering._left_flows import LeftFlows
from citronwinch.coordination.steering._messages import (
    FlowsQuery,
    FlowTransfer,
    FlowTransferAck,
    FlowTransferEnd,
    Forward,
    HandoverMessage,
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
    TransferredFlow,
)
from citronwinch.coordination.steering._owned import OwnedFlow

__all__ = [
    "AgentAction",
    "AgentSteering",
    "BalancerSteering",
    "Deliver",
    "EndFlow",
    "FlowTransfer",
    "FlowTransferAck",
    "FlowTransferEnd",
    "FlowsQuery",
    "Forward",
    "ForwardToAgent",
    "HandoverMessage",
    "Hint",
    "LeaseAnswer",
    "LeaseRequest",
    "LeftFlows",
    "MemberSilent",
    "OwnedFlow",
    "Packet",
    "Probe",
    "Query",
    "QueryAnswer",
    "Refuse",
    "Register",
    "RegisterAck",
    "ReturnedTransfer",
    "Route",
    "Send",
    "SendHint",
    "SteeringMessage",
    "TransferredFlow",
]
