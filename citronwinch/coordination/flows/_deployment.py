"""The platform's data: the configuration of routes and the listing of servers."""

from collections.abc import Mapping
from enum import IntEnum
from types import MappingProxyType
from typing import NamedTuple

import xxhash

from citronwinch.coordination._address import (
    Endpoint,
    FlowKey,
    TransportProtocol,
    pack_service_endpoint,
)
from citronwinch.coordination.flows._store_position import (
    UNKNOWN_POSITION,
    StorePosition,
)

WARMUP_STEP_MS = 500
"""The step to which the remaining time of a cold server is rounded up, in
milliseconds."""


class ServiceShare(NamedTuple):
    """The share of a route's new flows that goes to one service."""

    service: str
    """The name of the service."""

    weight: int
    """The size of the share, relative to the other weights of the route."""


class Route(NamedTuple):
    """The services that receive the new flows to one service address."""

    name: str
    """The name that the operators gave the route."""

    address: Endpoint
    """The service address that callers send to."""

    shares: tuple[ServiceShare, ...]
    """The services and their shares of the new flows."""

    priority: int
    """The importance of its requests; 0 is the highest."""

    latency_objective_ms: int
    """The time within which an answer has its full value, in milliseconds."""

    timeout_ms: int
    """The time after which an answer has no value, in milliseconds."""

    has_large_requests: bool = False
    """Whether its requests carry a lot of data, such as files that callers send."""


class ServiceLimits(NamedTuple):
    """What the operators' configuration states about the servers of a service."""

    warmup_per_s: float
    """The requests per second that a backend server bears while it is cold; 0 for no
    limit."""


class Configuration(NamedTuple):
    """One accepted version of the operators' configuration."""

    version: int
    """The number of the version; it increases with each version."""

    routes: dict[bytes, Route]
    """The routes by service address, packed as in a flow key."""

    flow_idle_ms: int
    """How long a flow without packets is held before it may be removed, in
    milliseconds."""

    services: Mapping[str, ServiceLimits] = MappingProxyType({})
    """The limits of services by name; a service without any is left out."""

    other_services: frozenset[str] = frozenset()
    """The names of the services that the operators list without a route or a limit."""


class ServerState(IntEnum):
    """Whether a backend server accepts new flows."""

    READY = 0
    LEAVING = 1


class BackendServer(NamedTuple):
    """A backend server as the platform's store lists it."""

    name: str
    """Its identifier in the store."""

    service: str
    """The service that it belongs to."""

    address: Endpoint
    """The address where it receives packets; its agent runs on the same instance."""

    availability_zone: str
    """The availability zone of its instance."""

    state: ServerState
    """Whether it accepts new flows."""

    slots: int
    """The number of requests that it processes concurrently."""

    started_ms: int
    """Its incarnation: the Unix time of its start, in milliseconds."""

    warmup_left_ms: int = 0
    """For how long it stays cold, that is slow after its start, in milliseconds. It is
    rounded up to steps of `WARMUP_STEP_MS`, so that a listing does not change with
    every registration."""


class ServerListing(NamedTuple):
    """All backend servers at one position of the store."""

    position: StorePosition
    """The store's position at the time of reading."""

    servers: dict[str, BackendServer]
    """The backend servers by name."""

    @property
    def digest(self) -> int:
        """Return a hash that is equal for equal listings, whatever their position."""
        ordered = sorted(self.servers.values())
        return xxhash.xxh3_64_intdigest(repr(ordered).encode())


EMPTY_LISTING = ServerListing(UNKNOWN_POSITION, {})
"""The listing of a process that has not received any."""


def list_named_services(configuration: Configuration) -> frozenset[str]:
    """Return the names of all services that a configuration has.

    Example::

        >>> sorted(list_named_services(
        ...     Configuration(1, {}, 0, {"a": ServiceLimits(1.0)}, frozenset({"b"}))
        ... ))
        ['a', 'b']
    """
    routes = configuration.routes.values()
    routed = {share.service for route in routes for share in route.shares}
    return configuration.other_services.union(configuration.services, routed)


def pack_route_address(address: Endpoint) -> bytes:
    """Return the key of a route: its address, packed as in a flow key."""
    return pack_service_endpoint(TransportProtocol.TCP, address)


def order_services(route: Route, flow: FlowKey) -> list[str]:
    """Return the services of a route, first the one that the weights give the flow.

    The order is the same on every balancer. Services with a weight of 0 are left out.

    Example::

        >>> from citronwinch.coordination import Endpoint
        >>> shares = (ServiceShare("gauging", 1), ServiceShare("reporting", 0))
        >>> route = Route("r", Endpoint("192.0.2.1", 80), shares, 0, 100, 1000)
        >>> order_services(route, FlowKey(b"any"))
        ['gauging']
    """
    shares = [share for share in route.shares if share.weight > 0]
    if not shares:
        return []
    point = xxhash.xxh3_64_intdigest(flow) % sum(share.weight for share in shares)
    for index, share in enumerate(shares):
        if point < share.weight:
            others = shares[:index] + shares[index + 1 :]
            return [share.service, *(other.service for other in others)]
        point -= share.weight
    raise AssertionError("the point is not below the sum of the weights")


def round_up_warmup_ms(warmup_left_ms: int) -> int:
    """Return the remaining time of a cold server, rounded up to `WARMUP_STEP_MS`.

    Example::

        >>> round_up_warmup_ms(0), round_up_warmup_ms(1_930)
        (0, 2000)
    """
    return -(-warmup_left_ms // WARMUP_STEP_MS) * WARMUP_STEP_MS
