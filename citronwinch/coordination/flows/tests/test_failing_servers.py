"""Servers that fail part of their requests but appear healthy and idle.

Guards against a choice by load alone: a server that refuses, resets or fails requests
immediately has short queues and few open flows, so that it gets ever more new flows.
"""

import random
from collections import Counter
from enum import Enum

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    AgentFlows,
    ForwardedPacket,
    LoadReport,
    ServerSelector,
)
from citronwinch.coordination.flows.tests.conftest import make_packet, make_server

SERVERS = 7
REQUEST_MS = 15
STEP_MS = 40
CALLER_TIMEOUT_MS = 1_000
FAILING_SERVER = 1
FAILED_SHARE = 0.45
EVEN_SHARE = 1 / SERVERS


class Failure(Enum):
    """How a server fails a request."""

    RESET = "reset"
    QUICK = "quick answer"
    NO_ANSWER = "no answer"


class FailingServerSimulation:
    """Callers that keep flows open at servers with agents, one of which fails."""

    def __init__(self, clock: ManualClock, failure: Failure | None) -> None:
        self.clock = clock
        self.failure = failure
        self.rng = random.Random(5)
        self.servers = [make_server(number) for number in range(1, SERVERS + 1)]
        self.selector = ServerSelector("a", clock, random.Random(6))
        self.agents = {
            server.address.ip: AgentFlows("gauging", clock, knows_all_flows=True)
            for server in self.servers
        }
        self.flows: dict[int, str] = {}
        self.opened: Counter[str] = Counter()
        self.sequences: Counter[int] = Counter()
        self.unanswered_ms: dict[int, int] = {}
        self.next_port = 10_000

    def step(self, flows: int) -> None:
        """Send reports, open missing flows, and send a request on every tenth flow."""
        for ip, agent in self.agents.items():
            self.selector.record_message(ip, agent.make_load_report())
        while len(self.flows) < flows:
            self._open()
        self._abandon_requests()
        idle = sorted(self.flows.keys() - self.unanswered_ms.keys())
        requesting = self.rng.sample(idle, len(idle) // 10)
        for port in requesting:
            self.send_request(port)
        self.clock.advance(REQUEST_MS)
        for port in requesting:
            if port not in self.unanswered_ms:
                self._answer(port)
        self.clock.advance(STEP_MS - REQUEST_MS)

    def _open(self) -> None:
        chosen = self.selector.choose(self.servers)
        assert chosen is not None
        self.selector.record_placed_flow(chosen.server)
        ip = chosen.server.address.ip
        self.next_port += 1
        port = self.next_port
        self.flows[port] = ip
        self.opened[ip] += 1
        self.send(port, make_packet(port, opening=True).raw, opening=True)
        acceptance = make_packet(port, opening=True, sequence=500)
        self.agents[ip].handle_from_server(acceptance)

    def send(self, port: int, raw: bytes, **fields: int) -> None:
        ip = self.flows[port]
        packet = make_packet(port, **fields)  # type: ignore[arg-type]
        message = ForwardedPacket("gauging", raw)
        self.agents[ip].handle_forwarded(message, packet, "10.0.1.1")

    def send_request(self, port: int) -> None:
        self.sequences[port] += 100
        fields = {"sequence": self.sequences[port], "payload": 100}
        self.send(port, b"", acknowledged=501, **fields)
        if not self._fails(port):
            return
        if self.failure is Failure.NO_ANSWER:
            self.unanswered_ms[port] = self.clock.now_ms()
        else:
            is_reset = self.failure is Failure.RESET
            answer = make_packet(port, reset=is_reset, payload=0 if is_reset else 90)
            self.agents[self.flows[port]].handle_from_server(answer)
            del self.flows[port]

    def _fails(self, port: int) -> bool:
        is_failing = self.flows[port] == f"10.0.0.{FAILING_SERVER}"
        chance = self.rng.random()
        return self.failure is not None and is_failing and chance < FAILED_SHARE

    def _answer(self, port: int) -> None:
        if port in self.flows:
            answer = make_packet(port, payload=2_000)
            self.agents[self.flows[port]].handle_from_server(answer)

    def _abandon_requests(self) -> None:
        """Close the flows whose request has exceeded the timeout of callers."""
        for port, since_ms in list(self.unanswered_ms.items()):
            if self.clock.now_ms() - since_ms > CALLER_TIMEOUT_MS:
                self.send(port, b"", acknowledged=501, sequence=900, finishing=True)
                del self.unanswered_ms[port], self.flows[port]


@pytest.mark.parametrize("failure", [Failure.RESET, Failure.QUICK])
def test_a_server_that_fails_immediately_does_not_attract_new_flows(
    clock: ManualClock, failure: Failure
) -> None:
    simulation = FailingServerSimulation(clock, failure)
    for _ in range(50):
        simulation.step(140)
    simulation.opened.clear()
    for _ in range(150):
        simulation.step(140)
        port = simulation.rng.choice(sorted(simulation.flows))
        del simulation.flows[port]
    share = simulation.opened[f"10.0.0.{FAILING_SERVER}"] / simulation.opened.total()
    assert simulation.opened.total() >= 100
    assert share < EVEN_SHARE


@pytest.mark.parametrize("end", ["reset", "finishing"])
def test_a_request_that_its_caller_abandons_counts_as_failed(
    clock: ManualClock, end: str
) -> None:
    simulation = FailingServerSimulation(clock, None)
    simulation.step(SERVERS)
    before = [
        agent.requests.outcome_meter.read_failed_share()
        for agent in simulation.agents.values()
    ]
    port = next(iter(simulation.flows))
    simulation.send_request(port)
    simulation.send(port, b"", acknowledged=501, sequence=200, **{end: True})
    after = [
        agent.requests.outcome_meter.read_failed_share()
        for agent in simulation.agents.values()
    ]
    assert sum(after) > sum(before)


def test_a_server_that_leaves_requests_unanswered_gets_no_new_flows(
    clock: ManualClock,
) -> None:
    simulation = FailingServerSimulation(clock, Failure.NO_ANSWER)
    for _ in range(120):
        simulation.step(140)
    failing = simulation.agents[f"10.0.0.{FAILING_SERVER}"]
    assert failing.make_load_report().failed_share > 0.3
    simulation.opened.clear()
    for port in sorted(simulation.flows.keys() - simulation.unanswered_ms.keys())[::2]:
        del simulation.flows[port]
    simulation.step(140)
    assert simulation.opened[f"10.0.0.{FAILING_SERVER}"] == 0
    assert simulation.opened.total() >= 50


def test_a_server_that_has_recovered_gets_new_flows_again(clock: ManualClock) -> None:
    simulation = FailingServerSimulation(clock, Failure.RESET)
    for _ in range(50):
        simulation.step(140)
    simulation.failure = None
    for _ in range(250):
        simulation.step(140)
    simulation.opened.clear()
    simulation.flows = {port: ip for port, ip in simulation.flows.items() if port % 2}
    simulation.step(140)
    assert (
        simulation.opened[f"10.0.0.{FAILING_SERVER}"]
        >= simulation.opened.total() * EVEN_SHARE
    )


@pytest.mark.parametrize(
    ("shares", "outliers"),
    [
        pytest.param((0.5, 0, 0, 0, 0, 0), {1}, id="one fails"),
        pytest.param((0.1, 0, 0, 0, 0, 0), set(), id="within the margin"),
        pytest.param((0.5,) * 6, set(), id="all fail"),
        pytest.param((0.9, 0.8, 0.7, 0, 0, 0), {1, 2}, id="half fail: the worst third"),
        pytest.param((0.9, 0), set(), id="one of two"),
    ],
)
def test_outliers_are_excluded_but_never_all_servers(
    clock: ManualClock, shares: tuple[float, ...], outliers: set[int]
) -> None:
    selector = ServerSelector("a", clock, random.Random(1))
    servers = [make_server(number) for number in range(1, len(shares) + 1)]
    for server, share in zip(servers, shares, strict=True):
        # Failing servers report less load.
        report = LoadReport("gauging", round(30 * (1 - share)), 0, 15, 0.2, True, share)
        selector.record_message(server.address.ip, report)
    chosen = set()
    for _ in range(200):
        best = selector.choose(servers)
        assert best is not None
        selector.record_placed_flow(best.server)
        chosen.add(best.server.address.ip)
    assert chosen == {
        server.address.ip
        for number, server in enumerate(servers, 1)
        if number not in outliers
    }
