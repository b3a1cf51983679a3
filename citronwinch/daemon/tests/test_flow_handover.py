"""Flows go on through a planned restart of their agent, with real processes.

The failures guarded against: callers lose their flows at a planned restart, the backend
server sees a new peer, and packets are refused meanwhile.
"""

import pytest
import trio

from citronwinch.coordination import (
    Endpoint,
    Table,
    TransportProtocol,
)
from citronwinch.coordination.requests import RequestKind
from citronwinch.coordination.steering import (
    FlowsQuery,
    FlowTransfer,
    FlowTransferAck,
    FlowTransferEnd,
    LeaseRequest,
    TransferredFlow,
)
from citronwinch.daemon._events import StopRequested, Tick
from citronwinch.daemon.tests._deployment import DeploymentCaller, run_deployment
from citronwinch.daemon.tests.test_agent_requests import (
    FLOW,
    PEER,
    FakeDelivery,
    harness,
    make_row,
)

__all__ = ["harness"]

CALLERS = 6
STOP_LIMIT_SECONDS = 5
RETURN_LIMIT_SECONDS = 8
PEER_RUN = 7
PATH = "127.0.0.1 127.0.0.1:10"


class PortDelivery(FakeDelivery):
    """A delivery whose flows have sockets with known ports."""

    def __init__(self):
        super().__init__()
        self.opened = []
        self.is_port_taken = False

    def find_local_port(self, flow):
        return 40_000

    def open(self, flow, local_port=0):
        if self.is_port_taken:
            raise OSError("address in use")
        self.opened.append((flow, local_port))
        return local_port


async def stop(process):
    """Stop an agent, and release its sockets as the end of its process would."""
    ended = trio.Event()
    finish = process.finish

    def finish_and_signal():
        finish()
        ended.set()

    process.finish = finish_and_signal
    await process.inbox_send.send(StopRequested())
    with trio.fail_after(STOP_LIMIT_SECONDS):
        await ended.wait()
    await trio.sleep(0.1)
    process.peers.datagram_socket.close()
    for flow in list(process.udp_delivery.sockets):
        process.udp_delivery.close(flow)


async def start(deployment, nursery, name):
    """Start the next run of an agent, and wait until it is ready."""
    process = deployment.processes[name] = deployment.make_process(name)
    nursery.start_soon(process.run)
    with trio.fail_after(RETURN_LIMIT_SECONDS):
        while process.read_status().state != "ready":
            await trio.sleep(0.02)
    return process


def list_ports(process):
    sockets = process.udp_delivery.sockets
    return {flow: found.getsockname()[1] for flow, found in sockets.items()}


def test_restarted_agent_serves_its_flows_from_the_same_ports():
    async def check(nursery):
        async with run_deployment() as deployment:
            callers = [DeploymentCaller(deployment, "gauging") for _ in range(CALLERS)]
            servers = [
                (await caller.send_request("before")).split()[0] for caller in callers
            ]
            name = servers[0]
            for _ in range(2):
                previous = deployment.processes[name]
                ports = list_ports(previous)
                await stop(previous)
                with trio.move_on_after(0.3):
                    await callers[0].send_request("while away")
                process = await start(deployment, nursery, name)
                assert set(process.steering.owned) == set(previous.steering.owned)
                assert list_ports(process) == ports
                assert len(ports) == servers.count(name)
                for caller, server in zip(callers, servers, strict=True):
                    answer = await caller.send_request("after")
                    assert answer == f"{server} gauging after"
            nursery.cancel_scope.cancel()

    async def run():
        async with trio.open_nursery() as nursery:
            await check(nursery)

    trio.run(run)


def add_peer(harness):
    """Add a second agent to the service, which has sent a lease request."""
    process = harness.process
    process.udp_delivery = harness.delivery = PortDelivery()
    process.instances = {PEER.name: PEER}
    process.apply_table(Table(2, [make_row("gauging-1"), make_row(PEER.name)]))
    harness.receive(LeaseRequest("gauging", 2, 5, incarnation=PEER_RUN))


def open_flow(harness):
    harness.forward()
    harness.reply(RequestKind.ANSWER)
    assert FLOW.key in harness.process.steering.owned


def tick(harness, duration_ms=100):
    harness.clock.advance(duration_ms)
    harness.process.handle(Tick(harness.clock.now_ms()))


def acknowledge(harness, incarnation=PEER_RUN):
    for message in list_sent(harness, FlowTransfer):
        ack = FlowTransferAck(message.number, message.part, incarnation)
        harness.receive(ack, incarnation=PEER_RUN)


def list_sent(harness, kind):
    return [found for found in harness.sent_messages() if isinstance(found, kind)]


def make_returned(harness, **fields):
    incarnation = harness.process.peers.incarnation
    flow = TransferredFlow(FLOW.key, 3, 40_000)
    receivers = (("gauging-2", PEER_RUN),)
    values = {"path": PATH, "service": "gauging", "incarnation": incarnation - 1}
    returned = FlowTransfer(
        "gauging-1", 0, 1, receivers=receivers, part_count=1, flows=(flow,)
    )
    return returned._replace(**{**values, **fields})


def test_stopping_agent_is_drained_when_its_peer_has_the_flows(harness):
    open_flow(harness)
    add_peer(harness)
    harness.process.handle(StopRequested())
    assert not harness.process.is_drained()
    acknowledge(harness)
    assert harness.process.is_drained()
    [transfer] = list_sent(harness, FlowTransfer)
    assert transfer.flows == (TransferredFlow(FLOW.key, 0, 40_000),)
    harness.process.finish()
    end = list_sent(harness, FlowTransferEnd)[-1]
    assert (end.number, end.is_committed) == (transfer.number, True)
    assert harness.delivery.closed == []


def test_stopping_agent_waits_for_a_request_in_progress(harness):
    open_flow(harness)
    add_peer(harness)
    harness.forward(request_id=b"still in process")
    harness.process.handle(StopRequested())
    acknowledge(harness)
    assert not harness.process.is_drained()


@pytest.mark.parametrize("answer", ["none", "another run"])
def test_stopping_agent_without_acknowledgement_keeps_its_flows(harness, answer):
    open_flow(harness)
    add_peer(harness)
    harness.process.handle(StopRequested())
    for _ in range(20):
        tick(harness)
        if answer == "another run":
            acknowledge(harness, PEER_RUN + 1)
    assert not harness.process.is_drained()
    assert len(list_sent(harness, FlowTransfer)) > 1
    harness.process.finish()
    assert not list_sent(harness, FlowTransferEnd)[-1].is_committed


@pytest.fixture
def started(harness):
    """An agent that waits for the flows of its previous run."""
    process = harness.process
    process.flow_handler.has_restored = False
    process.steering.restoration.is_finished = False
    process.steering.restoration.started_ms = None
    add_peer(harness)
    assert list_sent(harness, FlowsQuery)
    return harness


def test_started_agent_drops_packets_until_its_flows_are_restored(started):
    started.forward()
    assert (started.sent_kinds(), started.delivery.sent) == ([], [])
    started.receive(make_returned(started))
    tick(started)
    assert started.delivery.opened == [(FLOW.key, 40_000)]
    assert started.process.steering.owned[FLOW.key].decision_number == 3
    started.forward()
    assert len(started.delivery.sent) == 1


# A packet that came between the peer's answer and the next tick was for an agent that
# no longer awaited the flow and did not own it yet.
def test_returned_flow_is_restored_before_the_next_packet(started):
    started.receive(make_returned(started))
    assert started.delivery.opened == [(FLOW.key, 40_000)]
    assert FLOW.key in started.process.steering.owned
    started.forward()
    assert (started.sent_kinds(), len(started.delivery.sent)) == ([], 1)
    tick(started)
    assert started.count("flows_restored_total") == 1


MOVED_ADDRESS = FLOW._replace(service=Endpoint("192.0.2.8", 7_000)).key
TCP_FLOW = FLOW._replace(protocol=TransportProtocol.TCP).key


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({"path": "127.0.0.2 127.0.0.1:10"}, "address"),
        ({"path": "127.0.0.1 127.0.0.1:11"}, "address"),
        ({"service": "reporting"}, None),
        ({"flows": (TransferredFlow(MOVED_ADDRESS),)}, "service"),
        ({"flows": (TransferredFlow(TCP_FLOW),)}, "service"),
    ],
    ids=["agent moved", "server moved", "row moved", "address moved", "protocol"],
)
def test_flow_that_the_server_would_not_know_is_not_restored(started, fields, reason):
    started.receive(make_returned(started, **fields))
    tick(started)
    assert not started.process.flow_handler.is_restoring
    assert not started.process.steering.owned
    assert reason is None or started.count("flows_not_restored_total", reason) == 1


def test_flow_whose_port_is_taken_is_not_restored(started):
    started.delivery.is_port_taken = True
    started.receive(make_returned(started))
    tick(started)
    assert not started.process.steering.owned
    assert started.count("flows_not_restored_total", "delivery") == 1


@pytest.mark.parametrize("answers", [True, False], ids=["no transfer", "silent peer"])
def test_agent_without_returned_flows_accepts_packets(started, answers):
    """After a crash nothing is returned, and the agent must not wait for long."""
    if answers:
        started.receive(FlowTransfer("gauging-1", 0, 0))
    tick(started, 100 if answers else 3_000)
    assert not started.process.flow_handler.is_restoring


def test_peer_of_a_stopped_agent_drops_the_packets_of_its_flows(harness):
    """An answer "unknown" would make the caller give its request up."""
    add_peer(harness)
    flow = TransferredFlow(FLOW.key)
    receivers = (("gauging-1", harness.process.peers.incarnation),)
    transfer = FlowTransfer(
        "gauging-2", PEER_RUN, 1, 0, "gauging", PATH, receivers, 0, 1, (flow,)
    )
    harness.receive(transfer, incarnation=PEER_RUN)
    harness.receive(FlowTransferEnd(PEER_RUN, 1, True), incarnation=PEER_RUN)
    harness.process.steering.leases_of("gauging").member(
        "gauging-2"
    ).has_departed = True
    tick(harness)
    harness.forward()
    harness.pass_time(1_000)
    assert (harness.sent_kinds(), harness.delivery.sent) == ([], [])
    harness.receive(FlowsQuery(PEER_RUN + 1), incarnation=PEER_RUN + 1)
    [returned] = list_sent(harness, FlowTransfer)
    assert returned.flows == (flow,)
