"""Encoding of the messages that balancers and agents exchange.

They are for flows whose bytes are opaque. The first byte of a datagram is the kind of
its message. A returned packet follows unchanged. In a forwarded packet, the length of
the service's name, in one byte, and the name stand before the unchanged packet. Copying
a packet unchanged costs no encoding. Any other message follows as packed Cap'n Proto.
"""

import struct
from functools import lru_cache, singledispatch
from typing import Any

import capnp

from citronwinch.coordination import FlowKey
from citronwinch.coordination.flows import (
    FlowAnswer,
    FlowAnswers,
    FlowLocation,
    FlowLocations,
    FlowLookup,
    FlowQuestion,
    FlowQuestions,
    ForwardedOpening,
    ForwardedPacket,
    Heartbeat,
    KnownBalancers,
    LoadReport,
    Message,
    ReturnedPacket,
    RouteClass,
    StorePosition,
    Verdict,
    ViewOffer,
    ZoneEvacuation,
)
from citronwinch.flow_peers._schema import MAX_MESSAGE_WORDS, SCHEMA
from citronwinch.network import MalformedMessageError, read_packed_message

# The kinds of messages; a control message is packed Cap'n Proto.
KIND_FORWARDED = 1
KIND_RETURNED = 2
KIND_CONTROL = 3
KIND_OPENING = 4

OPENING_HEADER = struct.Struct("!BBBHI")
"""What follows the kind of a forwarded opening: layout version, flags and age,
priority, latency objective and timeout in milliseconds."""

LAST_CHOICE_FLAG = 1
"""The bit of the flags and age that marks a last choice."""

OPENING_AGE_STEP_MS = 16
"""The resolution of the age, in milliseconds. It is stored in the 7 bits above the
flag; an agent of an earlier version takes an opening with an age for a last choice."""

MAX_OPENING_AGE_STEPS = 127
"""The highest age, in steps."""

OPENING_VERSION = 1
"""The layout of `OPENING_HEADER`."""


@singledispatch
def encode_flow_message(message: Message) -> bytes:
    """Return the datagram of a message."""
    raise TypeError(f"no encoding for {type(message).__name__}")


@lru_cache(maxsize=1024)
def _encode_forwarded_prefix(service: str) -> bytes:
    """Return what stands before a forwarded packet of a service."""
    name = service.encode()
    return bytes((KIND_FORWARDED, len(name))) + name


@encode_flow_message.register
def encode_forwarded(message: ForwardedPacket) -> bytes:
    """Return the datagram of a forwarded packet."""
    return _encode_forwarded_prefix(message.service) + message.raw


@encode_flow_message.register
def _(message: ForwardedOpening) -> bytes:
    service = message.service.encode()
    route_class = message.route_class
    header = OPENING_HEADER.pack(
        OPENING_VERSION,
        _encode_flags_and_age(message),
        min(route_class.priority, 0xFF),
        min(route_class.latency_objective_ms, 0xFFFF),
        min(route_class.timeout_ms, 0xFFFFFFFF),
    )
    kind = bytes((KIND_OPENING,))
    return kind + header + bytes((len(service),)) + service + message.raw


def _encode_flags_and_age(message: ForwardedOpening) -> int:
    steps = min(max(message.age_ms, 0) // OPENING_AGE_STEP_MS, MAX_OPENING_AGE_STEPS)
    return steps << 1 | (LAST_CHOICE_FLAG if message.is_last_choice else 0)


@encode_flow_message.register
def _(message: ReturnedPacket) -> bytes:
    return bytes((KIND_RETURNED,)) + message.raw


@encode_flow_message.register
def _(message: Heartbeat) -> bytes:
    builder = SCHEMA.FlowMessage.new_message()
    body = builder.init("heartbeat")
    body.incarnation = message.incarnation
    body.availabilityZone = message.availability_zone
    body.isLeaving = message.is_leaving
    body.era, body.revision = message.listing_position
    body.listingDigest = message.listing_digest
    body.listingAgeMs = message.listing_age_ms
    body.configurationVersion = message.configuration_version
    body.balancers = list(message.balancers)
    body.serverStartedMs = message.server_started_ms
    body.settlesInMs = message.remaining_grace_ms
    body.configurationEra, body.configurationRevision = message.configuration_position
    body.intervalMs = message.interval_ms
    _set_evacuations(body, message.evacuations)
    body.serverSlots = message.server_slots
    body.serverWarmupLeftMs = message.server_warmup_left_ms
    body.warmupPerS = message.warmup_per_s
    body.formerKnownForMs = message.former_known_for_ms
    body.uptimeMs = min(message.uptime_ms, 0xFFFFFFFF)
    body.asksForBalancers = message.asks_for_balancers
    body.agentHeardMs = min(message.agent_heard_ms, 0xFFFFFFFF)
    return _pack(builder)


@encode_flow_message.register
def _(message: KnownBalancers) -> bytes:
    builder = SCHEMA.FlowMessage.new_message()
    builder.knownBalancers = list(message.addresses)
    return _pack(builder)


def _set_evacuations(body: Any, evacuations: tuple[ZoneEvacuation, ...]) -> None:
    entries = body.init("evacuations", len(evacuations))
    for entry, evacuation in zip(entries, evacuations, strict=True):
        entry.zone, entry.isActive = evacuation.zone, evacuation.is_active
        entry.era, entry.revision = evacuation.position


def _get_evacuations(body: Any) -> tuple[ZoneEvacuation, ...]:
    return tuple(
        ZoneEvacuation(
            entry.zone, entry.isActive, StorePosition(entry.era, entry.revision)
        )
        for entry in body.evacuations
    )


@encode_flow_message.register
def _(message: LoadReport) -> bytes:
    builder = SCHEMA.FlowMessage.new_message()
    body = builder.init("loadReport")
    body.service = message.service
    body.openFlows = message.open_flows
    body.waiting = message.waiting
    body.latencyMs = message.latency_ms
    body.busyThousandths = round(message.busy_share * 1000)
    body.acceptsFlows = message.accepts_flows
    body.failedThousandths = round(message.failed_share * 1000)
    body.endedServerMs = message.ended_server_ms
    body.serviceMs = message.service_ms
    body.queued = message.queued
    body.openingRoom = message.opening_room
    body.isServerUnreachable = message.is_server_unreachable
    return _pack(builder)


@encode_flow_message.register
def _(message: FlowQuestion) -> bytes:
    builder = SCHEMA.FlowMessage.new_message()
    body = builder.init("question")
    body.flow = message.flow
    body.acknowledged = message.acknowledged
    return _pack(builder)


@encode_flow_message.register
def _(message: FlowAnswer) -> bytes:
    builder = SCHEMA.FlowMessage.new_message()
    body = builder.init("answer")
    body.flow = message.flow
    body.verdict = int(message.verdict)
    if message.server_first_sequence is not None:
        body.statesSequence = True
        body.serverFirstSequence = message.server_first_sequence
    return _pack(builder)


@encode_flow_message.register
def _(message: FlowQuestions) -> bytes:
    builder = SCHEMA.FlowMessage.new_message()
    body = builder.init("questions")
    body.number = message.number
    body.flows = [question.flow for question in message.questions]
    body.acknowledged = [question.acknowledged for question in message.questions]
    return _pack(builder)


@encode_flow_message.register
def _(message: FlowAnswers) -> bytes:
    builder = SCHEMA.FlowMessage.new_message()
    body = builder.init("answers")
    body.number = message.number
    body.verdicts = bytes(message.verdicts)
    return _pack(builder)


@encode_flow_message.register
def _(message: FlowLocations) -> bytes:
    builder = SCHEMA.FlowMessage.new_message()
    bodies = builder.init("locations", len(message.locations))
    for body, location in zip(bodies, message.locations, strict=True):
        body.flow, body.agent, body.service = location
    builder.uptimeMs = min(message.uptime_ms, 0xFFFFFFFF)
    return _pack(builder)


@encode_flow_message.register
def _(message: FlowLookup) -> bytes:
    builder = SCHEMA.FlowMessage.new_message()
    builder.init("lookup").flow = message.flow
    return _pack(builder)


@encode_flow_message.register
def _(message: ViewOffer) -> bytes:
    builder = SCHEMA.FlowMessage.new_message()
    body = builder.init("viewOffer")
    body.configurationVersion = message.configuration_version
    body.era, body.revision = message.listing_position
    body.listingAgeMs = min(max(message.listing_age_ms, 0), 0xFFFFFFFF)
    _set_evacuations(body, message.evacuations)
    return _pack(builder)


def _pack(builder: Any) -> bytes:
    packed: bytes = builder.to_bytes_packed()
    return bytes((KIND_CONTROL,)) + packed


def decode_flow_message(data: bytes) -> Message:
    """Return the message of a datagram; raise MalformedMessageError if invalid."""
    kind = data[0] if data else 0
    if kind == KIND_FORWARDED and len(data) > 2:
        start = 2 + data[1]
        try:
            return ForwardedPacket(data[2:start].decode(), data[start:])
        except UnicodeDecodeError as error:
            raise MalformedMessageError(f"service name: {error}") from error
    if kind == KIND_OPENING:
        return _decode_opening(data)
    if kind == KIND_RETURNED:
        return ReturnedPacket(data[1:])
    if kind != KIND_CONTROL:
        raise MalformedMessageError(f"expected a message kind of 1 to 4, found {kind}")
    try:
        return _decode_control(data[1:])
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        raise MalformedMessageError(f"control message: {error}") from error


def _decode_opening(data: bytes) -> ForwardedOpening:
    name_start = 2 + OPENING_HEADER.size
    if len(data) <= name_start or data[1] != OPENING_VERSION:
        raise MalformedMessageError(
            f"opening: expected layout {OPENING_VERSION} and more than {name_start} "
            f"bytes, found {data[1:2]!r} and {len(data)}"
        )
    _, flags_and_age, *numbers = OPENING_HEADER.unpack_from(data, 1)
    start = name_start + data[name_start - 1]
    try:
        service = data[name_start:start].decode()
    except UnicodeDecodeError as error:
        raise MalformedMessageError(f"service name: {error}") from error
    return ForwardedOpening(
        service,
        RouteClass(*numbers),
        bool(flags_and_age & LAST_CHOICE_FLAG),
        data[start:],
        (flags_and_age >> 1) * OPENING_AGE_STEP_MS,
    )


def _decode_control(data: bytes) -> Message:
    reader = read_packed_message(SCHEMA.FlowMessage, data, MAX_MESSAGE_WORDS)
    kind = str(reader.which())
    if kind == "heartbeat":
        body = reader.heartbeat
        return Heartbeat(
            body.incarnation,
            body.availabilityZone,
            body.isLeaving,
            StorePosition(body.era, body.revision),
            body.listingDigest,
            body.listingAgeMs,
            body.configurationVersion,
            tuple(body.balancers),
            body.serverStartedMs,
            body.settlesInMs,
            StorePosition(body.configurationEra, body.configurationRevision),
            body.intervalMs,
            _get_evacuations(body),
            body.serverSlots,
            body.serverWarmupLeftMs,
            body.warmupPerS,
            body.formerKnownForMs,
            body.uptimeMs,
            body.asksForBalancers,
            body.agentHeardMs,
        )
    if kind == "knownBalancers":
        return KnownBalancers(tuple(reader.knownBalancers))
    if kind == "loadReport":
        body = reader.loadReport
        return LoadReport(
            body.service,
            body.openFlows,
            body.waiting,
            body.latencyMs,
            body.busyThousandths / 1000,
            body.acceptsFlows,
            body.failedThousandths / 1000,
            body.endedServerMs,
            body.serviceMs,
            body.queued,
            body.openingRoom,
            body.isServerUnreachable,
        )
    if kind == "question":
        body = reader.question
        return FlowQuestion(FlowKey(bytes(body.flow)), body.acknowledged)
    if kind == "questions":
        return _decode_questions(reader.questions)
    if kind == "answers":
        body = reader.answers
        verdicts = tuple(Verdict(value) for value in bytes(body.verdicts))
        return FlowAnswers(body.number, verdicts)
    if kind == "locations":
        return FlowLocations(
            tuple(
                FlowLocation(FlowKey(bytes(body.flow)), body.agent, body.service)
                for body in reader.locations
            ),
            reader.uptimeMs,
        )
    if kind == "viewOffer":
        body = reader.viewOffer
        return ViewOffer(
            body.configurationVersion,
            StorePosition(body.era, body.revision),
            body.listingAgeMs,
            _get_evacuations(body),
        )
    if kind == "lookup":
        return FlowLookup(FlowKey(bytes(reader.lookup.flow)))
    body = reader.answer
    return FlowAnswer(
        FlowKey(bytes(body.flow)),
        Verdict(body.verdict),
        body.serverFirstSequence if body.statesSequence else None,
    )


def _decode_questions(body: Any) -> FlowQuestions:
    flows, acknowledged = list(body.flows), list(body.acknowledged)
    if len(flows) != len(acknowledged):
        raise MalformedMessageError(
            f"questions: expected one acknowledgement for each of {len(flows)} flows, "
            f"found {len(acknowledged)}"
        )
    return FlowQuestions(
        body.number,
        tuple(
            FlowQuestion(FlowKey(bytes(flow)), number)
            for flow, number in zip(flows, acknowledged, strict=True)
        ),
    )
