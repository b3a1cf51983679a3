"""Other programs write into the store beside the backend servers.

Guards against an entry that is accepted although its values do not fit into the
messages between balancers and agents: each heartbeat and each view that includes it
fails, and balancers end by themselves or follow the listing no more. It also guards
against an entry of another program that is taken for the backend server on the same
instance, whose live flows are then reset.
"""

import json
import time
from typing import Any

import orjson
import pytest
import trio
from hypothesis import example, given, settings, strategies as st

from citronwinch.coordination import Endpoint
from citronwinch.coordination.flows import (
    Configuration,
    ForwardedPacket,
    Heartbeat,
    ServerListing,
    StorePosition,
    ViewAnswer,
    pack_route_address,
)
from citronwinch.flow_peers import (
    ViewEncoder,
    decode_flow_message,
    decode_view,
    encode_flow_message,
)
from citronwinch.forwarder.tests.conftest import (
    ROUTE_ADDRESS,
    LoopbackDeployment,
    RunScenario,
    start_small_deployment,
)
from citronwinch.forwarder.tests.test_whole_path import open_flows, send_requests
from citronwinch.platform._entries import decode_configuration, decode_server
from citronwinch.platform.standins import FlowOutcome

ENTRY = {
    "service": "gauging",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "concurrency": 1,
    "state": "ready",
    "warmup_left_ms": 0,
    "sequence": 4,
    "born": 1_700_000_000_000,
}
ROUTE = {
    "name": "r",
    "host": "198.18.0.1",
    "prefix": "/8443/",
    "type": "idempotent",
    "timeout_ms": 1_000,
    "target_latency_ms": 120,
    "priority": 2,
    "service": "gauging",
    "max_attempts": 2,
}
DECLARED_ERRORS = (ValueError, KeyError, TypeError, AttributeError)
"""What the decoders of the store raise for a malformed value."""
POSITION = StorePosition(1, 7)

numbers = st.one_of(
    st.integers(-1, 3),
    st.integers(-(1 << 70), 1 << 70),
    st.sampled_from(
        [(1 << bits) + step for bits in (16, 31, 32, 63, 64) for step in (-1, 0)]
    ),
)
values = st.recursive(
    st.one_of(st.none(), st.booleans(), numbers, st.floats(), st.text()),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


def dump(body: Any) -> bytes:
    """Return JSON; the standard library writes integers of any size, unlike orjson."""
    return json.dumps(body).encode()


def check_messages_hold(name: str, value: bytes) -> None:
    """Check that an accepted entry passes unchanged through every message."""
    try:
        server = decode_server(name, value)
    except DECLARED_ERRORS:
        return
    listing = ServerListing(POSITION, {name: server})
    view = ViewAnswer(listing, 0, None, (server,))
    assert decode_view(ViewEncoder().encode(view)) == view
    heartbeat = Heartbeat(
        1,
        server.availability_zone,
        False,
        POSITION,
        listing.digest,
        0,
        1,
        (),
        server_started_ms=server.started_ms,
        server_slots=server.slots,
        server_warmup_left_ms=server.warmup_left_ms,
    )
    assert decode_flow_message(encode_flow_message(heartbeat)) == heartbeat
    packet = ForwardedPacket(server.service, b"packet")
    assert decode_flow_message(encode_flow_message(packet)) == packet
    assert 0 < server.address.port <= 0xFFFF


# A concurrency of 64 bits ended every balancer at each start.
@pytest.mark.parametrize(
    ("field", "value"),
    [
        pytest.param("concurrency", 2**63 - 1, id="64-bit concurrency"),
        pytest.param("concurrency", 2**32, id="concurrency of 33 bits"),
        pytest.param("warmup_left_ms", 2**32 - 1, id="warm-up that is rounded up"),
        pytest.param("born", 2**63, id="start after the year 9999"),
        pytest.param("service", "x" * 256, id="long service"),
        pytest.param("zone", "é" * 33, id="long zone"),
        pytest.param("address", "10.0.0.9:0", id="port 0"),
        pytest.param("address", "10.0.0.9:65536", id="port out of range"),
        pytest.param("address", f"10.0.0.9:{'9' * 5_000}", id="port of 5,000 digits"),
        pytest.param("address", "[::1]:80", id="IPv6 address"),
        pytest.param("address", "0.0.0.0:80", id="address of no instance"),
        pytest.param("address", "224.0.0.1:80", id="multicast address"),
    ],
)
def test_an_entry_that_messages_cannot_hold_names_no_server(
    field: str, value: Any
) -> None:
    with pytest.raises(ValueError, match="expected"):
        decode_server("i-1", dump(ENTRY | {field: value}))


@pytest.mark.parametrize("depth", [50, 1_000, 100_000])
def test_a_deeply_nested_entry_names_no_server(depth: int) -> None:
    nested = b'{"a":' * depth + b"1" + b"}" * depth
    with pytest.raises(DECLARED_ERRORS):
        decode_server("i-1", nested)
    value = dump(ENTRY)[:-1] + b',"labels":' + nested + b"}"
    check_messages_hold("i-1", value)


@settings(max_examples=300, derandomize=True, deadline=None, database=None)
@given(changes=st.dictionaries(st.sampled_from(sorted(ENTRY)), values), name=st.text())
@example(changes={"concurrency": 2**63 - 1}, name="i-1")
def test_messages_hold_every_entry_that_is_accepted(
    changes: dict[str, Any], name: str
) -> None:
    check_messages_hold(name, dump(ENTRY | changes))


@settings(max_examples=200, derandomize=True, deadline=None, database=None)
@given(value=st.binary(max_size=40))
def test_bytes_that_are_no_entry_raise_declared_errors_only(value: bytes) -> None:
    check_messages_hold("i-1", value)


@settings(max_examples=300, derandomize=True, deadline=None, database=None)
@given(
    changes=st.dictionaries(st.sampled_from(sorted(ROUTE)), values),
    version=numbers,
    idle_ms=numbers,
    rate=st.one_of(numbers, st.floats()),
)
@example(changes={"timeout_ms": 2**40}, version=1, idle_ms=2**40, rate=0)
def test_views_hold_every_configuration_that_is_accepted(
    changes: dict[str, Any], version: int, idle_ms: int, rate: float
) -> None:
    body = {
        "version": version,
        "routes": [ROUTE | changes],
        "services": [{"name": "gauging", "warmup_per_s": rate}],
        "limits": {"idle_timeout_ms": idle_ms},
    }
    try:
        configuration = decode_configuration(dump(body))
    except DECLARED_ERRORS:
        return
    view = ViewAnswer(ServerListing(POSITION, {}), 0, configuration)
    decoded = decode_view(ViewEncoder().encode(view)).configuration
    assert decoded is not None
    assert decoded._replace(services={}) == configuration._replace(services={})
    assert decoded.services.keys() == configuration.services.keys()


def test_a_timeout_longer_than_a_message_can_hold_counts_as_the_longest() -> None:
    body = {
        "version": 1,
        "routes": [ROUTE | {"timeout_ms": 2**40}],
        "limits": {"idle_timeout_ms": 2**40},
    }
    configuration: Configuration = decode_configuration(orjson.dumps(body))
    [route] = configuration.routes.values()
    assert pack_route_address(route.address) in configuration.routes
    assert (route.timeout_ms, configuration.flow_idle_ms) == (2**32 - 1, 2**32 - 1)


# Flows that a planned stop moved to another balancer were reset.
def test_flows_survive_a_stop_while_another_program_has_an_entry_at_their_server(
    run_scenario: RunScenario,
) -> None:
    async def scenario(deployment: LoopbackDeployment) -> None:
        await start_small_deployment(deployment)
        await open_flows(deployment, range(4000, 4016))
        for number in (31, 32):
            address = Endpoint(f"{deployment.prefix}.{number}", 9_100)
            started_ms = time.time_ns() // 1_000_000
            deployment.store.write_server(
                f"host-metrics-{number}",
                "host-metrics",
                address,
                "a",
                started_ms=started_ms,
            )

        def is_listed() -> bool:
            views = [deployment.processes[number].view for number in (11, 12)]  # type: ignore[attr-defined]
            return all(len(view.listing.servers) == 5 for view in views)

        await deployment.wait_for(is_listed)
        await deployment.stop(11)
        await trio.sleep(3)
        outcomes = await send_requests(deployment, range(4000, 4016))
        assert outcomes == {FlowOutcome.DONE}
        await open_flows(deployment, range(4020, 4024))

    run_scenario(scenario, 126)


ODD_ENTRIES = {
    "no JSON": b"\xff\x00",
    "empty": b"",
    "null": b"null",
    "list": b"[]",
    "deeply nested": b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
    "deeply nested list": b"[" * 100_000,
    "nested field": json.dumps(ENTRY | {"zone": {"a": {"b": ["c"]}}}).encode(),
    "64-bit concurrency": json.dumps(ENTRY | {"concurrency": 2**63 - 1}).encode(),
    "100-digit start": json.dumps(ENTRY | {"born": 10**99}).encode(),
    "number without an end": json.dumps(ENTRY)[:-1].encode() + b',"n":1e999}',
    "port out of range": json.dumps(ENTRY | {"address": "10.0.0.9:70000"}).encode(),
    "port 0": json.dumps(ENTRY | {"address": "10.0.0.9:0"}).encode(),
    "64-bit warm-up": json.dumps(ENTRY | {"warmup_left_ms": 2**63}).encode(),
    "negative sequence": json.dumps(ENTRY | {"sequence": -1}).encode(),
    "long zone": json.dumps(ENTRY | {"zone": "z" * 200_000}).encode(),
    "unknown state": json.dumps(ENTRY | {"state": "resting"}).encode(),
    "unnamed service": json.dumps(ENTRY | {"service": "archive"}).encode(),
}


# Operators of similar systems saw one odd entry end the processes that read the list,
# or keep them from following it.
def test_balancers_start_and_follow_the_listing_beside_odd_entries(
    run_scenario: RunScenario,
) -> None:
    async def scenario(deployment: LoopbackDeployment) -> None:
        for name, value in ODD_ENTRIES.items():
            deployment.store.write(f"servers/{name}", value)
        for number in (11, 12):
            deployment.add_balancer(number)
        for number in (31, 32):
            deployment.add_server(number)

        def follows(number: int) -> bool:
            view = deployment.processes[number].view  # type: ignore[attr-defined]
            names = {server.name for server in view.list_servers()}
            configuration = view.configuration
            is_current = configuration is not None and configuration.version == version
            return is_current and names == {f"i-{each}" for each in deployment.servers}

        version = 1
        await deployment.wait_for(lambda: follows(11) and follows(12))
        await deployment.wait_for(lambda: len(deployment.router.rotation) == 2)
        await open_flows(deployment, range(4000, 4008))
        for number in (11, 12):
            await deployment.kill(number)
        for number in (11, 12):
            deployment.add_balancer(number)
        deployment.add_server(33)
        version = 2
        deployment.store.write_configuration(version, {ROUTE_ADDRESS: "gauging"})
        await deployment.wait_for(lambda: follows(11) and follows(12))
        await deployment.wait_for(lambda: len(deployment.router.rotation) == 2)
        outcomes = await send_requests(deployment, range(4000, 4008))
        assert outcomes == {FlowOutcome.DONE}

    run_scenario(scenario, 128)
