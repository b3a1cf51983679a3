"""Where a daemon sends to while its list of instances is old or unknown."""

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
from citronwinch.daemon._events import InstancesChanged, PeerBatch
from citronwinch.daemon.tests.test_agent_requests import SETTINGS, make_row
from citronwinch.network import Datagram
from citronwinch.operators import parse_settings
from citronwinch.peers import Envelope, encode_envelope

JOINED = ("192.0.2.77", 7_000)
LISTED = Instance("gauging-2", InstanceRole.AGENT, "a", Endpoint("192.0.2.78", 7_000))


@pytest.fixture
def process(monkeypatch):
    monkeypatch.setattr(
        "citronwinch.daemon._process.MonotonicClock", lambda: ManualClock(100_000)
    )
    process = AgentProcess(parse_settings(SETTINGS, "test.ini").ok)
    yield process
    process.peers.port.close()


def receive(process, sender=JOINED):
    message = LeaseRequest("gauging", 1, 5)
    data = encode_envelope(Envelope("gauging-2", 1, 1, 1, message))
    sealed = process.peers.keys.sign(data)
    return process.peers.open(Datagram(sealed, sender))


def test_an_agent_that_is_in_no_list_yet_is_answered(process):
    process.use_table(Table(1, [make_row("gauging-1"), make_row("gauging-2")]))
    sent = []
    process.peers.port.send = lambda data, receiver: sent.append(receiver)
    envelope = receive(process)
    process.handle(PeerBatch([envelope], process.clock.now_ms()))
    assert set(sent) == {JOINED}


def test_the_list_goes_before_the_last_sender(process):
    receive(process)
    process.instances = {LISTED.name: LISTED}
    process.handle(InstancesChanged((LISTED,)))
    assert process.find_address("gauging-2") == LISTED.address


def test_nobody_knows_an_instance_that_was_never_heard(process):
    assert process.find_address("gauging-2") is None


def test_no_table_is_in_force_before_the_list_is_known(process):
    spread = process.spread
    spread.node.gate.is_open = True
    spread.node.replica.table = Table(1, [make_row("gauging-1")])
    assert spread.table.revision == 0
    spread.follower.has_list = True
    assert spread.table.revision == 1
