"""Encoding of the messages between balancers and agents about flows.

The first byte tells the kind. Packets follow as they are, so that the packet path
pays for no encoding; everything else is a packed Cap'n Proto message.
"""

import zlib
from collections.abc import Collection
from functools import singledispatch
from pathlib import Path
from typing import Any

import capnp

from citronwinch.coordination import Endpoint, FlowKey
from citronwinch.coordination.flows import (
    BackendServer,
    Configuration,
    FlowAnswer,
    FlowQuestion,
    ForwardedPacket,
    Heartbeat,
    LoadReport,
    Message,
    ReturnedPacket,
    Route,
    ServerListing,
    ServerState,
    ServiceShare,
    Verdict,
    ViewAnswer,
    pack_route_address,
)
from citronwinch.network import MalformedMessageError

capnp.remove_import_hook()
SCHEMA: Any = capnp.load(str(Path(__file__).with_name("flows.capnp")))
"""The loaded schema of the messages."""

FORWARDED = 1
RETURNED = 2
CONTROL = 3

COMPRESSION_LEVEL = 1
"""How hard a configuration is compressed, 1 to 9; more costs time and saves little."""

CONFIGURATION_LIMIT_BYTES = 4 << 20
"""The most bytes that a decoded configuration may have; the platform's largest value
is a quarter of it."""

WORDS_LIMIT = 1 << 20
"""The most 8-byte words that a decoded message may hold."""


@singledispatch
def encode_flow_message(message: Message) -> bytes:
    """Return a message as one datagram."""
    raise TypeError(f"no encoding for {type(message).__name__}")


@encode_flow_message.register
def _(message: ForwardedPacket) -> bytes:
    service = message.service.encode()
    return bytes((FORWARDED, len(service))) + service + message.raw


@encode_flow_message.register
def _(message: ReturnedPacket) -> bytes:
    return bytes((RETURNED,)) + message.raw


@encode_flow_message.register
def _(message: Heartbeat) -> bytes:
    built = SCHEMA.FlowMessage.new_message()
    part = built.init("heartbeat")
    part.incarnation = message.incarnation
    part.availabilityZone = message.availability_zone
    part.isLeaving = message.is_leaving
    part.revision = message.revision
    part.listingDigest = message.listing_digest
    part.listingAgeMs = message.listing_age_ms
    part.configurationVersion = message.configuration_version
    part.balancers = list(message.balancers)
    part.serverStartedMs = message.server_started_ms
    part.settlesInMs = message.settles_in_ms
    part.configurationRevision = message.configuration_revision
    return _pack(built)


@encode_flow_message.register
def _(message: LoadReport) -> bytes:
    built = SCHEMA.FlowMessage.new_message()
    part = built.init("loadReport")
    part.service = message.service
    part.openFlows = message.open_flows
    part.waiting = message.waiting
    part.latencyMs = message.latency_ms
    part.busyThousandths = round(message.busy_share * 1000)
    part.acceptsFlows = message.accepts_flows
    part.failedThousandths = round(message.failed_share * 1000)
    return _pack(built)


@encode_flow_message.register
def _(message: FlowQuestion) -> bytes:
    built = SCHEMA.FlowMessage.new_message()
    part = built.init("question")
    part.flow = message.flow
    part.acknowledged = message.acknowledged
    return _pack(built)


@encode_flow_message.register
def _(message: FlowAnswer) -> bytes:
    built = SCHEMA.FlowMessage.new_message()
    part = built.init("answer")
    part.flow = message.flow
    part.verdict = int(message.verdict)
    return _pack(built)


def _pack(built: Any) -> bytes:
    packed: bytes = built.to_bytes_packed()
    return bytes((CONTROL,)) + packed


def decode_flow_message(data: bytes) -> Message:
    """Return the message of a datagram; raise MalformedMessageError for any other."""
    kind = data[0] if data else 0
    if kind == FORWARDED and len(data) > 2:
        start = 2 + data[1]
        try:
            return ForwardedPacket(data[2:start].decode(), data[start:])
        except UnicodeDecodeError as error:
            raise MalformedMessageError(f"service name: {error}") from error
    if kind == RETURNED:
        return ReturnedPacket(data[1:])
    if kind != CONTROL:
        raise MalformedMessageError(f"expected a message kind of 1 to 3, found {kind}")
    try:
        return _decode_control(data[1:])
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        raise MalformedMessageError(f"control message: {error}") from error


def _decode_control(data: bytes) -> Message:
    read = SCHEMA.FlowMessage.from_bytes_packed(
        data, traversal_limit_in_words=WORDS_LIMIT
    )
    kind = str(read.which())
    if kind == "heartbeat":
        part = read.heartbeat
        return Heartbeat(
            part.incarnation,
            part.availabilityZone,
            part.isLeaving,
            part.revision,
            part.listingDigest,
            part.listingAgeMs,
            part.configurationVersion,
            tuple(part.balancers),
            part.serverStartedMs,
            part.settlesInMs,
            part.configurationRevision,
        )
    if kind == "loadReport":
        part = read.loadReport
        return LoadReport(
            part.service,
            part.openFlows,
            part.waiting,
            part.latencyMs,
            part.busyThousandths / 1000,
            part.acceptsFlows,
            part.failedThousandths / 1000,
        )
    if kind == "question":
        part = read.question
        return FlowQuestion(FlowKey(bytes(part.flow)), part.acknowledged)
    part = read.answer
    return FlowAnswer(FlowKey(bytes(part.flow)), Verdict(part.verdict))


class ViewEncoder:
    """Encodes what a balancer knows, for other balancers.

    A configuration is encoded and compressed once, however many balancers fetch it.
    """

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.encoded = b""

    def encode(self, view: ViewAnswer) -> bytes:
        """Return a view as the body of an answer."""
        if view.configuration is not None:
            self._keep(view.configuration)
        encoded = self.encoded if view.configuration is not None else b""
        return _encode_view(view, encoded)

    def _keep(self, configuration: Configuration) -> None:
        if configuration is self.configuration:
            return
        built = SCHEMA.Configuration.new_message()
        _fill_configuration(built, configuration)
        self.configuration = configuration
        self.encoded = zlib.compress(built.to_bytes_packed(), COMPRESSION_LEVEL)


def _encode_view(view: ViewAnswer, configuration: bytes) -> bytes:
    built = SCHEMA.View.new_message()
    built.revision = view.listing.revision
    built.listingAgeMs = view.listing_age_ms
    _fill_servers(built, "servers", view.listing.servers.values())
    _fill_servers(built, "retained", view.retained)
    built.configuration = configuration
    built.configurationVersion = view.configuration_version
    built.configurationRevision = view.configuration_revision
    packed: bytes = built.to_bytes_packed()
    return packed


def _fill_servers(built: Any, field: str, servers: Collection[BackendServer]) -> None:
    for part, server in zip(built.init(field, len(servers)), servers, strict=True):
        part.name = server.name
        part.service = server.service
        part.ip, part.port = server.address
        part.availabilityZone = server.availability_zone
        part.state = int(server.state)
        part.slots = server.slots
        part.startedMs = server.started_ms


def _fill_configuration(built: Any, configuration: Configuration) -> None:
    built.version = configuration.version
    built.flowIdleMs = configuration.flow_idle_ms
    routes = built.init("routes", len(configuration.routes))
    for part, route in zip(routes, configuration.routes.values(), strict=True):
        part.name = route.name
        part.ip, part.port = route.address
        part.priority = route.priority
        part.latencyObjectiveMs = route.latency_objective_ms
        part.timeoutMs = route.timeout_ms
        shares = part.init("shares", len(route.shares))
        for share_part, share in zip(shares, route.shares, strict=True):
            share_part.service, share_part.weight = share


def decode_view(data: bytes) -> ViewAnswer:
    """Return what another balancer knows; raise MalformedMessageError."""
    try:
        read = SCHEMA.View.from_bytes_packed(data, traversal_limit_in_words=WORDS_LIMIT)
        servers = {part.name: _read_server(part) for part in read.servers}
        configuration = None
        if read.configuration:
            configuration = _decode_configuration(read.configuration)
        listing = ServerListing(read.revision, servers)
        retained = tuple(_read_server(part) for part in read.retained)
        return ViewAnswer(
            listing,
            read.listingAgeMs,
            configuration,
            retained,
            read.configurationVersion,
            read.configurationRevision,
        )
    except (capnp.KjException, ValueError, UnicodeDecodeError, zlib.error) as error:
        raise MalformedMessageError(f"view: {error}") from error


def _decode_configuration(data: bytes) -> Configuration:
    inflater = zlib.decompressobj()
    packed = inflater.decompress(data, CONFIGURATION_LIMIT_BYTES)
    if inflater.unconsumed_tail or not inflater.eof:
        raise ValueError(
            f"configuration: expected up to {CONFIGURATION_LIMIT_BYTES} bytes, "
            "found more, or not all of them"
        )
    read = SCHEMA.Configuration.from_bytes_packed(
        packed, traversal_limit_in_words=WORDS_LIMIT
    )
    return _read_configuration(read)


def _read_server(part: Any) -> BackendServer:
    return BackendServer(
        part.name,
        part.service,
        Endpoint(part.ip, part.port),
        part.availabilityZone,
        ServerState(part.state),
        part.slots,
        part.startedMs,
    )


def _read_configuration(part: Any) -> Configuration:
    routes = {}
    for route_part in part.routes:
        shares = tuple(
            ServiceShare(share.service, share.weight) for share in route_part.shares
        )
        route = Route(
            route_part.name,
            Endpoint(route_part.ip, route_part.port),
            shares,
            route_part.priority,
            route_part.latencyObjectiveMs,
            route_part.timeoutMs,
        )
        routes[pack_route_address(route.address)] = route
    return Configuration(part.version, routes, part.flowIdleMs)
