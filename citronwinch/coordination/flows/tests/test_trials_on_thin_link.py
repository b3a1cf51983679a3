"""All processes restart while flows live on, and a balancer has a thin link.

No agent knows its flows, so that each flow is tried at all agents of the zone. Guards
against trials that fill the link: answers then come too late, the searches go on to the
agents of other zones, and flows are found after seconds, when their callers have gone.
"""

import random

import pytest

from citronwinch.coordination import FlowKey, ManualClock
from citronwinch.coordination.flows import (
    AgentFlows,
    DeliverToServer,
    ForwardedPacket,
    Message,
    Packet,
    ReturnedPacket,
    SendMessage,
    Verdict,
)
from citronwinch.coordination.flows._flow_search import FlowSearch
from citronwinch.coordination.flows._known_flows import KnownFlow
from citronwinch.coordination.flows._search_rounds import SearchedServers
from citronwinch.coordination.flows._trial_budget import (
    MIN_TRIAL_BURST_BYTES,
    TRIAL_BANDWIDTH_SHARE,
    TRIAL_HEADER_BYTES,
    TrialBudget,
)
from citronwinch.coordination.flows.tests.conftest import make_packet, make_server
from citronwinch.coordination.flows.tests.search_load import Network, SearchLoad

LINK_MBPS = 5
LINK_BYTES_PER_MS = 625.0
REQUEST_BYTES = 150
COPIES_MS = (0, 200, 600)
FLOWS = 80
SPREAD_MS = 300


class RestartedLoad(SearchLoad):
    """Agents that have just started, beside servers that hold the flows."""

    def __init__(self) -> None:
        super().__init__(
            agents=60, link_mbps=LINK_MBPS, network=Network(LINK_BYTES_PER_MS)
        )
        self.holders: dict[FlowKey, str] = {}
        """The agents beside the servers that hold the flows."""
        self.found_ms: dict[FlowKey, float] = {}
        self.trial_bytes = 0
        self.packets: dict[bytes, Packet] = {}
        self.agents = {
            ip: AgentFlows(agent.service, self.clock, knows_all_flows=False)
            for ip, agent in self.agents.items()
        }

    def send_request(self, port: int, at_ms: float) -> None:
        """Let a caller send a request on a flow, with its copies."""
        packet = make_packet(port, payload=10, acknowledged=port * 40_503)
        packet = packet._replace(raw=packet.raw.ljust(REQUEST_BYTES))
        self.packets[packet.raw] = packet
        self.first_packet_ms[packet.flow] = 100_000 + at_ms

        def arrive() -> None:
            if packet.flow not in self.found_ms:
                self.apply(self.balancer.handle_packet(packet))

        for copy_ms in COPIES_MS:
            self.schedule(100_000 + at_ms + copy_ms, arrive)

    def _send(self, ip: str, message: Message) -> None:
        if not isinstance(message, ForwardedPacket):
            super()._send(ip, message)
            return
        size = len(message.raw) + TRIAL_HEADER_BYTES
        self.trial_bytes += size
        latency_ms = self._get_latency_ms(ip)
        arrives_ms = self._pass_link("up", size) + latency_ms
        self.schedule(arrives_ms, lambda: self._try(ip, message))

    def _try(self, ip: str, message: ForwardedPacket) -> None:
        """Deliver a packet to an agent, whose server takes or bounces it."""
        packet = self.packets[message.raw]
        actions = self.agents[ip].handle_forwarded(message, packet, "10.9.0.1")
        for action in list(actions):
            if not isinstance(action, DeliverToServer):
                continue
            is_held = self.holders[packet.flow] == ip
            if is_held:
                self.found_ms.setdefault(packet.flow, self.now)
            answer = packet._replace(is_bounced=not is_held)
            actions += self.agents[ip].handle_from_server(answer)
        for action in actions:
            if isinstance(action, SendMessage):
                self._return(ip, action.message)

    def _return(self, ip: str, message: Message) -> None:
        is_packet = isinstance(message, ReturnedPacket)
        size = REQUEST_BYTES + TRIAL_HEADER_BYTES if is_packet else 64

        def arrive() -> None:
            at_ms = self._pass_link("down", size)
            self.schedule(at_ms, lambda: self._receive(ip, message))

        self.schedule(self.now + self._get_latency_ms(ip), arrive)

    def _receive(self, ip: str, message: Message) -> None:
        if isinstance(message, ReturnedPacket):
            packet = self.packets[message.raw]
            self.apply(self.balancer.handle_returned(packet, ip))
        else:
            super()._receive(ip, message)


def test_flows_are_found_while_their_callers_wait() -> None:
    load = RestartedLoad()
    rng = random.Random(5)
    local = [
        ip
        for ip, zone in load.zones.items()
        if zone == "a" and load.agents[ip].service == "gauging"
    ]
    for port in range(2_000, 2_000 + FLOWS):
        load.holders[make_packet(port).flow] = rng.choice(local)
        load.send_request(port, rng.uniform(0, SPREAD_MS))
    load.run(3_000)
    delays_ms = sorted(
        found_ms - load.first_packet_ms[flow]
        for flow, found_ms in load.found_ms.items()
    )
    assert len(delays_ms) == FLOWS
    assert delays_ms[FLOWS // 2] <= 400
    assert delays_ms[-1] <= 800
    # No search went on to the other zones.
    each = REQUEST_BYTES + TRIAL_HEADER_BYTES
    assert load.trial_bytes <= 1.2 * FLOWS * (len(local) + 1) * each


def test_copies_of_a_held_packet_are_not_held(clock: ManualClock) -> None:
    search = FlowSearch("a", SearchedServers(), clock)
    packet = make_packet(payload=10)
    other = make_packet(payload=10, sequence=10)
    for held in (packet, packet, other, packet):
        search.hold_packet(held)
    assert search.held_packets == [packet, other]


# An answer that arrived while a trial waited for the link was left out of the trial.
def test_a_trial_that_was_put_off_includes_late_answers(clock: ManualClock) -> None:
    servers = [make_server(number) for number in (1, 2)]
    search = FlowSearch("a", SearchedServers(servers), clock)
    search.hold_packet(make_packet(payload=10))
    search.start()
    search.handle_verdict("10.0.0.1", Verdict.UNCERTAIN)
    assert search.handle_timeout().trial_agents == ("10.0.0.1",)
    search.put_off_trial(("10.0.0.1",), 10)
    search.handle_verdict("10.0.0.2", Verdict.UNCERTAIN)
    assert search.handle_timeout().trial_agents == ("10.0.0.1", "10.0.0.2")


def test_returned_copies_of_a_found_flow_are_not_forwarded_again() -> None:
    load = RestartedLoad()
    packet = make_packet(payload=10)
    flow = KnownFlow("10.0.0.1", "gauging", load.clock.now_ms())
    flow.tried_packets = (packet.raw,)
    load.balancer.flows.store(packet.flow, flow)
    assert not load.balancer.handle_returned(packet, "10.0.0.2")
    later = make_packet(payload=10, sequence=10)
    load.balancer.handle_packet(later)
    assert load.balancer.handle_returned(packet, "10.0.0.2")


@pytest.mark.parametrize("link_mbps", [5, 10, 200, 1_000])
def test_trials_take_their_share_of_the_link(
    clock: ManualClock, link_mbps: int
) -> None:
    budget = TrialBudget(clock, link_mbps)
    size, sent = 4_000, 0
    for _ in range(1_000):
        clock.advance(1)
        while budget.try_spend(size):
            sent += size
    share = link_mbps * 125_000 * TRIAL_BANDWIDTH_SHARE
    assert sent <= share + max(MIN_TRIAL_BURST_BYTES, share * 0.02)
    assert sent >= 0.9 * share
