"""Encoding of messages that steer flows to their owners."""

from collections.abc import Callable, Iterable
from typing import Any

from citronwinch.coordination import FlowKey
from citronwinch.coordination.requests import RequestKind, RequestMetadata
from citronwinch.coordination.steering import (
    FlowsQuery,
    FlowTransferAck,
    FlowTransferEnd,
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
from citronwinch.peers._codec import fill_message
from citronwinch.peers._handover_codec import read_flow_transfer


@fill_message.register
def _(message: Forward, envelope_builder: Any) -> None:
    builder = envelope_builder.init("forward")
    builder.flow = message.flow
    builder.service = message.service
    builder.packet = message.packet
    builder.balancer = message.balancer
    builder.hops = message.hops
    builder.opens = message.opens
    builder.pinned = message.pinned
    builder.ends = message.ends
    if message.decider:
        builder.decider = message.decider
        builder.decision = message.decision
        builder.revision = message.revision
    if message.declined:
        builder.declined = list(message.declined)
    if message.request is not None:
        fill_request_metadata(message.request, builder.init("request"))


@fill_message.register
def _(message: Hint, envelope_builder: Any) -> None:
    builder = envelope_builder.init("hint")
    builder.flow = message.flow
    builder.owner = message.owner


def fill_request_metadata(request: RequestMetadata, builder: Any) -> None:
    """Write request metadata into a builder."""
    builder.kind = int(request.kind)
    builder.requestId = request.request_id
    builder.repeatable = request.repeatable
    builder.remainingMs = request.remaining_ms
    builder.part = request.part
    builder.partCount = request.part_count
    builder.ageMs = request.age_ms


def read_forward(reader: Any) -> Forward:
    """Return the forwarded packet in a reader."""
    request = read_request_metadata(reader.request) if reader._has("request") else None
    return Forward(
        FlowKey(bytes(reader.flow)),
        reader.service,
        bytes(reader.packet),
        reader.balancer,
        reader.hops,
        reader.opens,
        reader.pinned,
        request,
        reader.ends,
        reader.decider,
        reader.decision,
        reader.revision,
        tuple(reader.declined),
    )


def read_hint(reader: Any) -> Hint:
    """Return the hint in a reader."""
    return Hint(FlowKey(bytes(reader.flow)), reader.owner)


def read_request_metadata(reader: Any) -> RequestMetadata:
    """Return the request metadata in a reader."""
    return RequestMetadata(
        RequestKind(reader.kind),
        bytes(reader.requestId),
        reader.repeatable,
        reader.remainingMs,
        reader.part,
        reader.partCount,
        reader.ageMs,
    )


@fill_message.register
def _(message: LeaseRequest, envelope_builder: Any) -> None:
    builder = envelope_builder.init("steering").init("leaseRequest")
    builder.service = message.service
    builder.revision = message.revision
    builder.sentMs = message.sent_ms
    builder.isLeaving = message.is_leaving
    builder.incarnation = message.incarnation


@fill_message.register
def _(message: LeaseAnswer, envelope_builder: Any) -> None:
    builder = envelope_builder.init("steering").init("leaseAnswer")
    builder.service = message.service
    builder.revision = message.revision
    builder.sentMs = message.sent_ms
    builder.isGranted = message.is_granted
    builder.isComplete = message.is_complete
    builder.holdsFlows = message.owns_flows
    builder.isLeaving = message.is_leaving
    builder.hasDeparted = message.has_departed
    builder.silent = list(message.silent)
    builder.former = list(message.former)
    builder.isLearning = message.is_learning


@fill_message.register
def _(message: Register, envelope_builder: Any) -> None:
    builder = envelope_builder.init("steering").init("register")
    builder.service = message.service
    builder.number = message.number
    builder.flows = pack_flow_keys(message.flows)
    builder.ended = pack_flow_keys(message.ended)


@fill_message.register
def _(message: RegisterAck, envelope_builder: Any) -> None:
    envelope_builder.init("steering").init("registerAck").number = message.number


@fill_message.register
def _(message: Query, envelope_builder: Any) -> None:
    builder = envelope_builder.init("steering").init("query")
    builder.service = message.service
    builder.flow = message.flow
    builder.revision = message.revision


@fill_message.register
def _(message: QueryAnswer, envelope_builder: Any) -> None:
    builder = envelope_builder.init("steering").init("queryAnswer")
    builder.flow = message.flow
    builder.revision = message.revision
    builder.owner = message.owner
    builder.awayMs = message.away_ms


@fill_message.register
def _(message: Probe, envelope_builder: Any) -> None:
    envelope_builder.init("steering").init("probe").isAnswer = message.is_answer


@fill_message.register
def _(message: MemberSilent, envelope_builder: Any) -> None:
    envelope_builder.init("steering").init("memberSilent").agent = message.agent


def pack_flow_keys(keys: Iterable[FlowKey]) -> bytes:
    """Return the concatenated flow keys, each preceded by its length in one byte.

    Example::

        >>> keys = (FlowKey(bytes(13)), FlowKey(bytes(37)))
        >>> unpack_flow_keys(pack_flow_keys(keys)) == (
        ...     bytes(13),
        ...     bytes(37),
        ... )
        True
    """
    return b"".join(bytes([len(key)]) + key for key in keys)


def unpack_flow_keys(data: bytes) -> tuple[FlowKey, ...]:
    """Return the flow keys in packed bytes; raise ValueError when one is truncated."""
    keys: list[FlowKey] = []
    position = 0
    while position < len(data):
        end = position + 1 + data[position]
        if end > len(data):
            raise ValueError("a flow key extends past the end of the message")
        keys.append(FlowKey(data[position + 1 : end]))
        position = end
    return tuple(keys)


def read_lease_request(reader: Any) -> LeaseRequest:
    """Return the lease request in a reader."""
    return LeaseRequest(
        reader.service,
        reader.revision,
        reader.sentMs,
        reader.isLeaving,
        reader.incarnation,
    )


def read_lease_answer(reader: Any) -> LeaseAnswer:
    """Return the lease answer in a reader."""
    return LeaseAnswer(
        reader.service,
        reader.revision,
        reader.sentMs,
        reader.isGranted,
        reader.isComplete,
        reader.holdsFlows,
        reader.isLeaving,
        reader.hasDeparted,
        tuple(reader.silent),
        tuple(reader.former),
        reader.isLearning,
    )


def read_register(reader: Any) -> Register:
    """Return the registration in a reader."""
    return Register(
        reader.service,
        reader.number,
        unpack_flow_keys(bytes(reader.flows)),
        unpack_flow_keys(bytes(reader.ended)),
    )


def read_steering_message(reader: Any) -> SteeringMessage:
    """Return the message in a reader of the steering union."""
    message_type = str(reader.which())
    return _READERS[message_type](getattr(reader, message_type))


_READERS: dict[str, Callable[[Any], SteeringMessage]] = {
    "leaseRequest": read_lease_request,
    "leaseAnswer": read_lease_answer,
    "register": read_register,
    "registerAck": lambda reader: RegisterAck(reader.number),
    "query": lambda reader: Query(
        reader.service, FlowKey(bytes(reader.flow)), reader.revision
    ),
    "queryAnswer": lambda reader: QueryAnswer(
        FlowKey(bytes(reader.flow)), reader.revision, reader.owner, reader.awayMs
    ),
    "probe": lambda reader: Probe(reader.isAnswer),
    "memberSilent": lambda reader: MemberSilent(reader.agent),
    "flowTransfer": read_flow_transfer,
    "flowTransferAck": lambda reader: FlowTransferAck(
        reader.number, reader.part, reader.incarnation
    ),
    "flowTransferEnd": lambda reader: FlowTransferEnd(
        reader.incarnation, reader.number, reader.isCommitted
    ),
    "flowsQuery": lambda reader: FlowsQuery(reader.incarnation, reader.firstPart),
}
