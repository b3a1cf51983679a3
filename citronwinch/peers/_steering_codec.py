"""Encoding of messages about flows."""

from collections.abc import Callable, Iterable
from typing import Any

from citronwinch.coordination import FlowKey
from citronwinch.coordination.requests import RequestKind, RequestMetadata
from citronwinch.coordination.steering import (
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


@fill_message.register
def _(message: Forward, envelope: Any) -> None:
    target = envelope.init("forward")
    target.flow = message.flow
    target.service = message.service
    target.packet = message.packet
    target.balancer = message.balancer
    target.hops = message.hops
    target.opens = message.opens
    target.pinned = message.pinned
    target.ends = message.ends
    if message.decider:
        target.decider = message.decider
        target.decision = message.decision
        target.revision = message.revision
    if message.declined:
        target.declined = list(message.declined)
    if message.request is not None:
        fill_request(message.request, target.init("request"))


@fill_message.register
def _(message: Hint, envelope: Any) -> None:
    target = envelope.init("hint")
    target.flow = message.flow
    target.owner = message.owner


def fill_request(request: RequestMetadata, target: Any) -> None:
    """Write request metadata into its builder."""
    target.kind = int(request.kind)
    target.requestId = request.request_id
    target.repeatable = request.repeatable
    target.remainingMs = request.remaining_ms
    target.part = request.part
    target.partCount = request.part_count
    target.ageMs = request.age_ms


def read_forward(reader: Any) -> Forward:
    """Return the forwarded packet in a reader."""
    request = read_request(reader.request) if reader._has("request") else None
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


def read_request(reader: Any) -> RequestMetadata:
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
def _(message: LeaseRequest, envelope: Any) -> None:
    target = envelope.init("steering").init("leaseRequest")
    target.service = message.service
    target.revision = message.revision
    target.sentMs = message.sent_ms
    target.isLeaving = message.is_leaving
    target.incarnation = message.incarnation


@fill_message.register
def _(message: LeaseAnswer, envelope: Any) -> None:
    target = envelope.init("steering").init("leaseAnswer")
    target.service = message.service
    target.revision = message.revision
    target.sentMs = message.sent_ms
    target.isGranted = message.is_granted
    target.isComplete = message.is_complete
    target.holdsFlows = message.holds_flows
    target.isLeaving = message.is_leaving
    target.hasDeparted = message.has_departed
    target.silent = list(message.silent)
    target.former = list(message.former)
    target.isLearning = message.is_learning


@fill_message.register
def _(message: Register, envelope: Any) -> None:
    target = envelope.init("steering").init("register")
    target.service = message.service
    target.number = message.number
    target.flows = pack_keys(message.flows)
    target.ended = pack_keys(message.ended)


@fill_message.register
def _(message: RegisterAck, envelope: Any) -> None:
    envelope.init("steering").init("registerAck").number = message.number


@fill_message.register
def _(message: Query, envelope: Any) -> None:
    target = envelope.init("steering").init("query")
    target.service = message.service
    target.flow = message.flow
    target.revision = message.revision


@fill_message.register
def _(message: QueryAnswer, envelope: Any) -> None:
    target = envelope.init("steering").init("queryAnswer")
    target.flow = message.flow
    target.revision = message.revision
    target.owner = message.owner


@fill_message.register
def _(message: Probe, envelope: Any) -> None:
    envelope.init("steering").init("probe").isAnswer = message.is_answer


@fill_message.register
def _(message: MemberSilent, envelope: Any) -> None:
    envelope.init("steering").init("memberSilent").agent = message.agent


def pack_keys(keys: Iterable[FlowKey]) -> bytes:
    """Return flow keys, each behind its length in one byte.

    Example::

        >>> unpack_keys(pack_keys([FlowKey(bytes(13)), FlowKey(bytes(37))])) == (
        ...     bytes(13),
        ...     bytes(37),
        ... )
        True
    """
    return b"".join(bytes([len(key)]) + key for key in keys)


def unpack_keys(data: bytes) -> tuple[FlowKey, ...]:
    """Return the flow keys in packed bytes; raise ValueError when they are cut off."""
    keys: list[FlowKey] = []
    position = 0
    while position < len(data):
        end = position + 1 + data[position]
        if end > len(data):
            raise ValueError("a flow key runs past the end of the message")
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
        unpack_keys(bytes(reader.flows)),
        unpack_keys(bytes(reader.ended)),
    )


def read_steering(reader: Any) -> SteeringMessage:
    """Return the message in the union of steering messages."""
    kind = str(reader.which())
    return _READERS[kind](getattr(reader, kind))


_READERS: dict[str, Callable[[Any], SteeringMessage]] = {
    "leaseRequest": read_lease_request,
    "leaseAnswer": read_lease_answer,
    "register": read_register,
    "registerAck": lambda reader: RegisterAck(reader.number),
    "query": lambda reader: Query(
        reader.service, FlowKey(bytes(reader.flow)), reader.revision
    ),
    "queryAnswer": lambda reader: QueryAnswer(
        FlowKey(bytes(reader.flow)), reader.revision, reader.owner
    ),
    "probe": lambda reader: Probe(reader.isAnswer),
    "memberSilent": lambda reader: MemberSilent(reader.agent),
}
