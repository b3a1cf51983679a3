"""Tests of the local ports that are derived from flow keys.

The failures guarded against: a flow gets another port in the next run of its agent, or
a port that the system keeps for services, and few ports are used for many flows.
"""

import subprocess
import sys
from collections import Counter

import pytest
from hypothesis import given, strategies as st

from citronwinch.backend_servers import (
    NO_LOCAL_PORTS,
    LocalPorts,
    LocalPortsError,
    read_local_ports,
)
from citronwinch.backend_servers._local_ports import (
    PORT_LIMIT,
    RESERVED_PORTS_PATH,
    parse_local_ports,
)
from citronwinch.coordination import Endpoint, Flow, TransportProtocol

SPREAD_FLOWS = 20_000
SPREAD_BUCKETS = 16
SPREAD_DEVIATION = 0.15

PORTS = st.integers(1, PORT_LIMIT)
PORT_PAIRS = st.tuples(PORTS, PORTS).map(sorted)
KEYS = st.binary(min_size=13, max_size=13) | st.binary(min_size=37, max_size=37)


def make_flow(caller_ip, caller_port):
    caller = Endpoint(caller_ip, caller_port)
    return Flow(TransportProtocol.UDP, caller, Endpoint("192.0.2.9", 53)).key


def format_bounds(bounds):
    return "-".join(str(port) for port in dict.fromkeys(bounds))


@given(KEYS, PORT_PAIRS, st.lists(PORT_PAIRS, max_size=6))
def test_derived_port_is_in_the_range_and_not_reserved(key, bounds, reserved):
    first, last = bounds
    reserved_text = ",".join(map(format_bounds, reserved)) + "\n"
    ports = parse_local_ports(f"{first}\t{last}\n", reserved_text)
    allowed = set(range(first, last + 1)).difference(
        *(range(low, high + 1) for low, high in reserved)
    )
    assert {port for found in ports.ranges for port in found} == allowed
    assert sum(map(len, ports.ranges)) == len(allowed)
    port = ports.derive(key)
    assert port in allowed if allowed else port == 0


@given(KEYS, PORT_PAIRS)
def test_derived_port_is_stable(key, bounds):
    text = f"{bounds[0]} {bounds[1]}"
    first, second = (parse_local_ports(text, "").derive(key) for _ in range(2))
    assert first == second


def test_derived_port_is_the_same_in_another_process():
    """Python's own hash of bytes differs between processes."""
    ports, flow = LocalPorts((range(32_768, 61_000),)), make_flow("192.0.2.1", 4_000)
    program = (
        "from citronwinch.backend_servers import LocalPorts\n"
        f"print(LocalPorts((range(32_768, 61_000),)).derive({flow!r}))"
    )
    found = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, check=True, text=True
    )
    assert int(found.stdout) == ports.derive(flow)


@pytest.mark.parametrize("vary", ["port", "address"])
def test_flows_of_similar_callers_spread_over_the_range(vary):
    """Ports of one caller, and neighbours with one port, are what callers have."""
    ports = range(32_768, 61_000)
    flows = (
        make_flow("192.0.2.1", 1_024 + i)
        if vary == "port"
        else make_flow(f"10.0.{i >> 8}.{i & 255}", 4_000)
        for i in range(SPREAD_FLOWS)
    )
    derived = [LocalPorts((ports,)).derive(flow) for flow in flows]
    buckets = Counter(
        (port - ports[0]) * SPREAD_BUCKETS // len(ports) for port in derived
    )
    mean = SPREAD_FLOWS / SPREAD_BUCKETS
    assert all(
        abs(buckets[bucket] / mean - 1) < SPREAD_DEVIATION
        for bucket in range(SPREAD_BUCKETS)
    )
    # A random choice leaves len * (1 - exp(-flows / len)) = 14,331 distinct ports.
    assert len(set(derived)) > 14_000


def test_ports_are_those_of_this_system():
    ports = read_local_ports()
    port = ports.derive(make_flow("192.0.2.1", 4_000))
    assert any(port in found for found in ports.ranges)


@pytest.mark.parametrize(
    "text",
    ["", "32768", "x y", "60999 32768", "0 10", "1 70000", "1 2 3"],
    ids=["empty", "one", "words", "descending", "zero", "too high", "three"],
)
def test_unknown_range_is_reported(tmp_path, text):
    path = tmp_path / "range"
    path.write_text(text)
    with pytest.raises(LocalPortsError, match="expected the ports"):
        read_local_ports(path)


@pytest.mark.parametrize("missing", ["range", "reserved"])
def test_missing_file_is_reported(tmp_path, missing):
    path = tmp_path / "range"
    path.write_text("1000 2000")
    paths = {
        "range": (tmp_path / "none", RESERVED_PORTS_PATH),
        "reserved": (path, tmp_path / "none"),
    }
    with pytest.raises(LocalPortsError, match="none"):
        read_local_ports(*paths[missing])


def test_without_ports_none_is_derived():
    assert NO_LOCAL_PORTS.derive(make_flow("192.0.2.1", 4_000)) == 0
