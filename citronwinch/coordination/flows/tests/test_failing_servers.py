"""Servers that fail part of their requests while they look healthy and idle.

The pattern: a server that refuses, resets or fails at once has short queues, and its
flows end early, so that a choice by load alone sends it more and more new flows.
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
    ServerChoice,
)
from citronwinch.coordination.flows.tests.conftest import make_packet, make_server

SERVERS = 7
REQUEST_MS = 15
STEP_MS = 40
PATIENCE_MS = 1_000
FAILING = 1
FAILED_REQUESTS = 0.45
EVEN_SHARE = 1 / SERVERS


class Failure(Enum):
    """How a server fails a request."""

    RESET = "reset"
    QUICK = "quick answer"
    MUTE = "no answer"


class Crowd:
    """Callers that keep flows open at servers with agents, one of which fails."""

    def __init__(self, clock: ManualClock, failure: Failure | None) -> None:
        self.clock = clock
        self.failure = failure
        self.rng = random.Random(5)
        self.servers = [make_server(number) for number in range(1, SERVERS + 1)]
        self.choice = ServerChoice("a", clock, random.Random(6))
        self.agents = {
            server.address.ip: AgentFlows("gauging", clock, knows_all_flows=True)
            for server in self.servers
        }
        self.flows: dict[int, str] = {}
        self.opened: Counter[str] = Counter()
        self.sequences: Counter[int] = Counter()
        self.muted: dict[int, int] = {}
        self.next_port = 10_000

    def step(self, flows: int) -> None:
        """Report, open what is missing, and let every tenth flow ask."""
        for ip, agent in self.agents.items():
            self.choice.hear(ip, agent.make_load_report())
        while len(self.flows) < flows:
            self._open()
        self._give_up()
        idle = sorted(self.flows.keys() - self.muted.keys())
        asking = self.rng.sample(idle, len(idle) // 10)
        for port in asking:
            self.ask(port)
        self.clock.advance(REQUEST_MS)
        for port in asking:
            if port not in self.muted:
                self._answer(port)
        self.clock.advance(STEP_MS - REQUEST_MS)

    def _open(self) -> None:
        chosen = self.choice.choose(self.servers)
        assert chosen is not None
        self.choice.note_placed(chosen.server)
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

    def ask(self, port: int) -> None:
        self.sequences[port] += 100
        fields = {"sequence": self.sequences[port], "payload": 100}
        self.send(port, b"", acknowledged=501, **fields)
        if not self._fails(port):
            return
        if self.failure is Failure.MUTE:
            self.muted[port] = self.clock.now_ms()
        else:
            is_reset = self.failure is Failure.RESET
            answer = make_packet(port, reset=is_reset, payload=0 if is_reset else 90)
            self.agents[self.flows[port]].handle_from_server(answer)
            del self.flows[port]

    def _fails(self, port: int) -> bool:
        is_failing = self.flows[port] == f"10.0.0.{FAILING}"
        chance = self.rng.random()
        return self.failure is not None and is_failing and chance < FAILED_REQUESTS

    def _answer(self, port: int) -> None:
        if port in self.flows:
            answer = make_packet(port, payload=2_000)
            self.agents[self.flows[port]].handle_from_server(answer)

    def _give_up(self) -> None:
        """Close the flows on which a request has waited for too long."""
        for port, since_ms in list(self.muted.items()):
            if self.clock.now_ms() - since_ms > PATIENCE_MS:
                self.send(port, b"", acknowledged=501, sequence=900, finishing=True)
                del self.muted[port], self.flows[port]


@pytest.mark.parametrize("failure", [Failure.RESET, Failure.QUICK])
def test_a_server_that_fails_at_once_does_not_draw_the_new_flows(
    clock: ManualClock, failure: Failure
) -> None:
    crowd = Crowd(clock, failure)
    for _ in range(50):
        crowd.step(140)
    crowd.opened.clear()
    for _ in range(150):
        crowd.step(140)
        port = crowd.rng.choice(sorted(crowd.flows))
        del crowd.flows[port]
    share = crowd.opened[f"10.0.0.{FAILING}"] / crowd.opened.total()
    assert crowd.opened.total() >= 100
    assert share < EVEN_SHARE


@pytest.mark.parametrize("end", ["reset", "finishing"])
def test_a_request_that_its_caller_gives_up_seems_to_have_failed(
    clock: ManualClock, end: str
) -> None:
    crowd = Crowd(clock, None)
    crowd.step(SERVERS)
    before = [agent.outcome_meter.read_share() for agent in crowd.agents.values()]
    port = next(iter(crowd.flows))
    crowd.ask(port)
    crowd.send(port, b"", acknowledged=501, sequence=200, **{end: True})
    after = [agent.outcome_meter.read_share() for agent in crowd.agents.values()]
    assert sum(after) > sum(before)


def test_a_server_that_is_mute_for_some_requests_gets_no_new_flows(
    clock: ManualClock,
) -> None:
    crowd = Crowd(clock, Failure.MUTE)
    for _ in range(120):
        crowd.step(140)
    failing = crowd.agents[f"10.0.0.{FAILING}"]
    assert failing.make_load_report().failed_share > 0.3
    crowd.opened.clear()
    for port in sorted(crowd.flows.keys() - crowd.muted.keys())[::2]:
        del crowd.flows[port]
    crowd.step(140)
    assert crowd.opened[f"10.0.0.{FAILING}"] == 0
    assert crowd.opened.total() >= 50


def test_a_server_that_has_recovered_gets_new_flows_again(clock: ManualClock) -> None:
    crowd = Crowd(clock, Failure.RESET)
    for _ in range(50):
        crowd.step(140)
    crowd.failure = None
    for _ in range(250):
        crowd.step(140)
    crowd.opened.clear()
    crowd.flows = {port: ip for port, ip in crowd.flows.items() if port % 2}
    crowd.step(140)
    assert crowd.opened[f"10.0.0.{FAILING}"] >= crowd.opened.total() * EVEN_SHARE


@pytest.mark.parametrize(
    ("shares", "left_out"),
    [
        pytest.param((0.5, 0, 0, 0, 0, 0), {1}, id="one fails"),
        pytest.param((0.1, 0, 0, 0, 0, 0), set(), id="within the margin"),
        pytest.param((0.5,) * 6, set(), id="all fail"),
        pytest.param((0.9, 0.8, 0.7, 0, 0, 0), {1, 2}, id="half fail: the worst third"),
        pytest.param((0.9, 0), set(), id="one of two"),
    ],
)
def test_outliers_are_passed_over_but_never_all(
    clock: ManualClock, shares: tuple[float, ...], left_out: set[int]
) -> None:
    choice = ServerChoice("a", clock, random.Random(1))
    servers = [make_server(number) for number in range(1, len(shares) + 1)]
    for server, share in zip(servers, shares, strict=True):
        # The failing ones look idle.
        report = LoadReport("gauging", round(30 * (1 - share)), 0, 15, 0.2, True, share)
        choice.hear(server.address.ip, report)
    chosen = set()
    for _ in range(200):
        best = choice.choose(servers)
        assert best is not None
        choice.note_placed(best.server)
        chosen.add(best.server.address.ip)
    assert chosen == {
        server.address.ip
        for number, server in enumerate(servers, 1)
        if number not in left_out
    }
