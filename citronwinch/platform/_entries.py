"""The values in the platform's store: configuration and backend servers."""

from typing import Any

import orjson

from citronwinch.coordination import Endpoint
from citronwinch.coordination.flows import (
    BackendServer,
    Configuration,
    Route,
    ServerState,
    ServiceShare,
    pack_route_address,
)

_STATES = {"ready": ServerState.READY, "draining": ServerState.LEAVING}


def decode_configuration(value: bytes) -> Configuration:
    """Return the configuration in a value; raise ValueError, KeyError or TypeError."""
    body = orjson.loads(value)
    routes = {}
    for item in body["routes"]:
        route = _decode_route(item)
        routes[pack_route_address(route.address)] = route
    idle_ms = _read_number(body["limits"], "idle_timeout_ms")
    return Configuration(_read_number(body, "version"), routes, idle_ms)


def _decode_route(item: dict[str, Any]) -> Route:
    # The platform's "host" is an address, and its "prefix" a port between slashes.
    address = Endpoint.parse(f"{item['host']}:{item['prefix'].strip('/')}")
    shares: tuple[ServiceShare, ...]
    if "service" in item:
        shares = (ServiceShare(_read_text(item, "service"), 1),)
    else:
        shares = tuple(
            ServiceShare(_read_text(part, "service"), _read_number(part, "weight"))
            for part in item["traffic_split"]
        )
    if not shares:
        raise ValueError(f"route {item['name']}: no service")
    return Route(
        _read_text(item, "name"),
        address,
        shares,
        _read_number(item, "priority"),
        _read_number(item, "target_latency_ms"),
        _read_number(item, "timeout_ms"),
    )


def decode_server(name: str, value: bytes) -> BackendServer:
    """Return a backend server's entry; raise ValueError, KeyError or TypeError."""
    body = orjson.loads(value)
    if not isinstance(body, dict):
        raise ValueError(f"expected an object, found {type(body).__name__}")
    state = _read_text(body, "state")
    if state not in _STATES:
        raise ValueError(f"expected a state of {list(_STATES)}, found {state!r}")
    return BackendServer(
        name,
        _read_text(body, "service"),
        Endpoint.parse(_read_text(body, "address")),
        _read_text(body, "zone"),
        _STATES[state],
        max(1, _read_number(body, "concurrency")),
        # The start of this run of the backend server.
        _read_number(body, "born") if "born" in body else 0,
    )


def _read_text(body: dict[str, Any], field: str) -> str:
    value = body[field]
    if not isinstance(value, str):
        raise ValueError(f"{field}: expected text, found {type(value).__name__}")
    return value


def _read_number(body: dict[str, Any], field: str) -> int:
    value = body[field]
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(f"{field}: expected a whole number, found {value!r:.40}")
    return value
