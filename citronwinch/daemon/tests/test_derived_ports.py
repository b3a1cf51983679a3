"""Flows of an agent without peers go on through a restart, with real sockets.

The failures guarded against: the agent keeps running although its next run can continue
its flows, it ends although the next run cannot, the backend server sees a new peer, a
flow is refused while no run is there, and a request runs twice.
"""

import socket
from contextlib import AsyncExitStack, ExitStack, contextmanager
from unittest import mock

import pytest
import trio

from citronwinch.backend_servers import add_request_header, read_request_header
from citronwinch.coordination import (
    Endpoint,
    Flow,
    MonotonicClock,
    TransportProtocol,
)
from citronwinch.coordination.requests import RequestKind, RequestMetadata
from citronwinch.daemon.tests._deployment import (
    SETTLING_MS,
    DeploymentCaller,
    run_deployment,
)
from citronwinch.daemon.tests.test_flow_handover import list_ports, start, stop
from citronwinch.operators import format_table

NAME = "reporting-1"
SERVICE = "reporting"
CALLERS = 6
ANSWER_LIMIT_SECONDS = 2
EARLY_STOP_SECONDS = 1
STOP_TIMEOUT_MS = 2_000
OLD_REQUEST_AGE_MS = 20_000
START_CLOCK_RATE = 4


class StartClock:
    """The time of all processes, which is faster while processes start.

    A started agent waits for 3 s of that time to learn of former members.
    """

    def __init__(self):
        self.read_time = MonotonicClock.now_ms
        self.skipped_ms = 0
        self.faster_since_ms = None

    def now_ms(self, clock):
        now_ms = self.read_time(clock)
        since_ms = now_ms if self.faster_since_ms is None else self.faster_since_ms
        return now_ms + self.skipped_ms + (now_ms - since_ms) * (START_CLOCK_RATE - 1)

    @contextmanager
    def run_faster(self):
        clock = MonotonicClock()
        self.faster_since_ms = self.read_time(clock)
        try:
            yield
        finally:
            self.skipped_ms = self.now_ms(clock) - self.read_time(clock)
            self.faster_since_ms = None


class LoneAgent:
    """A deployment in which the agent of the service "reporting" has no peer."""

    def __init__(self, deployment, nursery, clock):
        self.deployment = deployment
        self.nursery = nursery
        self.clock = clock
        self.server = deployment.servers[NAME]
        self.address = deployment.service_addresses[SERVICE]
        self.callers = []
        self.peers_by_body: dict[bytes, set[tuple[str, int]]] = {}
        receive = self.server.receive

        def record_and_receive(datagram):
            body = datagram.data.split(b" ")[-1]
            self.peers_by_body.setdefault(body, set()).add(datagram.sender)
            receive(datagram)

        self.server.receive = record_and_receive

    @property
    def process(self):
        return self.deployment.processes[NAME]

    async def open_flow(self):
        """Open the flow of a new caller, whose derived port is free."""
        while True:
            caller = DeploymentCaller(self.deployment, SERVICE)
            await caller.socket.bind((self.deployment.host, 0))
            flow = self.find_flow(caller)
            port = self.process.udp_delivery.derive_local_port(flow)
            with ExitStack() as probes:
                probe = probes.enter_context(open_socket())
                try:
                    probe.bind(("", port))
                except OSError:
                    continue
            self.callers.append(caller)
            assert await caller.send_request("before") == "reporting-1 reporting before"
            return caller

    def find_flow(self, caller):
        address = Endpoint(*caller.socket.getsockname()[:2])
        return Flow(TransportProtocol.UDP, address, self.address).key

    def find_port(self, caller):
        return self.process.udp_delivery.find_local_port(self.find_flow(caller))

    async def start_settled(self, nursery=None):
        """Start the next run with a clock by which it has waited for old requests."""
        read_time = MonotonicClock.now_ms

        def read_earlier_time(clock):
            return read_time(clock) - SETTLING_MS

        make_process = self.deployment.make_process

        def make_settled_process(name):
            with mock.patch.object(MonotonicClock, "now_ms", read_earlier_time):
                return make_process(name)

        with (
            mock.patch.object(self.deployment, "make_process", make_settled_process),
            self.clock.run_faster(),
        ):
            return await start(self.deployment, nursery or self.nursery, NAME)

    def count(self, name):
        counters = self.process.metrics.counters
        return sum(value for key, value in counters.items() if key[0] == name)


def open_socket():
    return socket.socket(socket.AF_INET, socket.SOCK_DGRAM)


def run_lone_agent(check):
    clock = StartClock()

    async def run():
        async with trio.open_nursery() as nursery, AsyncExitStack() as stack:
            with clock.run_faster():
                deployment = await stack.enter_async_context(run_deployment())
            await check(LoneAgent(deployment, nursery, clock))
            nursery.cancel_scope.cancel()

    with mock.patch.object(MonotonicClock, "now_ms", lambda own: clock.now_ms(own)):
        trio.run(run)


async def echo(caller, text):
    """Send a datagram without a request, and return the server's echo."""
    await caller.socket.send(text)
    with trio.fail_after(ANSWER_LIMIT_SECONDS):
        return await caller.socket.recv(100)


async def send(caller, request):
    """Send a request packet, and return the kind of its outcome."""
    await caller.socket.send(add_request_header(request, b"reporting again"))
    parts = set()
    with trio.fail_after(ANSWER_LIMIT_SECONDS):
        while True:
            answer = read_request_header(await caller.socket.recv(65_535))
            assert answer is not None and answer.request_id == request.request_id
            parts.add(answer.part)
            if len(parts) == answer.part_count:
                return answer.kind


def make_request(number, age_ms=0):
    return RequestMetadata(
        RequestKind.REQUEST, bytes(15) + bytes([number]), False, 2_000, age_ms=age_ms
    )


def test_flows_go_on_from_the_same_ports_after_a_planned_restart():
    async def check(lone):
        for _ in range(CALLERS):
            await lone.open_flow()
        ports = list_ports(lone.process)
        delivery = lone.process.udp_delivery
        assert ports == {flow: delivery.derive_local_port(flow) for flow in ports}
        stopped_at = trio.current_time()
        await stop(lone.process)
        assert trio.current_time() - stopped_at < EARLY_STOP_SECONDS
        assert lone.count("flows_left_to_next_run_total") == CALLERS
        assert lone.count("flows_handed_over_total") == 0
        with trio.move_on_after(0.3) as away:
            await lone.callers[0].send_request("away")
        assert away.cancelled_caught
        await lone.start_settled()
        assert not lone.process.steering.owned
        for number, caller in enumerate(lone.callers):
            if number % 2:
                assert await echo(caller, b"after") == b"after"
            else:
                answer = await caller.send_request("after")
                assert answer == "reporting-1 reporting after"
        assert list_ports(lone.process) == ports
        assert lone.peers_by_body[b"after"] == lone.peers_by_body[b"before"]

    run_lone_agent(check)


def test_flow_whose_port_is_taken_while_away_goes_on_from_another_port():
    async def check(lone):
        taken, free = [await lone.open_flow() for _ in range(2)]
        ports = {caller: lone.find_port(caller) for caller in (taken, free)}
        await stop(lone.process)
        with open_socket() as other:
            other.bind(("", ports[taken]))
            await lone.start_settled()
            for caller in (taken, free):
                answer = await caller.send_request("after")
                assert answer == "reporting-1 reporting after"
        assert lone.find_port(free) == ports[free]
        assert lone.find_port(taken) not in (0, *ports.values())

    run_lone_agent(check)


def test_flows_keep_their_ports_after_a_crash():
    async def check(lone):
        await lone.open_flow()
        await stop(lone.process)
        async with trio.open_nursery() as crashing:
            await lone.start_settled(crashing)
            await lone.callers[0].send_request("between")
            ports = list_ports(lone.process)
            crashing.cancel_scope.cancel()
        lone.process.peers.datagram_socket.close()
        for flow in ports:
            lone.process.udp_delivery.close(flow)
        await lone.start_settled()
        answer = await lone.callers[0].send_request("after")
        assert answer == "reporting-1 reporting after"
        assert list_ports(lone.process) == ports
        assert lone.peers_by_body[b"after"] == lone.peers_by_body[b"before"]

    run_lone_agent(check)


@pytest.mark.parametrize("is_settled", [False, True], ids=["at once", "old request"])
def test_request_of_the_previous_run_does_not_run_again(is_settled):
    """The next run has no records, and cannot tell which requests have run."""

    async def check(lone):
        caller = await lone.open_flow()
        assert await send(caller, make_request(1)) is RequestKind.ANSWER
        await stop(lone.process)
        if is_settled:
            await lone.start_settled()
            age_ms = OLD_REQUEST_AGE_MS
        else:
            process = lone.deployment.make_process(NAME)
            lone.deployment.processes[NAME] = process
            lone.nursery.start_soon(process.run)
            with trio.fail_after(ANSWER_LIMIT_SECONDS):
                while process.flow_handler.is_restoring:
                    await trio.sleep(0.02)
            age_ms = 1_500
        for number in (1, 2):
            kind = await send(caller, make_request(number, age_ms))
            assert kind is RequestKind.UNKNOWN
        assert lone.server.executed[make_request(1).request_id] == 1
        assert lone.server.executed[make_request(2).request_id] == 0

    run_lone_agent(check)


def test_request_that_a_crash_interrupted_does_not_run_again():
    async def check(lone):
        caller = await lone.open_flow()
        await stop(lone.process)
        request = make_request(1)
        async with trio.open_nursery() as crashing:
            await lone.start_settled(crashing)
            lone.process.queue_reply = lambda reply: None
            lone.process.udp_delivery.on_reply = lone.process.queue_reply
            with trio.move_on_after(0.3) as waiting:
                await send(caller, request)
            assert waiting.cancelled_caught
            assert not lone.process.is_drained()
            crashing.cancel_scope.cancel()
        lone.process.peers.datagram_socket.close()
        lone.process.udp_delivery.close(lone.find_flow(caller))
        await lone.start_settled()
        copy = request._replace(age_ms=OLD_REQUEST_AGE_MS)
        assert await send(caller, copy) is RequestKind.UNKNOWN
        assert lone.server.executed[request.request_id] == 1
        assert await send(caller, make_request(2)) is RequestKind.ANSWER
        late = add_request_header(request._replace(kind=RequestKind.ANSWER), b"late")
        peer = (lone.deployment.host, lone.find_port(caller))
        lone.server.datagram_socket.send(late, peer)
        with trio.move_on_after(0.3) as waiting:
            await caller.socket.recv(100)
        assert waiting.cancelled_caught
        assert lone.count("request_packets_discarded_total") == 1

    run_lone_agent(check)


PORT_TRIES = 20
"""How many callers are tried until the derived port of one is free."""


async def take_port(lone):
    """Open a second flow whose derived port another socket has.

    The kernel chooses the caller's port, and may have given the port that is derived
    from it to a socket of another program.
    """
    other = open_socket()
    for _ in range(PORT_TRIES):
        caller = DeploymentCaller(lone.deployment, SERVICE)
        await caller.socket.bind((lone.deployment.host, 0))
        port = lone.process.udp_delivery.derive_local_port(lone.find_flow(caller))
        try:
            other.bind(("", port))
        except OSError:
            continue
        break
    assert other.getsockname()[1] == port
    await caller.send_request("taken")
    assert lone.find_port(caller) not in (0, port)
    lone.callers.append(caller)


async def open_flow_of_other_protocol(lone):
    """Own a TCP flow, as after an edit that gave the row another protocol."""
    flow = Flow(TransportProtocol.TCP, Endpoint("192.0.2.1", 4_000), lone.address)
    lone.process.steering.flows.open(flow.key, SERVICE)


async def drain_row(lone):
    rows = [
        row._replace(weight=0) if row.backend_server == NAME else row
        for row in lone.deployment.rows
    ]
    revision = lone.process.table.revision
    assert not lone.deployment.platform.publish_table(format_table(rows))
    with trio.fail_after(ANSWER_LIMIT_SECONDS):
        while lone.process.table.revision == revision:
            await trio.sleep(0.02)


async def list_as_leaving(lone):
    instances = [
        {**item, "state": "leaving"} if item["name"] == NAME else item
        for item in lone.deployment.list_instances()
    ]
    lone.deployment.platform.publish_instances(instances)
    # The next regular read of the list may be a minute away.
    lone.process.gossip.follower.list_due_ms = lone.process.clock.now_ms()
    with trio.fail_after(ANSWER_LIMIT_SECONDS):
        while not lone.process.steering.was_leaving:
            await trio.sleep(0.02)


LASTING_CASES = {
    "port taken": (take_port, 1),
    "other protocol": (open_flow_of_other_protocol, 1),
    "drained row": (drain_row, 0),
    "leaving instance": (list_as_leaving, 0),
}


@pytest.mark.parametrize("case", LASTING_CASES)
def test_agent_keeps_flows_that_the_next_run_cannot_continue(case):
    prepare, left_count = LASTING_CASES[case]

    async def check(lone):
        await lone.open_flow()
        await prepare(lone)
        process = lone.process
        process.settings = process.settings._replace(stop_timeout_ms=STOP_TIMEOUT_MS)
        stopped_at = trio.current_time()
        lone.nursery.start_soon(stop, process)
        await trio.sleep(EARLY_STOP_SECONDS)
        for caller in lone.callers:
            assert await echo(caller, b"stopping") == b"stopping"
        with trio.fail_after(STOP_TIMEOUT_MS / 1_000):
            while process.udp_delivery.sockets:
                await trio.sleep(0.02)
        assert trio.current_time() - stopped_at >= STOP_TIMEOUT_MS / 1_000
        assert lone.count("flows_left_to_next_run_total") == left_count

    run_lone_agent(check)
