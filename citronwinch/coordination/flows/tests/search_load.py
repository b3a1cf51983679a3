"""A balancer on a thin link that searches for flows, with agents in three zones."""

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

from citronwinch.coordination import FlowKey, ManualClock
from citronwinch.coordination.flows import (
    Action,
    AgentFlows,
    BalancerFlows,
    DeploymentView,
    FlowAnswer,
    FlowAnswers,
    FlowLocation,
    FlowLocations,
    FlowLookup,
    FlowQuestion,
    FlowQuestions,
    Message,
    ResetFlow,
    SendMessage,
    ServerSelector,
    StorePosition,
)
from citronwinch.coordination.flows._flow_entry import FlowEntry, FlowState
from citronwinch.coordination.flows._question_batches import (
    compute_bytes,
    list_questions,
)
from citronwinch.coordination.flows._search_outcomes import MIN_DEAD_OUTCOMES
from citronwinch.coordination.flows.tests.conftest import (
    make_configuration,
    make_listing,
    make_packet,
    make_server,
)

BALANCER_IP = "10.9.0.1"
PEER_IPS = [f"10.9.0.{number}" for number in range(2, 7)]
LOCAL_LATENCY_MS = 0.3
REMOTE_LATENCY_MS = 1.4
TICK_MS = 20
MIN_TICK_MS = 5
OTHER_MESSAGE_BYTES = 64


class Network(NamedTuple):
    """The messages that do not arrive, and the speed of the balancer's link."""

    link_bytes_per_ms: float = 0.0
    """How fast the link carries messages in each direction; 0 for no limit."""

    is_lost: Callable[[str, Message], bool] = lambda ip, message: False
    """Whether a message to or from an instance is lost."""


class SearchLoad:
    """Runs a balancer and its agents through a load of packets of unknown flows."""

    def __init__(
        self,
        agents: int = 50,
        link_mbps: int = 5,
        network: Network | None = None,
        peers: Iterable[str] = (),
    ) -> None:
        self.clock = ManualClock(100_000)
        self.now = 100_000.0
        self.network = network or Network()
        self.link_free = {"up": 0.0, "down": 0.0}
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.scheduled = 0
        self.servers = [
            make_server(n, "gauging" if n % 4 else "reporting", zone="abc"[n % 3])
            for n in range(1, agents + 1)
        ]
        self.agents = {
            server.address.ip: AgentFlows(
                server.service, self.clock, knows_all_flows=True
            )
            for server in self.servers
        }
        self.zones = {s.address.ip: s.availability_zone for s in self.servers}
        self.view = DeploymentView(self.clock)
        self.view.accept_configuration(make_configuration())
        listing = make_listing(10, *self.servers)
        self.view.accept_listing(listing, self.clock.now_ms())
        self.selector = ServerSelector("a", self.clock, random.Random(7))
        for ip in self.agents:
            self.selector.record_message(ip)
        self.balancer = BalancerFlows(
            self.view, self.selector, self.clock, link_mbps, BALANCER_IP
        )
        self.peers = set(peers)
        self.balancer.directory.set_balancers({BALANCER_IP, *self.peers})
        self.locations: dict[FlowKey, FlowLocation] = {}
        """The locations of flows that the other balancers know."""
        self.first_packet_ms: dict[FlowKey, float] = {}
        self.reset_ms: dict[FlowKey, float] = {}
        self.answers: deque[tuple[str, Message]] = deque(maxlen=50)
        """The latest answers of agents and balancers."""
        self.question_bytes = 0
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self.schedule(self.now, self._tick)

    def schedule(self, at_ms: float, event: Callable[[], None]) -> None:
        """Run an event at a time."""
        self.scheduled += 1
        heapq.heappush(self.events, (at_ms, self.scheduled, event))

    def send_packet(self, port: int, at_ms: float) -> None:
        """Let a caller send a packet of a flow at a time after the start."""
        packet = make_packet(port, payload=10, acknowledged=port * 40_503)

        def arrive() -> None:
            self.first_packet_ms.setdefault(packet.flow, self.now)
            self.apply(self.balancer.handle_packet(packet))

        self.schedule(100_000 + at_ms, arrive)

    def open_flow(self, port: int, agent: str) -> None:
        """Let the backend server of an agent hold a flow."""
        flow = make_packet(port).flow
        entry = FlowEntry(FlowState.OPEN, self.clock.now_ms())
        self.agents[agent].flows[flow] = entry

    def presume_dead(self) -> None:
        """Let the next searches have a single step."""
        for _ in range(MIN_DEAD_OUTCOMES):
            self.balancer.searches.outcomes.record(is_dead=True)

    def run(self, until_ms: float) -> None:
        """Run the events up to a time after the start."""
        while self.events and self.events[0][0] <= 100_000 + until_ms:
            self.now, _, event = heapq.heappop(self.events)
            self.clock.advance(int(self.now) - self.clock.now_ms())
            event()

    def list_delays_ms(self) -> list[float]:
        """Return the time from the first packet to the reset of each reset flow."""
        return [
            reset_ms - self.first_packet_ms[flow]
            for flow, reset_ms in self.reset_ms.items()
        ]

    def _tick(self) -> None:
        self.view.confirm_listing(StorePosition(1, 10), self.clock.now_ms())
        self.apply(self.balancer.tick())
        wait_ms = self.balancer.searches.compute_wait_ms(TICK_MS)
        self.schedule(self.now + max(MIN_TICK_MS, wait_ms), self._tick)

    def apply(self, actions: list[Action]) -> None:
        """Carry out the actions of the balancer."""
        for action in actions:
            if isinstance(action, ResetFlow):
                self.reset_ms[action.packet.flow] = self.now
            elif isinstance(action, SendMessage):
                self._send(action.ip, action.message)

    def _send(self, ip: str, message: Message) -> None:
        self.sent[type(message).__name__] += 1
        questions = list_questions(message)
        size = compute_bytes(len(questions)) if questions else OTHER_MESSAGE_BYTES
        self.question_bytes += size if questions else 0
        latency_ms = self._get_latency_ms(ip)
        arrives_ms = self._pass_link("up", size) + latency_ms
        if not self.network.is_lost(ip, message):
            self.schedule(arrives_ms, lambda: self._answer(ip, message, latency_ms))

    def _answer(self, ip: str, message: Message, latency_ms: float) -> None:
        answer: Message | None = None
        if isinstance(message, FlowQuestion):
            answer = self.agents[ip].answer_question(message)
        elif isinstance(message, FlowQuestions):
            answer = self.agents[ip].answer_questions(message)
        elif isinstance(message, FlowLookup) and ip in self.peers:
            unknown = FlowLocation(message.flow, "", "")
            answer = FlowLocations((self.locations.get(message.flow, unknown),))
        if answer is None or self.network.is_lost(ip, answer):
            return
        received = answer
        self.answers.append((ip, answer))

        def arrive() -> None:
            at_ms = self._pass_link("down", OTHER_MESSAGE_BYTES)
            self.schedule(at_ms, lambda: self._receive(ip, received))

        self.schedule(self.now + latency_ms, arrive)

    def repeat_answers(self) -> None:
        """Let copies of the latest answers arrive."""
        for ip, message in list(self.answers):
            self._receive(ip, message)

    def _receive(self, ip: str, message: Message) -> None:
        self.received[type(message).__name__] += 1
        if isinstance(message, FlowLocations):
            self.apply(self.balancer.handle_locations(message, ip))
            return
        self.selector.record_message(ip)
        answers = [message] if isinstance(message, FlowAnswer) else []
        if isinstance(message, FlowAnswers):
            answers = self.balancer.searches.batches.match_answers(ip, message)
        for answer in answers:
            self.apply(self.balancer.handle_answer(answer, ip))

    def _get_latency_ms(self, ip: str) -> float:
        is_local = self.zones.get(ip, "a") == "a"
        return LOCAL_LATENCY_MS if is_local else REMOTE_LATENCY_MS

    def _pass_link(self, direction: str, size: int) -> float:
        """Return when a message has passed the balancer's link."""
        if not self.network.link_bytes_per_ms:
            return self.now
        starts_ms = max(self.now, self.link_free[direction])
        ends_ms = starts_ms + size / self.network.link_bytes_per_ms
        self.link_free[direction] = ends_ms
        return ends_ms
