"""Flows that move between balancers, in a zone with many agents.

Guards against a storm of questions: routers move nearly all flows of a zone whenever a
balancer joins or leaves the rotation. Without a directory, a restart of one of twelve
balancers makes the others ask 22 agents about each of 324 flows, twice.
"""

import random
from collections import Counter

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    Action,
    BalancerFlows,
    DeploymentView,
    FlowAnswer,
    FlowAnswers,
    FlowDirectory,
    FlowLocation,
    FlowLocations,
    FlowLookup,
    FlowQuestion,
    FlowQuestions,
    ForwardedPacket,
    Packet,
    ResetFlow,
    SendMessage,
    ServerSelector,
    Verdict,
)
from citronwinch.coordination.flows._known_flows import KnownFlow
from citronwinch.coordination.flows.tests.conftest import (
    list_forwards,
    list_questions,
    make_configuration,
    make_listing,
    make_packet,
    make_server,
)

BALANCERS = [f"10.9.0.{number}" for number in range(12)]
LOCAL_AGENTS, REMOTE_AGENTS = 22, 87
FLOWS = 324


class Zone:
    """The balancers of a zone, whose messages arrive at once unless they are down."""

    def __init__(self, clock: ManualClock, local_agents: int = LOCAL_AGENTS) -> None:
        self.clock = clock
        self.servers = [
            make_server(number, zone="a" if number <= local_agents else "b")
            for number in range(1, local_agents + REMOTE_AGENTS + 1)
        ]
        self.balancers: dict[str, BalancerFlows] = {}
        self.down: set[str] = set()
        self.holders: dict[bytes, str] = {}
        self.messages: Counter[str] = Counter()
        self.resets = 0
        for ip in BALANCERS:
            self.start(ip)

    def start(self, ip: str) -> None:
        """Start a balancer without any knowledge of flows."""
        view = DeploymentView(self.clock)
        view.accept_configuration(make_configuration())
        view.accept_listing(make_listing(10, *self.servers), self.clock.now_ms())
        selector = ServerSelector("a", self.clock, random.Random(ip))
        for server in self.servers:
            selector.record_message(server.address.ip)
        self.balancers[ip] = BalancerFlows(view, selector, self.clock, own_ip=ip)
        self.down.discard(ip)
        self.set_balancers()

    def set_balancers(self) -> None:
        """Tell each balancer which ones are up."""
        for ip, balancer in self.balancers.items():
            up = set(self.balancers) - self.down
            self.apply(ip, [*balancer.directory.set_balancers(up)])

    def open_flows(self, count: int = FLOWS) -> list[Packet]:
        """Open flows at random agents of the zone, through random balancers."""
        rng = random.Random(1)
        packets = [make_packet(port, payload=100) for port in range(1, count + 1)]
        for packet in packets:
            balancer = rng.choice(BALANCERS)
            opening = packet._replace(is_opening=True)
            actions = self.balancers[balancer].handle_packet(opening)
            [(agent, _)] = list_forwards(actions)
            self.holders[packet.flow] = agent
            held = FlowAnswer(packet.flow, Verdict.HELD)
            self.balancers[balancer].handle_answer(held, agent)
        self.advance(600)
        self.messages.clear()
        return packets

    def advance(self, duration_ms: int) -> None:
        for _ in range(duration_ms // 20):
            self.clock.advance(20)
            for ip, balancer in self.balancers.items():
                self.apply(ip, balancer.tick())

    def send_packet(self, ip: str, packet: Packet) -> None:
        self.apply(ip, self.balancers[ip].handle_packet(packet))

    def apply(self, sender: str, actions: list[Action]) -> None:
        """Carry messages to balancers and agents, with their answers."""
        for action in actions:
            self.resets += isinstance(action, ResetFlow)
            if not isinstance(action, SendMessage):
                continue
            message = action.message
            self.messages[type(message).__name__] += 1
            if action.ip in self.balancers and action.ip not in self.down:
                self.apply(action.ip, self.receive(action.ip, message, sender))
            elif isinstance(message, FlowQuestion):
                is_held = self.holders.get(message.flow) == action.ip
                verdict = Verdict.HELD if is_held else Verdict.ABSENT
                answer = FlowAnswer(message.flow, verdict)
                self.apply(
                    sender, self.balancers[sender].handle_answer(answer, action.ip)
                )
            elif isinstance(message, FlowQuestions):
                self.messages["FlowQuestion"] += len(message.questions)
                self.answer_batch(sender, message, action.ip)

    def answer_batch(self, sender: str, batch: FlowQuestions, agent: str) -> None:
        held = (self.holders.get(each.flow) == agent for each in batch.questions)
        verdicts = tuple(
            Verdict.HELD if is_held else Verdict.ABSENT for is_held in held
        )
        balancer = self.balancers[sender]
        message = FlowAnswers(batch.number, verdicts)
        for answer in balancer.searches.batches.match_answers(agent, message):
            self.apply(sender, balancer.handle_answer(answer, agent))

    def receive(self, ip: str, message: object, sender: str) -> list[Action]:
        balancer = self.balancers[ip]
        if isinstance(message, FlowLookup):
            return [SendMessage(sender, balancer.answer_lookup(message))]
        assert isinstance(message, FlowLocations)
        return balancer.handle_locations(message, sender)

    def move_flows(self, packets: list[Packet], seed: int) -> None:
        """Send a packet of each flow to a random balancer that is up."""
        rng = random.Random(seed)
        up = sorted(set(self.balancers) - self.down)
        for packet in packets:
            self.send_packet(rng.choice(up), packet)

    def count_unknown(self, packets: list[Packet]) -> int:
        """Return how many of the flows no balancer forwards to their holder."""
        return sum(
            not any(
                (known := balancer.flows.get(packet.flow)) is not None
                and known.agent == self.holders[packet.flow]
                for balancer in self.balancers.values()
            )
            for packet in packets
        )


@pytest.fixture
def zone(clock: ManualClock) -> Zone:
    return Zone(clock)


def test_moved_flows_are_found_with_two_messages_each(zone: Zone) -> None:
    packets = zone.open_flows()
    zone.move_flows(packets, seed=2)
    assert zone.messages["FlowQuestion"] == 0
    assert zone.messages["FlowLookup"] <= FLOWS
    assert zone.messages["ForwardedPacket"] == FLOWS


def test_a_stopping_balancer_hands_its_locations_over(zone: Zone) -> None:
    packets = zone.open_flows()
    stopping = BALANCERS[3]
    up = set(BALANCERS) - {stopping}
    directory = zone.balancers[stopping].directory
    zone.apply(stopping, [*directory.set_balancers(up)])
    zone.down.add(stopping)
    zone.set_balancers()
    zone.balancers[stopping].flows.clear()
    zone.move_flows(packets, seed=3)
    assert zone.messages["FlowQuestion"] == 0


def test_a_balancer_that_joins_takes_locations_over(zone: Zone) -> None:
    zone.down.add(BALANCERS[5])
    zone.set_balancers()
    packets = zone.open_flows()
    zone.start(BALANCERS[5])
    zone.move_flows(packets, seed=4)
    assert zone.messages["FlowQuestion"] == 0


def test_a_lost_keeper_costs_questions_about_its_own_flows_only(zone: Zone) -> None:
    packets = zone.open_flows()
    zone.down.add(BALANCERS[7])
    zone.balancers[BALANCERS[7]].flows.clear()
    zone.move_flows(packets, seed=5)
    zone.advance(60)
    share_asked = zone.messages["FlowQuestion"] / (FLOWS * LOCAL_AGENTS)
    assert share_asked < 0.25
    assert zone.count_unknown(packets) == 0


def test_flows_are_found_without_any_keeper(zone: Zone) -> None:
    packets = zone.open_flows(20)
    for ip in BALANCERS:
        zone.start(ip)
    zone.move_flows(packets, seed=6)
    assert zone.messages["FlowQuestion"] == 20 * LOCAL_AGENTS
    assert zone.count_unknown(packets) == 0
    zone.advance(600)
    zone.messages.clear()
    zone.move_flows(packets, seed=7)
    assert zone.messages["FlowQuestion"] == 0


def test_a_wrong_location_leads_to_questions(zone: Zone) -> None:
    [packet] = zone.open_flows(1)
    wrong = next(
        server.address.ip
        for server in zone.servers
        if server.address.ip != zone.holders[packet.flow]
    )
    location = FlowLocation(packet.flow, wrong, "gauging")
    for balancer in zone.balancers.values():
        balancer.flows.clear()
        balancer.directory.store(location)
    balancer = zone.balancers[BALANCERS[0]]
    zone.send_packet(BALANCERS[0], packet)
    assert balancer.flows[packet.flow].agent == wrong
    questions = balancer.handle_returned(packet, wrong)
    assert zone.holders[packet.flow] in list_questions(questions)
    zone.apply(BALANCERS[0], questions)
    assert balancer.flows[packet.flow].agent == zone.holders[packet.flow]


def test_a_location_at_an_agent_of_another_service_is_not_used(zone: Zone) -> None:
    [packet] = zone.open_flows(1)
    balancer = zone.balancers[BALANCERS[0]]
    balancer.flows.clear()
    balancer.directory.set_balancers([BALANCERS[0]])
    agent = zone.servers[0].address.ip
    balancer.directory.store(FlowLocation(packet.flow, agent, "reporting"))
    assert len(list_questions(balancer.handle_packet(packet))) == LOCAL_AGENTS


def test_few_agents_are_asked_without_a_lookup(clock: ManualClock) -> None:
    zone = Zone(clock, local_agents=6)
    packets = zone.open_flows(50)
    zone.move_flows(packets, seed=8)
    assert zone.messages["FlowLookup"] == zone.messages["FlowLocations"] == 0
    assert zone.count_unknown(packets) == 0


def test_flows_of_a_single_request_are_not_registered(
    zone: Zone, clock: ManualClock
) -> None:
    packet = make_packet(1, opening=True)
    balancer = zone.balancers[BALANCERS[0]]
    [(agent, _)] = list_forwards(balancer.handle_packet(packet))
    balancer.handle_answer(FlowAnswer(packet.flow, Verdict.HELD), agent)
    clock.advance(100)
    balancer.handle_answer(FlowAnswer(packet.flow, Verdict.ABSENT), agent)
    zone.advance(1_000)
    assert zone.messages["FlowLocations"] == 0


def test_locations_expire_and_are_limited(
    clock: ManualClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        "citronwinch.coordination.flows._flow_directory.LOCATION_LIMIT", 3
    )
    directory = FlowDirectory("10.9.0.1", clock)
    keys = [make_packet(port).flow for port in range(1, 6)]
    for key in keys:
        directory.store(FlowLocation(key, "10.0.0.1", "gauging"))
    assert [directory.find_location(key) is None for key in keys[:3]] == [
        True,
        True,
        False,
    ]
    clock.advance(60_001)
    directory.expire()
    assert not directory.stored


def test_forwarded_packets_wait_for_the_keeper_in_order(zone: Zone) -> None:
    [packet] = zone.open_flows(1)
    balancer = zone.balancers[BALANCERS[0]]
    balancer.flows.clear()
    keeper = next(ip for ip in BALANCERS if ip != BALANCERS[0])
    balancer.directory.set_balancers([BALANCERS[0], keeper])
    balancer.directory.silent.add(BALANCERS[0])
    second = packet._replace(sequence=100, raw=b"second")
    [lookup] = balancer.handle_packet(packet)
    assert lookup == SendMessage(keeper, FlowLookup(packet.flow))
    assert balancer.handle_packet(second) == []
    location = FlowLocation(packet.flow, zone.holders[packet.flow], "gauging")
    actions = balancer.handle_locations(FlowLocations((location,)), keeper)
    forwarded = [
        action.message.raw
        for action in actions
        if isinstance(action, SendMessage)
        and isinstance(action.message, ForwardedPacket)
    ]
    assert forwarded == [packet.raw, second.raw]


def test_a_flow_at_a_server_that_is_not_listed_yet_is_not_reset(
    zone: Zone, clock: ManualClock
) -> None:
    joined = make_server(200)
    opener, mover = (zone.balancers[ip] for ip in BALANCERS[:2])
    listing = make_listing(11, *zone.servers, joined)
    opener.view.accept_listing(listing, clock.now_ms())
    packet = make_packet(1, payload=100)
    opener.flows.store(
        packet.flow, KnownFlow(joined.address.ip, "gauging", clock.now_ms())
    )
    zone.holders[packet.flow] = joined.address.ip
    zone.send_packet(BALANCERS[1], packet)
    zone.advance(60)
    assert mover.flows[packet.flow].agent == joined.address.ip
    assert zone.resets == 0


def test_a_dead_flow_is_reset_after_the_balancers_of_the_zone_were_asked(
    zone: Zone,
) -> None:
    packet = make_packet(1, payload=100)
    zone.down.add(BALANCERS[4])
    zone.send_packet(BALANCERS[1], packet)
    zone.advance(60)
    assert zone.resets == 1
    assert zone.messages["FlowQuestion"] == LOCAL_AGENTS + REMOTE_AGENTS
