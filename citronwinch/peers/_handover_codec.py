"""Encoding of messages that transfer flows from one run of an agent to the next."""

from typing import Any

from citronwinch.coordination import FlowKey, unpack_flow_key
from citronwinch.coordination.steering import (
    FlowsQuery,
    FlowTransfer,
    FlowTransferAck,
    FlowTransferEnd,
    TransferredFlow,
)
from citronwinch.peers._codec import fill_message


@fill_message.register
def _(message: FlowTransfer, envelope_builder: Any) -> None:
    builder = envelope_builder.init("steering").init("flowTransfer")
    builder.agent = message.agent
    builder.incarnation = message.incarnation
    builder.number = message.number
    builder.ageMs = message.age_ms
    builder.service = message.service
    builder.path = message.path
    builder.part = message.part
    builder.partCount = message.part_count
    receivers = builder.init("receivers", len(message.receivers))
    for (name, incarnation), receiver in zip(message.receivers, receivers, strict=True):
        receiver.name = name
        receiver.incarnation = incarnation
    flows = builder.init("flows", len(message.flows))
    for transferred, flow_builder in zip(message.flows, flows, strict=True):
        flow_builder.flow = transferred.flow
        flow_builder.decisionNumber = transferred.decision_number
        flow_builder.localPort = transferred.local_port


@fill_message.register
def _(message: FlowTransferAck, envelope_builder: Any) -> None:
    builder = envelope_builder.init("steering").init("flowTransferAck")
    builder.number = message.number
    builder.part = message.part
    builder.incarnation = message.incarnation


@fill_message.register
def _(message: FlowTransferEnd, envelope_builder: Any) -> None:
    builder = envelope_builder.init("steering").init("flowTransferEnd")
    builder.incarnation = message.incarnation
    builder.number = message.number
    builder.isCommitted = message.is_committed


@fill_message.register
def _(message: FlowsQuery, envelope_builder: Any) -> None:
    builder = envelope_builder.init("steering").init("flowsQuery")
    builder.incarnation = message.incarnation
    builder.firstPart = message.first_part


def read_flow_transfer(reader: Any) -> FlowTransfer:
    """Return the flow transfer in a reader; raise ValueError when it is malformed."""
    if reader.part >= max(1, reader.partCount):
        raise ValueError(
            f"expected a part below {reader.partCount}, found part {reader.part}"
        )
    return FlowTransfer(
        reader.agent,
        reader.incarnation,
        reader.number,
        reader.ageMs,
        reader.service,
        reader.path,
        tuple((receiver.name, receiver.incarnation) for receiver in reader.receivers),
        reader.part,
        reader.partCount,
        tuple(read_transferred_flow(flow) for flow in reader.flows),
    )


def read_transferred_flow(reader: Any) -> TransferredFlow:
    """Return the flow in a reader; raise ValueError when its key is malformed."""
    flow = FlowKey(bytes(reader.flow))
    unpack_flow_key(flow)
    return TransferredFlow(flow, reader.decisionNumber, reader.localPort)
