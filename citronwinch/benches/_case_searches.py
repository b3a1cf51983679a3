"""Processor time of searches for dead flows, with the codec.

One balancer searches for 100 flows that none of 50 agents holds, once with all first
packets at the same time and once with one flow after the other. The figures are for
the balancer and, separately, for all agents together.
"""

import random
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from citronwinch.coordination import (
    Endpoint,
    ManualClock,
    TransportProtocol,
    pack_flow_key,
    pack_ip,
)
from citronwinch.coordination.flows import (
    Action,
    AgentFlows,
    BackendServer,
    BalancerFlows,
    Configuration,
    DeploymentView,
    FlowAnswer,
    FlowAnswers,
    FlowQuestion,
    FlowQuestions,
    Message,
    Packet,
    ResetFlow,
    Route,
    SendMessage,
    ServerListing,
    ServerSelector,
    ServerState,
    ServiceShare,
    StorePosition,
    pack_route_address,
)
from citronwinch.flow_peers import decode_flow_message, encode_flow_message

AGENTS, SEARCHES, LINK_MBPS = 50, 100, 100
ZONES = "abc"
SERVICE = Endpoint("198.18.0.1", 443)
ROUND_TRIP_MS = 3
REPETITIONS = 20

Datagram = tuple[str, bytes]


def run_case(seed: int) -> dict[str, Any]:
    """Return the least processor time of several repetitions, in milliseconds."""
    figures: dict[str, Any] = {"agents": AGENTS, "searches": SEARCHES}
    for name, at_once in (("at_once", True), ("one_by_one", False)):
        runs = [
            measure_searches(seed + number, at_once=at_once)
            for number in range(REPETITIONS)
        ]
        figures[name] = min(runs, key=lambda run: run["balancer_ms"])
    return figures


def measure_searches(seed: int, *, at_once: bool) -> dict[str, float | int]:
    """Search for all flows and return the processor time and the messages."""
    rng = random.Random(seed)
    world = SearchWorld(rng)
    packets = [make_packet(rng) for _ in range(SEARCHES)]
    if at_once:
        world.search(packets)
    else:
        for packet in packets:
            world.search([packet])
    assert world.resets == SEARCHES, f"{world.resets} of {SEARCHES} flows were reset"
    return {
        "balancer_ms": round(world.balancer_ms, 1),
        "agents_ms": round(world.agents_ms, 1),
        "messages_each_way": world.messages,
    }


class SearchWorld:
    """A balancer and its agents, whose messages are carried in rounds."""

    def __init__(self, rng: random.Random) -> None:
        self.clock = ManualClock(100_000)
        servers = [
            BackendServer(
                f"s{number}",
                "gauging",
                Endpoint(f"10.0.0.{number}", 8080),
                ZONES[number % len(ZONES)],
                ServerState.READY,
                1,
                1_000,
            )
            for number in range(1, AGENTS + 1)
        ]
        route = Route("alarms", SERVICE, (ServiceShare("gauging", 1),), 1, 120, 1_000)
        view = DeploymentView(self.clock)
        view.accept_configuration(
            Configuration(1, {pack_route_address(SERVICE): route}, 15_000)
        )
        listing = ServerListing(StorePosition(1, 10), {s.name: s for s in servers})
        view.accept_listing(listing, self.clock.now_ms())
        self.view = view
        selector = ServerSelector("a", self.clock, rng)
        self.balancer = BalancerFlows(view, selector, self.clock, LINK_MBPS)
        self.agents = {
            server.address.ip: AgentFlows("gauging", self.clock, knows_all_flows=True)
            for server in servers
        }
        self.resets = self.messages = 0
        self.balancer_ms = self.agents_ms = 0.0

    def search(self, packets: list[Packet]) -> None:
        """Handle the first packets of flows and carry messages until all are reset."""
        self.view.confirm_listing(StorePosition(1, 10), self.clock.now_ms())
        sent, elapsed_ms = measure(partial(self._handle_packets, packets))
        self.balancer_ms += elapsed_ms
        while sent:
            self.messages += len(sent)
            answers, elapsed_ms = measure(partial(self._answer, sent))
            self.agents_ms += elapsed_ms
            self.clock.advance(ROUND_TRIP_MS)
            sent, elapsed_ms = measure(partial(self._handle_answers, answers))
            self.balancer_ms += elapsed_ms

    def _handle_packets(self, packets: list[Packet]) -> list[Datagram]:
        actions: list[Action] = []
        for packet in packets:
            actions += self.balancer.handle_packet(packet)
        return self._encode(actions)

    def _handle_answers(self, answers: list[Datagram]) -> list[Datagram]:
        sent: list[Datagram] = []
        for ip, data in answers:
            message = decode_flow_message(data)
            if isinstance(message, FlowAnswers):
                for answer in self.balancer.searches.batches.match_answers(ip, message):
                    sent += self._encode(self.balancer.handle_answer(answer, ip))
            elif isinstance(message, FlowAnswer):
                sent += self._encode(self.balancer.handle_answer(message, ip))
        return sent

    def _encode(self, actions: list[Action]) -> list[Datagram]:
        self.resets += sum(isinstance(action, ResetFlow) for action in actions)
        return [
            (action.ip, encode_flow_message(action.message))
            for action in actions
            if isinstance(action, SendMessage)
        ]

    def _answer(self, sent: list[Datagram]) -> list[Datagram]:
        answers: list[Datagram] = []
        for ip, data in sent:
            question = decode_flow_message(data)
            answer: Message
            if isinstance(question, FlowQuestions):
                answer = self.agents[ip].answer_questions(question)
            else:
                assert isinstance(question, FlowQuestion)
                answer = self.agents[ip].answer_question(question)
            answers.append((ip, encode_flow_message(answer)))
        return answers


def make_packet(rng: random.Random) -> Packet:
    """Return a packet of a flow that no agent holds."""
    caller = pack_ip(f"100.64.{rng.randrange(256)}.{rng.randrange(256)}")
    port = rng.randrange(1_024, 65_536)
    service = pack_ip(SERVICE.ip)
    key = pack_flow_key(TransportProtocol.TCP, caller, port, service, SERVICE.port)
    acknowledged = rng.randrange(1 << 32)
    return Packet(key, False, False, False, False, 0, acknowledged, 10, bytes(64))


def measure(run: Callable[[], list[Datagram]]) -> tuple[list[Datagram], float]:
    """Return the result of a function and its processor time in milliseconds."""
    started_s = time.process_time()
    result = run()
    return result, (time.process_time() - started_s) * 1_000
