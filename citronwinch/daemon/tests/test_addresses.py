"""Tests that a daemon answers instances missing from its list of instances.

An instance that has just joined sends messages before the platform's list has it.
"""

import pytest

from citronwinch.coordination import (
    Endpoint,
    Instance,
    InstanceRole,
    ManualClock,
    Table,
)
from citronwinch.coordination.steering import LeaseRequest
from citronwinch.daemon import AgentProcess
from citronwinch.daemon._events import InstancesChanged, PeerBatch, Tick
from citronwinch.daemon.tests.test_agent_requests import SETTINGS, make_row
from citronwinch.network import Datagram
from citronwinch.operators import parse_settings
from citronwinch.peers import Envelope, encode_envelope

SOURCE_ADDRESS = ("192.0.2.77", 7_000)
LISTED_AGENT = Instance(
    "gauging-2", InstanceRole.AGENT, "a", Endpoint("192.0.2.78", 7_000)
)


@pytest.fixture
def process(monkeypatch):
    monkeypatch.setattr(
        "citronwinch.daemon._process.MonotonicClock", lambda: ManualClock(100_000)
    )
    process = AgentProcess(parse_settings(SETTINGS, "test.ini").ok)
    yield process
    process.peers.datagram_socket.close()


def receive(process, sender=SOURCE_ADDRESS):
    message = LeaseRequest("gauging", 1, 5)
    data = encode_envelope(Envelope("gauging-2", 1, 1, 1, message))
    signed = process.peers.keys.sign(data)
    return process.peers.verify_and_decode(Datagram(signed, sender))


def test_unlisted_agent_is_answered_at_its_source_address(process):
    process.apply_table(Table(1, [make_row("gauging-1"), make_row("gauging-2")]))
    sent = []
    process.peers.datagram_socket.send = lambda data, receiver: sent.append(receiver)
    envelope = receive(process)
    process.handle(PeerBatch([envelope], process.clock.now_ms()))
    assert set(sent) == {SOURCE_ADDRESS}


def test_listed_address_has_priority_over_source_address(process):
    receive(process)
    process.instances = {LISTED_AGENT.name: LISTED_AGENT}
    process.handle(InstancesChanged((LISTED_AGENT,)))
    assert process.find_address("gauging-2") == LISTED_AGENT.address


def test_address_of_unknown_instance_is_none(process):
    assert process.find_address("gauging-2") is None


def test_table_is_not_in_force_before_instances_are_listed(process):
    gossip = process.gossip
    gossip.node.gate.is_open = True
    gossip.node.replica.table = Table(1, [make_row("gauging-1")])
    assert gossip.table.revision == 0
    gossip.follower.has_list = True
    assert gossip.table.revision == 1


@pytest.mark.parametrize("is_listed", [True, False])
def test_agent_knows_whether_the_platform_lists_it(process, is_listed):
    """The others replace an owner that is silent and not listed; it must know that."""
    process.apply_table(Table(1, [make_row("gauging-1"), make_row("gauging-2")]))
    own = process.gossip.node.own
    process.gossip.follower.has_list = True
    process.gossip.node.accept_listing([own, LISTED_AGENT] if is_listed else [])
    process.instances = process.gossip.read_instances()
    process.handle(InstancesChanged(tuple(process.instances.values())))
    assert own.name in process.instances
    assert (own.name in process.steering.unlisted) is not is_listed
    process.gossip.node.accept_listing([LISTED_AGENT] if is_listed else [own])
    process.handle(Tick(process.clock.now_ms()))
    assert (own.name in process.steering.unlisted) is is_listed
