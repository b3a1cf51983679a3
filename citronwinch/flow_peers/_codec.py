"""Encoding of the messages and views that balancers and agents exchange.

They are for flows whose bytes are opaque. The first byte of a datagram is the kind of
its message. A returned packet follows unchanged. In a forwarded packet, the length of
the service's name, in one byte, and the name stand before the unchanged packet. Copying
a packet unchanged costs no encoding. Any other message follows as packed Cap'n Proto.

A view is packed Cap'n Proto without a kind; balancers fetch it over HTTP.
"""

import struct
import zlib
from collections.abc import Collection
from functools import lru_cache, singledispatch
from pathlib import Path
from typing import Any

import capnp

from citronwinch.coordination import Endpoint, FlowKey
from citronwinch.coordination.flows import (
    BackendServer,
    Configuration,
    FlowAnswer,
    FlowLocation,
    FlowLocations,
    FlowLookup,
    FlowQuestion,
    ForwardedOpening,
    ForwardedPacket,
    Heartbeat,
    LoadReport,
    Message,
    ReturnedPacket,
    Route,
    RouteClass,
    ServerListing,
    ServerState,
    ServiceLimits,
    ServiceShare,
    StorePosition,
    Verdict,
    ViewAnswer,
    ZoneEvacuation,
    pack_route_address,
)
from citronwinch.network import MalformedMessageError


class Schema:
    """The schema of the messages, which is loaded at the first use of a type."""

    def __getattr__(self, name: str) -> Any:
        capnp.remove_import_hook()
        schema = capnp.load(str(Path(__file__).with_name("flows.capnp")))
        self.__dict__ |= {
            "Configuration": schema.Configuration,
            "FlowMessage": schema.FlowMessage,
            "View": schema.View,
        }
        return getattr(schema, name)


SCHEMA: Any = Schema()
"""The schema of the messages."""

# The kinds of messages; a control message is packed Cap'n Proto.
KIND_FORWARDED = 1
KIND_RETURNED = 2
KIND_CONTROL = 3
KIND_OPENING = 4

OPENING_HEADER = struct.Struct("!BBBHI")
"""What follows the kind of a forwarded opening: layout version, whether it is the last
choice, priority, latency objective and timeout in milliseconds."""

OPENING_VERSION = 1
"""The layout of `OPENING_HEADER`."""

COMPRESSION_LEVEL = 1
"""The zlib level for configurations and views, 1 to 9; higher ones cost time and save
little."""

MAX_DECOMPRESSED_BYTES = 4 << 20
"""The largest size of a decompressed configuration or view, in bytes; four times the
platform's largest value."""

MAX_MESSAGE_WORDS = 1 << 20
"""The most 8-byte words that a decoded message may hold."""


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
        message.is_last_choice,
        min(route_class.priority, 0xFF),
        min(route_class.latency_objective_ms, 0xFFFF),
        min(route_class.timeout_ms, 0xFFFFFFFF),
    )
    kind = bytes((KIND_OPENING,))
    return kind + header + bytes((len(service),)) + service + message.raw


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
    entries = body.init("evacuations", len(message.evacuations))
    for entry, evacuation in zip(entries, message.evacuations, strict=True):
        entry.zone, entry.isActive = evacuation.zone, evacuation.is_active
        entry.era, entry.revision = evacuation.position
    body.serverSlots = message.server_slots
    body.serverWarmupLeftMs = message.server_warmup_left_ms
    body.warmupPerS = message.warmup_per_s
    return _pack(builder)


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
    return _pack(builder)


@encode_flow_message.register
def _(message: FlowLocations) -> bytes:
    builder = SCHEMA.FlowMessage.new_message()
    bodies = builder.init("locations", len(message.locations))
    for body, location in zip(bodies, message.locations, strict=True):
        body.flow, body.agent, body.service = location
    return _pack(builder)


@encode_flow_message.register
def _(message: FlowLookup) -> bytes:
    builder = SCHEMA.FlowMessage.new_message()
    builder.init("lookup").flow = message.flow
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
        raise MalformedMessageError(f"expected a message kind of 1 to 3, found {kind}")
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
    _, is_last_choice, *numbers = OPENING_HEADER.unpack_from(data, 1)
    start = name_start + data[name_start - 1]
    try:
        service = data[name_start:start].decode()
    except UnicodeDecodeError as error:
        raise MalformedMessageError(f"service name: {error}") from error
    return ForwardedOpening(
        service, RouteClass(*numbers), bool(is_last_choice), data[start:]
    )


def _decode_control(data: bytes) -> Message:
    reader = SCHEMA.FlowMessage.from_bytes_packed(
        data, traversal_limit_in_words=MAX_MESSAGE_WORDS
    )
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
            tuple(
                ZoneEvacuation(
                    entry.zone, entry.isActive, StorePosition(entry.era, entry.revision)
                )
                for entry in body.evacuations
            ),
            body.serverSlots,
            body.serverWarmupLeftMs,
            body.warmupPerS,
        )
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
        )
    if kind == "question":
        body = reader.question
        return FlowQuestion(FlowKey(bytes(body.flow)), body.acknowledged)
    if kind == "locations":
        return FlowLocations(
            tuple(
                FlowLocation(FlowKey(bytes(body.flow)), body.agent, body.service)
                for body in reader.locations
            )
        )
    if kind == "lookup":
        return FlowLookup(FlowKey(bytes(reader.lookup.flow)))
    body = reader.answer
    return FlowAnswer(FlowKey(bytes(body.flow)), Verdict(body.verdict))


class ViewEncoder:
    """Encodes a balancer's view for other balancers.

    A configuration is encoded and compressed only once, since many balancers fetch it.
    """

    def __init__(self) -> None:
        self.cached_configuration: Configuration | None = None
        self.encoded_configuration = b""

    def encode(self, view: ViewAnswer) -> bytes:
        """Return the encoded view, which is the body of an HTTP response."""
        if view.configuration is not None:
            self._cache_configuration(view.configuration)
        encoded_configuration = (
            self.encoded_configuration if view.configuration is not None else b""
        )
        return _encode_view(view, encoded_configuration)

    def _cache_configuration(self, configuration: Configuration) -> None:
        if configuration is self.cached_configuration:
            return
        builder = SCHEMA.Configuration.new_message()
        _fill_configuration(builder, configuration)
        self.cached_configuration = configuration
        self.encoded_configuration = zlib.compress(
            builder.to_bytes_packed(), COMPRESSION_LEVEL
        )


def _encode_view(view: ViewAnswer, configuration: bytes) -> bytes:
    # `configuration` is the view's encoded configuration, empty if it has none.
    builder = SCHEMA.View.new_message()
    builder.era, builder.revision = view.listing.position
    builder.listingAgeMs = view.listing_age_ms
    _fill_servers(builder, "servers", view.listing.servers.values())
    _fill_servers(builder, "retained", view.retained)
    builder.configuration = configuration
    builder.configurationVersion = view.configuration_version
    builder.configurationEra = view.configuration_position.era
    builder.configurationRevision = view.configuration_position.revision
    builder.baseDigest = view.base_digest
    builder.removed = list(view.removed)
    packed: bytes = builder.to_bytes_packed()
    return packed


def _fill_servers(builder: Any, field: str, servers: Collection[BackendServer]) -> None:
    # `builder` and each `body` are Cap'n Proto builders.
    for body, server in zip(builder.init(field, len(servers)), servers, strict=True):
        body.name = server.name
        body.service = server.service
        body.ip, body.port = server.address
        body.availabilityZone = server.availability_zone
        body.state = int(server.state)
        body.slots = server.slots
        body.startedMs = server.started_ms
        body.warmupLeftMs = server.warmup_left_ms


def _fill_configuration(builder: Any, configuration: Configuration) -> None:
    # `builder` and each `body` are Cap'n Proto builders.
    builder.version = configuration.version
    builder.flowIdleMs = configuration.flow_idle_ms
    services = builder.init("services", len(configuration.services))
    for body, (name, limits) in zip(
        services, configuration.services.items(), strict=True
    ):
        body.name, body.warmupPerS = name, limits.warmup_per_s
    routes = builder.init("routes", len(configuration.routes))
    for body, route in zip(routes, configuration.routes.values(), strict=True):
        body.name = route.name
        body.ip, body.port = route.address
        body.priority = route.priority
        body.latencyObjectiveMs = route.latency_objective_ms
        body.timeoutMs = route.timeout_ms
        body.hasLargeRequests = route.has_large_requests
        shares = body.init("shares", len(route.shares))
        for share_body, share in zip(shares, route.shares, strict=True):
            share_body.service, share_body.weight = share


def compress_view(encoded: bytes) -> bytes:
    """Return an encoded view in compressed form; names in a listing repeat much."""
    return zlib.compress(encoded, COMPRESSION_LEVEL)


def decode_compressed_view(data: bytes) -> ViewAnswer:
    """Decode a compressed view; raise MalformedMessageError if it is malformed."""
    try:
        return decode_view(_decompress(data, "view"))
    except (ValueError, zlib.error) as error:
        raise MalformedMessageError(f"view: {error}") from error


def decode_view(data: bytes) -> ViewAnswer:
    """Decode a view; raise MalformedMessageError if it is malformed."""
    try:
        reader = SCHEMA.View.from_bytes_packed(
            data, traversal_limit_in_words=MAX_MESSAGE_WORDS
        )
        servers = {body.name: _read_server(body) for body in reader.servers}
        configuration = None
        if reader.configuration:
            configuration = _decode_configuration(reader.configuration)
        position = StorePosition(reader.era, reader.revision)
        listing = ServerListing(position, servers)
        retained = tuple(_read_server(body) for body in reader.retained)
        return ViewAnswer(
            listing,
            reader.listingAgeMs,
            configuration,
            retained,
            reader.configurationVersion,
            StorePosition(reader.configurationEra, reader.configurationRevision),
            reader.baseDigest,
            tuple(reader.removed),
        )
    except (capnp.KjException, ValueError, UnicodeDecodeError, zlib.error) as error:
        raise MalformedMessageError(f"view: {error}") from error


def _decode_configuration(data: bytes) -> Configuration:
    packed = _decompress(data, "configuration")
    reader = SCHEMA.Configuration.from_bytes_packed(
        packed, traversal_limit_in_words=MAX_MESSAGE_WORDS
    )
    return _read_configuration(reader)


def _decompress(data: bytes, content: str) -> bytes:
    inflater = zlib.decompressobj()
    packed = inflater.decompress(data, MAX_DECOMPRESSED_BYTES)
    if inflater.unconsumed_tail or not inflater.eof:
        raise ValueError(
            f"{content}: expected up to {MAX_DECOMPRESSED_BYTES} bytes, "
            "found more, or not all of them"
        )
    return packed


def _read_server(body: Any) -> BackendServer:
    # `body` is a Cap'n Proto reader.
    return BackendServer(
        body.name,
        body.service,
        Endpoint(body.ip, body.port),
        body.availabilityZone,
        ServerState(body.state),
        body.slots,
        body.startedMs,
        body.warmupLeftMs,
    )


def _read_configuration(body: Any) -> Configuration:
    # `body` is a Cap'n Proto reader.
    routes = {}
    for route_body in body.routes:
        shares = tuple(
            ServiceShare(share.service, share.weight) for share in route_body.shares
        )
        route = Route(
            route_body.name,
            Endpoint(route_body.ip, route_body.port),
            shares,
            route_body.priority,
            route_body.latencyObjectiveMs,
            route_body.timeoutMs,
            route_body.hasLargeRequests,
        )
        routes[pack_route_address(route.address)] = route
    services = {
        limits.name: ServiceLimits(limits.warmupPerS) for limits in body.services
    }
    return Configuration(body.version, routes, body.flowIdleMs, services)
