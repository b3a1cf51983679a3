"""Tests that established flows continue through planned changes.

The changes are a service that leaves the table and an agent that stops.
"""

import pytest

from citronwinch.coordination import Instance, InstanceRole, ManualClock, Table
from citronwinch.coordination.requests import RequestKind
from citronwinch.coordination.steering import Hint
from citronwinch.daemon import BalancerProcess
from citronwinch.daemon._events import StopRequested, Tick
from citronwinch.daemon.tests.test_agent_requests import (
    FLOW,
    PEER,
    SETTINGS,
    harness,
    make_row,
)
from citronwinch.fabric import GeneveFrame, build_udp, encode_frame
from citronwinch.network import Datagram
from citronwinch.operators import parse_settings

__all__ = ["harness"]

STOP_DURATION_MS = 10_000
TICK_MS = 100


@pytest.fixture
def balancer(monkeypatch):
    monkeypatch.setattr(
        "citronwinch.daemon._process.MonotonicClock", lambda: ManualClock(100_000)
    )
    text = SETTINGS.replace("role = agent", "role = balancer").replace(
        "http = 127.0.0.1:0", "http = 127.0.0.1:0\nfabric = 127.0.0.1:0"
    )
    process = BalancerProcess(parse_settings(text, "test.ini").ok)
    yield process
    process.peers.datagram_socket.close()
    process.fabric.close()


def test_flow_continues_after_its_service_leaves_the_table(balancer):
    agent = Instance("gauging-1", InstanceRole.AGENT, "a", PEER.address)
    balancer.instances = {agent.name: agent}
    balancer.apply_table(Table(1, [make_row("gauging-1")]))
    balancer.steering.accept_hint(Hint(FLOW.key, "gauging-1"))
    sent = []
    balancer.peers.datagram_socket.send = lambda data, receiver: sent.append(receiver)
    frame = encode_frame(GeneveFrame(build_udp(FLOW, b"x", to_caller=False)))
    balancer.handle_frame(Datagram(frame, ("127.0.0.1", 9)))
    balancer.apply_table(Table(2, []))
    balancer.handle_frame(Datagram(frame, ("127.0.0.1", 9)))
    assert sent == [agent.address, agent.address]


def test_a_stopping_agent_hands_its_flows_over(harness):
    harness.process.instances = {PEER.name: PEER}
    harness.forward()
    harness.reply(RequestKind.ANSWER)
    harness.process.handle(StopRequested())
    for _ in range(STOP_DURATION_MS // TICK_MS):
        harness.clock.advance(TICK_MS)
        harness.process.handle(Tick(harness.clock.now_ms()))
    assert harness.process.is_drained()
    assert FLOW.key not in harness.delivery.closed
