"""Decoders for the store's values: configuration and entries of backend servers."""

import ipaddress
from functools import lru_cache
from typing import Any

import orjson

from citronwinch.coordination import Endpoint
from citronwinch.coordination.flows import (
    WARMUP_STEP_MS,
    BackendServer,
    Configuration,
    Route,
    ServerState,
    ServiceLimits,
    ServiceShare,
    list_named_services,
    pack_route_address,
    round_up_warmup_ms,
)

# The store calls a backend server that is leaving "draining".
_SERVER_STATES = {"ready": ServerState.READY, "draining": ServerState.LEAVING}

# The type of the routes on which callers send files.
_UPLOAD_TYPE = "ingress"

_MAX_CACHED_ADDRESSES = 16_384
"""How many addresses are kept in parsed form: those of all servers of the target, since
every read of the listing has them again."""

_MAX_UINT32 = 0xFFFFFFFF
"""The largest number of a 32-bit field of the messages between processes."""

_MAX_UINT64 = 0xFFFFFFFFFFFFFFFF
"""The largest number of a 64-bit field."""

_MAX_UNIX_MS = 253_402_300_799_999
"""The end of the year 9999 in Unix milliseconds, the latest time of a start."""

_MAX_WARMUP_PER_S = 1e9
"""The highest rate of requests to a cold backend server; a higher one counts as it."""

_MAX_SERVICE_BYTES = 255
"""The longest name of a service in UTF-8, in bytes; a forwarded packet has one byte for
its length."""

_MAX_ZONE_BYTES = 64
"""The longest name of an availability zone in UTF-8, in bytes."""


def decode_configuration(value: bytes) -> Configuration:
    """Decode the configuration.

    Raise ValueError, KeyError or TypeError when it is malformed.
    """
    fields = orjson.loads(value)
    routes = {}
    for item in fields["routes"]:
        route = _decode_route(item)
        routes[pack_route_address(route.address)] = route
    idle_ms = _read_capped_int(fields["limits"], "idle_timeout_ms")
    version = _read_int(fields, "version", _MAX_UINT64)
    configuration = Configuration(version, routes, idle_ms, _decode_services(fields))
    names = {
        _read_string(item, "name", _MAX_SERVICE_BYTES)
        for item in fields.get("services", ())
    }
    others = names - list_named_services(configuration)
    return configuration._replace(other_services=frozenset(others))


def _decode_services(fields: dict[str, Any]) -> dict[str, ServiceLimits]:
    services = {}
    for item in fields.get("services", ()):
        rate = item.get("warmup_per_s", 0)
        if isinstance(rate, bool) or not isinstance(rate, int | float) or rate < 0:
            raise ValueError(
                f"warmup_per_s: expected a non-negative number, found {rate!r:.40}"
            )
        if rate:
            name = _read_string(item, "name", _MAX_SERVICE_BYTES)
            services[name] = ServiceLimits(float(min(rate, _MAX_WARMUP_PER_S)))
    return services


def _decode_route(item: dict[str, Any]) -> Route:
    # "host" is an IP address and "prefix" a port number between slashes.
    address = Endpoint.parse(f"{item['host']}:{item['prefix'].strip('/')}")
    shares: tuple[ServiceShare, ...]
    if "service" in item:
        service = _read_string(item, "service", _MAX_SERVICE_BYTES)
        shares = (ServiceShare(service, 1),)
    else:
        shares = tuple(
            ServiceShare(
                _read_string(split, "service", _MAX_SERVICE_BYTES),
                _read_int(split, "weight", _MAX_UINT32),
            )
            for split in item["traffic_split"]
        )
    if not shares:
        raise ValueError(f"route {item['name']}: expected at least one service")
    return Route(
        _read_string(item, "name"),
        address,
        shares,
        _read_capped_int(item, "priority"),
        _read_capped_int(item, "target_latency_ms"),
        _read_capped_int(item, "timeout_ms"),
        item.get("type") == _UPLOAD_TYPE,
    )


def decode_server(name: str, value: bytes) -> BackendServer:
    """Decode the entry of a backend server.

    Raise ValueError, KeyError or TypeError when it is malformed.
    """
    fields = orjson.loads(value)
    if not isinstance(fields, dict):
        raise ValueError(f"expected a JSON object, found {type(fields).__name__}")
    state = _read_string(fields, "state")
    if state not in _SERVER_STATES:
        raise ValueError(
            f"expected a state from {list(_SERVER_STATES)}, found {state!r}"
        )
    # These two are not used; an entry without them is that of another program.
    _read_string(fields, "version")
    _read_int(fields, "sequence", _MAX_UINT64)
    return BackendServer(
        name,
        _read_string(fields, "service", _MAX_SERVICE_BYTES),
        _parse_address(_read_string(fields, "address")),
        _read_string(fields, "zone", _MAX_ZONE_BYTES),
        _SERVER_STATES[state],
        max(1, _read_int(fields, "concurrency", _MAX_UINT32)),
        # "born": when the backend server process started, in Unix milliseconds.
        _read_int(fields, "born", _MAX_UNIX_MS) if "born" in fields else 0,
        _read_warmup_ms(fields),
    )


def _read_warmup_ms(fields: dict[str, Any]) -> int:
    longest_ms = _MAX_UINT32 - WARMUP_STEP_MS
    return round_up_warmup_ms(_read_int(fields, "warmup_left_ms", longest_ms))


@lru_cache(maxsize=_MAX_CACHED_ADDRESSES)
def _parse_address(text: str) -> Endpoint:
    """Read `address:port`; the platform's packets have room for IPv4 only."""
    endpoint = Endpoint.parse(text)
    ip = ipaddress.ip_address(endpoint.ip)
    if ip.version != 4 or ip.is_unspecified or ip.is_multicast or endpoint.port == 0:
        raise ValueError(
            "expected the IPv4 address of one instance and a port from 1 to 65535, "
            f"found {text!r:.60}"
        )
    return endpoint


def _read_string(
    fields: dict[str, Any], field: str, longest_bytes: int | None = None
) -> str:
    value = fields[field]
    if not isinstance(value, str):
        raise ValueError(f"{field}: expected a string, found {type(value).__name__}")
    if longest_bytes is not None and len(value.encode()) > longest_bytes:
        raise ValueError(
            f"{field}: expected up to {longest_bytes} bytes, found {value!r:.40}..."
        )
    return value


def _read_capped_int(fields: dict[str, Any], field: str) -> int:
    """Return a number, at most the largest of a message; a duration of 49 days."""
    return min(_read_int(fields, field, _MAX_UINT64), _MAX_UINT32)


def _read_int(fields: dict[str, Any], field: str, largest: int) -> int:
    value = fields[field]
    if (
        isinstance(value, bool)
        or not isinstance(value, int)
        or not 0 <= value <= largest
    ):
        raise ValueError(
            f"{field}: expected a whole number from 0 to {largest}, found {value!r:.40}"
        )
    return value
