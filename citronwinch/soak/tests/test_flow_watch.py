"""Checks which packets and resets of open flows count as broken promises."""

import pytest

from citronwinch.coordination import Endpoint, Flow, TransportProtocol
from citronwinch.coordination.flows._packets import make_placeholder_packet
from citronwinch.platform import decode_caller_packet
from citronwinch.platform.standins import Router, StandInServer
from citronwinch.platform.standins._server import ServerFlowState
from citronwinch.platform.standins._wire import ACK, FIN, SYN
from citronwinch.soak import Observations
from citronwinch.soak._flow_watch import FlowWatch, WatchedCaller

SERVICE = Endpoint("198.18.0.1", 443)
CALLER = Endpoint("127.0.0.2", 2001)
KEY = Flow(TransportProtocol.TCP, CALLER, SERVICE).key
PACKET = make_placeholder_packet(KEY, 1)


@pytest.fixture
def watch() -> FlowWatch:
    """Two servers, of which the first one holds an open flow."""
    watch = FlowWatch(Observations(), {})
    address = Endpoint("127.0.0.31", 1)
    watch.servers = [StandInServer(name, address, address) for name in ("i-1", "i-2")]
    watch.servers[0].flows[KEY] = ServerFlowState(1_000, is_open=True)
    watch.used_flows.add(KEY)
    return watch


STRAY_TIMES = {
    "a search that finds the flow": ([0.0, 0.1, 0.2, 0.3], 1.9, 0),
    "two packets in a long time": ([0.0, 1.0], 5.0, 0),
    "three packets in more than the period": ([0.0, 1.1, 2.2], 3.0, 0),
    "three packets and none at its own server": ([0.0, 0.1, 0.2], 2.0, 1),
    "the last three of several": ([0.0, 2.5, 2.6, 2.7], 4.6, 1),
}
"""When packets reach the other server, when one reaches the own server, and how many
flows are astray."""


@pytest.mark.parametrize("case", STRAY_TIMES)
def test_packets_at_other_servers(watch: FlowWatch, case: str) -> None:
    times_s, own_s, expected = STRAY_TIMES[case]
    own, other = watch.servers
    for time_s in times_s:
        watch.record_packet(other, PACKET, time_s)
    watch.record_packet(own, PACKET, own_s)
    assert len(watch.observations.astray_flows) == expected


def test_packets_are_astray_at_the_end_of_the_run(watch: FlowWatch) -> None:
    for time_s in (0.0, 0.1, 0.2):
        watch.record_packet(watch.servers[1], PACKET, time_s)
    watch.end(2.0)
    assert len(watch.observations.astray_flows) == 1


@pytest.mark.parametrize(("impaired_s", "expected"), [(0.15, 0), (-1.0, 1)])
def test_packets_before_the_end_of_an_impairment_do_not_count(
    watch: FlowWatch, impaired_s: float, expected: int
) -> None:
    watch.impaired_s[watch.servers[0].address.ip] = impaired_s
    for time_s in (0.0, 0.1, 0.2):
        watch.record_packet(watch.servers[1], PACKET, time_s)
    watch.end(5.0)
    assert len(watch.observations.astray_flows) == expected


def test_packets_of_a_flow_whose_server_is_gone_are_not_astray(
    watch: FlowWatch,
) -> None:
    watch.servers[0].flows.clear()
    for time_s in (0.0, 0.1, 0.2):
        watch.record_packet(watch.servers[1], PACKET, time_s)
    watch.end(9.0)
    assert watch.observations.astray_flows == []


def test_a_reset_while_a_server_holds_the_flow_is_reported(watch: FlowWatch) -> None:
    watch.record_reset(KEY)
    assert len(watch.observations.live_flow_resets) == 1


def test_a_reset_after_the_end_of_the_server_is_not_reported(watch: FlowWatch) -> None:
    watch.servers[0].flows.clear()
    watch.record_reset(KEY)
    assert watch.observations.live_flow_resets == []


def test_a_reset_of_a_flow_that_the_caller_has_closed_is_not_reported(
    watch: FlowWatch,
) -> None:
    watch.used_flows.clear()
    watch.record_reset(KEY)
    assert watch.observations.live_flow_resets == []


# Requests that overtook the confirmation of their flow were denied by its agent, since
# they acknowledged nothing, and the flow was reset.
def test_each_packet_acknowledges_what_the_caller_has_confirmed(
    watch: FlowWatch, monkeypatch: pytest.MonkeyPatch
) -> None:
    caller = WatchedCaller(Endpoint("127.0.0.2", 0), Router({}), watch)
    caller.router.rotation = [Endpoint("127.0.0.3", 9)]
    sent: list[bytes] = []
    monkeypatch.setattr(
        caller.datagram_socket, "send", lambda data, receiver: sent.append(data)
    )
    caller._send(2001, SERVICE, SYN, 0, 2)
    caller._send(2001, SERVICE, ACK, 1, 7_001)
    caller._send(2001, SERVICE, ACK, 1, 1, b"request")
    caller._send(2001, SERVICE, FIN | ACK, 8, 1)
    caller.datagram_socket.close()
    packets = [decode_caller_packet(data) for data in sent]
    assert [packet.acknowledged for packet in packets] == [2, 7_001, 7_001, 7_001]
