"""Decoders for the store's values: configuration and entries of backend servers."""

from typing import Any

import orjson

from citronwinch.coordination import Endpoint
from citronwinch.coordination.flows import (
    BackendServer,
    Configuration,
    Route,
    ServerState,
    ServiceLimits,
    ServiceShare,
    pack_route_address,
    round_up_warmup_ms,
)

# The store calls a backend server that is leaving "draining".
_SERVER_STATES = {"ready": ServerState.READY, "draining": ServerState.LEAVING}

# The type of the routes on which callers send files.
_UPLOAD_TYPE = "ingress"


def decode_configuration(value: bytes) -> Configuration:
    """Decode the configuration.

    Raise ValueError, KeyError or TypeError when it is malformed.
    """
    fields = orjson.loads(value)
    routes = {}
    for item in fields["routes"]:
        route = _decode_route(item)
        routes[pack_route_address(route.address)] = route
    idle_ms = _read_non_negative_int(fields["limits"], "idle_timeout_ms")
    version = _read_non_negative_int(fields, "version")
    return Configuration(version, routes, idle_ms, _decode_services(fields))


def _decode_services(fields: dict[str, Any]) -> dict[str, ServiceLimits]:
    services = {}
    for item in fields.get("services", ()):
        rate = item.get("warmup_per_s", 0)
        if isinstance(rate, bool) or not isinstance(rate, int | float) or rate < 0:
            raise ValueError(
                f"warmup_per_s: expected a non-negative number, found {rate!r:.40}"
            )
        if rate:
            services[_read_string(item, "name")] = ServiceLimits(float(rate))
    return services


def _decode_route(item: dict[str, Any]) -> Route:
    # "host" is an IP address and "prefix" a port number between slashes.
    address = Endpoint.parse(f"{item['host']}:{item['prefix'].strip('/')}")
    shares: tuple[ServiceShare, ...]
    if "service" in item:
        shares = (ServiceShare(_read_string(item, "service"), 1),)
    else:
        shares = tuple(
            ServiceShare(
                _read_string(split, "service"), _read_non_negative_int(split, "weight")
            )
            for split in item["traffic_split"]
        )
    if not shares:
        raise ValueError(f"route {item['name']}: expected at least one service")
    return Route(
        _read_string(item, "name"),
        address,
        shares,
        _read_non_negative_int(item, "priority"),
        _read_non_negative_int(item, "target_latency_ms"),
        _read_non_negative_int(item, "timeout_ms"),
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
    return BackendServer(
        name,
        _read_string(fields, "service"),
        Endpoint.parse(_read_string(fields, "address")),
        _read_string(fields, "zone"),
        _SERVER_STATES[state],
        max(1, _read_non_negative_int(fields, "concurrency")),
        # "born": when the backend server process started, in Unix milliseconds.
        _read_non_negative_int(fields, "born") if "born" in fields else 0,
        round_up_warmup_ms(
            _read_non_negative_int(fields, "warmup_left_ms")
            if "warmup_left_ms" in fields
            else 0
        ),
    )


def _read_string(fields: dict[str, Any], field: str) -> str:
    value = fields[field]
    if not isinstance(value, str):
        raise ValueError(f"{field}: expected a string, found {type(value).__name__}")
    return value


def _read_non_negative_int(fields: dict[str, Any], field: str) -> int:
    value = fields[field]
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(
            f"{field}: expected a non-negative integer, found {value!r:.40}"
        )
    return value
