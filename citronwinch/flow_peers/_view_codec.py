"""Encoding of the views that balancers fetch from each other over HTTP.

A view is packed Cap'n Proto without a kind.
"""

import zlib
from collections.abc import Collection
from typing import Any

import capnp

from citronwinch.coordination import Endpoint
from citronwinch.coordination.flows import (
    BackendServer,
    Configuration,
    DepartedServer,
    FormerRoute,
    Route,
    ServerListing,
    ServerState,
    ServiceLimits,
    ServiceShare,
    StorePosition,
    ViewAnswer,
    pack_route_address,
)
from citronwinch.flow_peers._schema import MAX_MESSAGE_WORDS, SCHEMA
from citronwinch.network import MalformedMessageError, read_packed_message

COMPRESSION_LEVEL = 1
"""The zlib level for configurations and views, 1 to 9; higher ones cost time and save
little."""

MAX_DECOMPRESSED_BYTES = 4 << 20
"""The largest size of a decompressed configuration or view, in bytes; four times the
platform's largest value."""


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
    _fill_servers(builder, "former", [each.server for each in view.former])
    builder.formerMissingMs = [each.missing_ms for each in view.former]
    builder.formerSilentMs = [each.silent_ms for each in view.former]
    builder.formerKnownForMs = view.former_known_for_ms
    bodies = builder.init("formerRoutes", len(view.former_routes))
    for body, route in zip(bodies, view.former_routes, strict=True):
        body.address, body.service, body.changedMs = route
    builder.routesKnownForMs = view.routes_known_for_ms
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
    builder.otherServices = sorted(configuration.other_services)
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
        reader = read_packed_message(SCHEMA.View, data, MAX_MESSAGE_WORDS)
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
            _read_former(reader),
            reader.formerKnownForMs,
            tuple(
                FormerRoute(bytes(body.address), body.service, body.changedMs)
                for body in reader.formerRoutes
            ),
            reader.routesKnownForMs,
        )
    except (capnp.KjException, ValueError, UnicodeDecodeError, zlib.error) as error:
        raise MalformedMessageError(f"view: {error}") from error


def _read_former(reader: Any) -> tuple[DepartedServer, ...]:
    # A balancer of an earlier version states neither of the durations.
    unknown = [0] * len(reader.former)
    missing_ms = list(reader.formerMissingMs) or unknown
    silent_ms = list(reader.formerSilentMs) or unknown
    return tuple(
        DepartedServer(_read_server(body), *durations)
        for body, *durations in zip(reader.former, missing_ms, silent_ms, strict=True)
    )


def _decode_configuration(data: bytes) -> Configuration:
    packed = _decompress(data, "configuration")
    reader = read_packed_message(SCHEMA.Configuration, packed, MAX_MESSAGE_WORDS)
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
    others = frozenset(body.otherServices)
    return Configuration(body.version, routes, body.flowIdleMs, services, others)
