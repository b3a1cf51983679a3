"""Tests of an agent's process that leaves its flows to its next run.

The failures guarded against: the agent ends by an outdated range of ports, or by flows
that have changed since, and the next run resets a flow that may be open.
"""

from unittest import mock

import pytest

from citronwinch.backend_servers import LocalPorts, LocalPortsError
from citronwinch.coordination import Table, TransportProtocol
from citronwinch.coordination.requests import RequestKind
from citronwinch.coordination.steering import Forward, Refuse
from citronwinch.daemon._events import StopRequested, Tick
from citronwinch.daemon.tests.test_agent_requests import (
    FLOW,
    PEER,
    harness,
    make_row,
)
from citronwinch.fabric import MalformedFrameError, build_udp, decode_frame

__all__ = ["harness"]

TCP_FLOW = FLOW._replace(protocol=TransportProtocol.TCP)


def test_agent_without_known_system_ports_keeps_its_flows(harness, monkeypatch):
    """A system that does not say its range must not stop the agent from serving."""
    monkeypatch.setattr(
        "citronwinch.daemon._agent_flows.read_local_ports",
        mock.Mock(side_effect=LocalPortsError("no range")),
    )
    harness.delivery.derive_local_port = lambda flow: (
        harness.delivery.local_ports.derive(flow)
    )
    harness.delivery.find_local_port = lambda flow: 40_000
    harness.forward()
    harness.reply(RequestKind.ANSWER)
    harness.process.handle(StopRequested())
    harness.process.handle(Tick(harness.clock.now_ms()))
    assert FLOW.key in harness.process.steering.owned
    assert not harness.process.is_drained()


def test_port_range_is_read_again_at_the_stop(harness, monkeypatch):
    """The next run derives its ports from the range that is then in force."""
    ports = [LocalPorts((range(40_000, 40_001),)), LocalPorts((range(50_000, 50_001),))]
    monkeypatch.setattr(
        "citronwinch.daemon._agent_flows.read_local_ports", lambda: ports[-1]
    )
    harness.delivery.local_ports = ports[0]
    harness.delivery.derive_local_port = lambda flow: (
        harness.delivery.local_ports.derive(flow)
    )
    harness.delivery.find_local_port = ports[0].derive
    harness.forward()
    harness.reply(RequestKind.ANSWER)
    harness.process.handle(StopRequested())
    assert not harness.process.is_drained()
    ports.pop()
    harness.process.handle(StopRequested())
    assert harness.process.is_drained()


def test_agent_ends_as_soon_as_no_request_is_in_progress(harness):
    """A busy agent is idle for moments, which the next tick may miss."""
    harness.forward()
    harness.process.handle(StopRequested())
    assert not harness.process.is_drained()
    harness.reply(RequestKind.ANSWER)
    assert harness.process.is_drained()


def test_flow_that_changes_between_ticks_is_examined_again(harness):
    """A flow of the last tick may have got a socket with another port since."""
    harness.forward()
    harness.process.handle(StopRequested())
    harness.process.handle(Tick(harness.clock.now_ms()))
    harness.delivery.find_local_port = lambda flow: 40_001
    harness.reply(RequestKind.ANSWER)
    assert not harness.process.is_drained()
    harness.delivery.find_local_port = harness.delivery.derive_local_port
    harness.process.handle(Tick(harness.clock.now_ms()))
    assert harness.process.is_drained()


def test_flows_that_cannot_be_left_are_examined_once_a_tick(harness):
    """Examining thousands of flows at each packet would take the processor's time."""
    harness.forward()
    harness.reply(RequestKind.ANSWER)
    harness.delivery.find_local_port = mock.Mock(return_value=40_001)
    harness.process.handle(StopRequested())
    harness.delivery.find_local_port.reset_mock()
    for _ in range(5):
        assert not harness.process.is_drained()
        harness.pass_time(10)
    harness.delivery.find_local_port.assert_called_once()


def list_refusals(harness):
    """Return the packets without a request that were sent to callers."""
    packets = []
    for data in harness.datagrams:
        try:
            packets.append(decode_frame(data).packet)
        except MalformedFrameError:
            continue
    return packets


@pytest.mark.parametrize(
    ("peers", "run_ms", "is_refused"),
    [([], 0, False), ([], 300_000, True), ([PEER.name], 0, True)],
    ids=["lone agent", "after the idle timeout", "agent with a peer"],
)
def test_full_agent_does_not_reset_a_flow_that_was_left_to_it(
    harness, peers, run_ms, is_refused
):
    """New flows may have taken the places of flows that the previous run left."""
    process = harness.process
    rows = [make_row(name) for name in ("gauging-1", *peers)]
    process.apply_table(Table(2, rows))
    harness.pass_time(run_ms)
    packet = build_udp(FLOW, b"x", to_caller=False)
    action = Refuse(FLOW.key, packet, "full", 1_000)
    process.apply_action(action)
    assert bool(list_refusals(harness)) == is_refused
    assert harness.count("packets_dropped_total", "may_be_left") == (not is_refused)


def test_dropped_packet_is_delivered_when_it_is_repeated(harness):
    """Its caller got no refusal, and repeats the same bytes within 1 s.

    A packet that is remembered as refused is not delivered for that time.
    """
    process = harness.process
    packet = build_udp(FLOW, b"x", to_caller=False)
    message = Forward(FLOW.key, "gauging", packet, "balancer-1", opens=True)
    row = make_row("gauging-1")
    process.apply_table(Table(2, [row._replace(connection_limit=0)]))
    harness.receive(message)
    assert harness.count("packets_dropped_total", "may_be_left") == 1
    process.apply_table(Table(3, [row]))
    harness.receive(message)
    assert harness.delivery.sent == [b"x"]


def test_only_udp_flows_may_be_left(harness):
    """A TCP segment of an unknown flow is refused at once, as without this rule."""
    assert harness.process.flow_handler.may_be_left(FLOW.key)
    assert not harness.process.flow_handler.may_be_left(TCP_FLOW.key)
