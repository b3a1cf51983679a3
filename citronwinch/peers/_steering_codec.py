"""Encoding of messages about flows."""

from typing import Any

from citronwinch.coordination import FlowKey
from citronwinch.coordination.requests import RequestKind, RequestMetadata
from citronwinch.coordination.steering import Forward, Hint
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
