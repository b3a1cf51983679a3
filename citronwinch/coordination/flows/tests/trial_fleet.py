"""Agents that do not know the flows of their servers, and a balancer that searches."""

import random

from citronwinch.coordination import FlowKey, ManualClock
from citronwinch.coordination.flows import (
    Action,
    AgentFlows,
    BalancerFlows,
    DeliverToServer,
    DeploymentView,
    FlowAnswer,
    ForwardedPacket,
    Packet,
    ResetFlow,
    ReturnedPacket,
    SendMessage,
    ServerSelector,
    StorePosition,
)
from citronwinch.coordination.flows._flow_entry import FlowEntry, FlowState
from citronwinch.coordination.flows._question_batches import list_questions
from citronwinch.coordination.flows.tests.conftest import (
    make_configuration,
    make_listing,
    make_server,
)

BALANCER_IP = "10.9.0.1"
HOLDER = "10.0.0.1"
RETRANSMISSIONS_MS = (0, 200, 600, 1_400, 3_000, 4_600, 6_200, 7_800)


class TrialFleet:
    """One balancer, agents beside their servers, and one flow at the first server.

    Messages arrive at once, those to a silent agent do not arrive. Servers answer at
    once, or when time passes.
    """

    def __init__(self, agents: int, zones: str = "a", reporting: int = 0) -> None:
        self.clock = ManualClock(100_000)
        self.silent: set[str] = set()
        self.servers = [
            make_server(n, zone=zones[n % len(zones)]) for n in range(1, agents + 1)
        ]
        self.servers += [
            make_server(n, "reporting")
            for n in range(agents + 1, agents + reporting + 1)
        ]
        self.services = {s.address.ip: s.service for s in self.servers}
        self.agents: dict[str, AgentFlows] = {}
        for ip in self.services:
            self.restart_agent(ip)
        self.is_answer_late = False
        """Whether the servers answer when time passes."""
        self.unanswered: list[tuple[str, Packet]] = []
        """The packets that servers have received and not answered."""
        self.holders: dict[FlowKey, str] = {}
        self.at_others: list[int] = []
        """When packets reached servers that do not hold the flow."""
        self.at_holder: list[int] = []
        """When packets reached the server that holds the flow."""
        self.resets: list[FlowKey] = []
        """The flows that the balancer has reset."""
        self.packets: dict[bytes, Packet] = {}
        self.view = DeploymentView(self.clock)
        self.view.accept_configuration(make_configuration())
        listing = make_listing(10, *self.servers)
        self.view.accept_listing(listing, self.clock.now_ms())
        self.selector = ServerSelector("a", self.clock, random.Random(7))
        self.restart_balancer()

    def restart_balancer(self) -> None:
        """Replace the balancer by one that knows no flows and has heard all agents."""
        for ip in self.agents:
            self.selector.record_message(ip)
        self.balancer = BalancerFlows(
            self.view, self.selector, self.clock, own_ip=BALANCER_IP
        )

    def restart_agent(self, ip: str) -> None:
        """Replace an agent by one that does not know the flows of its server."""
        service = self.services[ip]
        self.agents[ip] = AgentFlows(service, self.clock, knows_all_flows=False)
        self.silent.discard(ip)

    def hold(
        self, packet: Packet, *, is_known: bool = False, holder: str = HOLDER
    ) -> None:
        """Let a server, the first one if not stated, hold a packet's flow.

        Its agent may know that.
        """
        self.holders[packet.flow] = holder
        if is_known:
            entry = FlowEntry(FlowState.OPEN, self.clock.now_ms())
            self.agents[holder].flows[packet.flow] = entry

    def send(self, packet: Packet) -> None:
        """Let a packet of a caller arrive at the balancer."""
        self.packets[packet.raw] = packet
        self.apply(self.balancer.handle_packet(packet))

    def run(self, for_ms: int, step_ms: int = 10) -> None:
        """Let time pass; the listing is confirmed, and live agents send reports."""
        for _ in range(0, for_ms, step_ms):
            self.clock.advance(step_ms)
            answered, self.unanswered = self.unanswered, []
            for ip, packet in answered:
                self._carry(ip, self._answer(ip, packet))
            for ip, agent in self.agents.items():
                self._carry(ip, agent.release_overdue_trials())
            self.view.confirm_listing(StorePosition(1, 10), self.clock.now_ms())
            for ip in self.agents.keys() - self.silent:
                self.selector.record_message(ip)
            self.apply(self.balancer.tick())

    def retransmit(self, packet: Packet, until_ms: int) -> None:
        """Let a caller send a packet and its retransmissions until it is served."""
        start_ms = self.clock.now_ms()
        for at_ms in (*RETRANSMISSIONS_MS, until_ms):
            wait_ms = start_ms + min(at_ms, until_ms) - self.clock.now_ms()
            self.run(wait_ms)
            if not self.at_holder and at_ms < until_ms:
                self.send(packet)

    def apply(self, actions: list[Action]) -> None:
        """Carry out the actions of the balancer, and their consequences."""
        for action in actions:
            if isinstance(action, ResetFlow):
                self.resets.append(action.packet.flow)
            elif isinstance(action, SendMessage) and action.ip not in self.silent:
                self._deliver(action.ip, action)

    def _deliver(self, ip: str, action: SendMessage) -> None:
        agent = self.agents[ip]
        if list_questions(action.message):
            for question in list_questions(action.message):
                answer = agent.answer_question(question)
                self._receive(ip, SendMessage(BALANCER_IP, answer))
        elif isinstance(action.message, ForwardedPacket):
            packet = self.packets[action.message.raw]
            self._carry(ip, agent.handle_forwarded(action.message, packet, BALANCER_IP))

    def _carry(self, ip: str, actions: list[Action]) -> None:
        """Carry out the actions of an agent."""
        for action in actions:
            if isinstance(action, DeliverToServer):
                packet = self.packets[action.raw]
                is_held = self.holders.get(packet.flow) == ip
                reached = self.at_holder if is_held else self.at_others
                reached.append(self.clock.now_ms())
                if self.is_answer_late:
                    self.unanswered.append((ip, packet))
                else:
                    self._carry(ip, self._answer(ip, packet))
            elif isinstance(action, SendMessage):
                self._receive(ip, action)

    def _answer(self, ip: str, packet: Packet) -> list[Action]:
        is_held = self.holders.get(packet.flow) == ip
        answer = packet._replace(is_bounced=not is_held)
        return self.agents[ip].handle_from_server(answer)

    def _receive(self, ip: str, answer: SendMessage) -> None:
        if isinstance(answer.message, FlowAnswer):
            self.apply(self.balancer.handle_answer(answer.message, ip))
        elif isinstance(answer.message, ReturnedPacket):
            packet = self.packets[answer.message.raw]
            self.apply(self.balancer.handle_returned(packet, ip))
