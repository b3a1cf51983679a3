"""Decides for a balancer which agent each packet of a caller is forwarded to."""

from collections import Counter

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._actions import (
    Action,
    SendMessage,
)
from citronwinch.coordination.flows._attempt_ages import AttemptAges
from citronwinch.coordination.flows._flow_directory import (
    MIN_AGENTS,
    FlowDirectory,
)
from citronwinch.coordination.flows._flow_entry import DELIVERED_TRIAL_PACKETS
from citronwinch.coordination.flows._flow_searches import FlowSearches
from citronwinch.coordination.flows._known_flows import (
    KnownFlows,
    confirm_opening,
    forward_to_agent,
)
from citronwinch.coordination.flows._link import DEFAULT_LINK_MBPS
from citronwinch.coordination.flows._lost_servers import end_flows_of_lost_servers
from citronwinch.coordination.flows._messages import (
    FlowAnswer,
    FlowLocation,
    FlowLocations,
    FlowLookup,
    Verdict,
)
from citronwinch.coordination.flows._opening_admission import OpeningAdmission
from citronwinch.coordination.flows._packets import Packet
from citronwinch.coordination.flows._server_selector import ServerSelector
from citronwinch.coordination.flows._upload_admission import (
    UploadAdmission,
    is_upload_flow,
)
from citronwinch.coordination.flows._upload_pacing import UploadPacing
from citronwinch.coordination.flows._view import DeploymentView


class BalancerFlows:
    """The flows that one balancer knows, and its searches for unknown ones.

    All of this state is a hint and may be lost or out of date. A balancer that does not
    know a flow queries the agents of the service to find the agent whose backend server
    holds the flow.
    """

    def __init__(
        self,
        view: DeploymentView,
        selector: ServerSelector,
        clock: Clock,
        link_mbps: int = DEFAULT_LINK_MBPS,
        own_ip: str = "",
    ) -> None:
        self.view = view
        self.selector = selector
        selector.opening_rooms.cold_servers = view.cold_servers
        self.clock = clock
        self.flows = KnownFlows(clock)
        self.counters: Counter[str] = Counter()
        self.started_ms = clock.now_ms()
        self.directory = FlowDirectory(own_ip, clock)
        self.searches = FlowSearches(
            view,
            selector,
            clock,
            self.flows,
            self.counters,
            self.directory,
            link_mbps,
        )
        self.attempt_ages = AttemptAges(clock)
        self.searches.attempt_ages = self.attempt_ages
        self.uploads = UploadAdmission(clock, link_mbps)
        self.pacing = UploadPacing(clock, link_mbps, self.flows, self.counters)
        self.searches.uploads, self.searches.pacing = self.uploads, self.pacing
        self.admission = OpeningAdmission(
            view,
            selector,
            clock,
            self.flows,
            self.counters,
            self.uploads,
            self.attempt_ages,
        )
        self.held_openings = self.admission.held_openings
        self.held_uploads = self.admission.held_uploads

    def handle_packet(self, packet: Packet) -> list[Action]:
        """Forward, hold, refuse or search for the flow of a caller's packet."""
        if packet.is_opening:
            # Late packets of an earlier flow from the same port must not come after.
            actions = self.pacing.forward_queued(packet.flow)
            actions += self.pacing.forward_due()
            return actions + self.admission.handle_opening(packet)
        actions = self.pacing.forward_due()
        actions += self._handle_data(packet)
        return actions + self.held_uploads.admit()

    def _handle_data(self, packet: Packet) -> list[Action]:
        """Forward a packet of an open flow, or search for its flow."""
        known = self.flows.get(packet.flow)
        # Another balancer may have placed a copy of the opening that is held here.
        self.held_openings.remove(packet.flow)
        self.held_uploads.remove(packet.flow)
        if known is not None and known.must_be_confirmed(packet, self.clock.now_ms()):
            del self.flows[packet.flow]
            return self._search_flow(packet, likely_at=known.agent)
        if known is not None:
            known.last_packet_ms = self.clock.now_ms()
            known.record_packet(packet)
            if packet.raw not in known.tried_packets:
                known.tried_packets = ()
            if known.has_large_request:
                self.uploads.record_data(packet)
            return self.pacing.forward(known, packet)
        return self._search_flow(packet)

    def handle_returned(self, packet: Packet, agent: str) -> list[Action]:
        """Place an opening or locate a flow anew after an agent returned its packet."""
        # Packets that are due must not go to the agent that returned this one.
        actions = self._handle_returned(packet, agent)
        return actions + self.pacing.forward_due()

    def _handle_returned(self, packet: Packet, agent: str) -> list[Action]:
        known = self.flows.get(packet.flow)
        if packet.is_opening:
            if known is None or known.agent != agent or not known.is_opened_by(packet):
                return []
            route = self.admission.find_route(packet)
            if route is None:
                return self.admission.refuse_unknown_address(packet)
            if not self.selector.opening_rooms.is_exhausted(agent):
                known.tried_agents.add(agent)
            return self.admission.place_opening(
                packet, route, known.times, known.tried_agents
            )
        if packet.flow in self.searches:
            self.searches[packet.flow].hold_packet(packet)
            return self.searches.handle_verdict(packet.flow, agent, Verdict.ABSENT)
        if known is not None and known.agent != agent:
            if packet.raw in known.tried_packets:
                return []
            return [forward_to_agent(known.agent, known.service, packet)]
        self.flows.pop(packet.flow, None)
        self.counters["hints_withdrawn"] += 1
        # The agent has delivered as many, and their caller may have sent more.
        self.searches.trial_records.record(packet.flow, DELIVERED_TRIAL_PACKETS)
        return self._search_flow(packet, absent_at=agent)

    def handle_answer(self, answer: FlowAnswer, agent: str) -> list[Action]:
        """Apply an agent's verdict on a flow; send the questions that waited for it."""
        self.counters["flow_answers"] += 1
        actions = self.pacing.forward_due()
        actions += self._apply_answer(answer, agent)
        return actions + self.searches.record_answer(answer.flow, agent)

    def _apply_answer(self, answer: FlowAnswer, agent: str) -> list[Action]:
        """Apply an agent's verdict on a flow to its search or its hint."""
        if answer.flow in self.searches:
            return self.searches.handle_answer(answer, agent)
        known = self.flows.get(answer.flow)
        if known is None:
            self.counters["flow_answers_unused"] += 1
            return []
        if known.agent == agent and answer.verdict is Verdict.ABSENT:
            del self.flows[answer.flow]
            self.counters["hints_withdrawn"] += 1
        elif known.agent == agent:
            if answer.verdict is Verdict.HELD:
                known.record_holder(agent)
            if answer.verdict is Verdict.OPENING:
                known.record_acceptance(answer.server_first_sequence)
            if answer.verdict in (Verdict.OPENING, Verdict.HELD):
                # The server accepted an earlier copy of a returned opening.
                self.held_openings.remove(answer.flow)
                self.directory.request_registration(answer.flow)
            return confirm_opening(known, self.clock.now_ms())
        elif answer.verdict is Verdict.HELD:
            known.unconfirmed_since_ms = None
            known.record_holder(agent)
        return []

    def answer_lookup(self, lookup: FlowLookup) -> FlowLocations:
        """Return the location of a flow that this balancer keeps or forwards."""
        known = self.flows.get(lookup.flow)
        location = self.directory.find_location(lookup.flow)
        if known is not None:
            # Also an opening that no agent has confirmed: the confirmation may be lost.
            location = FlowLocation(lookup.flow, known.agent, known.service)
        uptime_ms = self.clock.now_ms() - self.started_ms
        return FlowLocations(
            (location or FlowLocation(lookup.flow, "", ""),), max(1, uptime_ms)
        )

    def handle_locations(self, message: FlowLocations, sender: str) -> list[Action]:
        """Apply the answer to a lookup, or keep the locations of other balancers."""
        self.directory.silent.discard(sender)
        actions = self.pacing.forward_due()
        for location in message.locations:
            if self.searches.is_awaiting_location(location.flow):
                actions += self.searches.handle_location(
                    location, sender, message.uptime_ms
                )
            elif location.agent:
                self.directory.store(location)
        return actions

    def _register_flows(self) -> list[SendMessage]:
        """Send the locations of flows that have become old enough to their keepers."""
        due = [
            (key, known)
            for key in self.directory.take_due_registrations()
            if (known := self.flows.get(key)) is not None
        ]
        large_services = {
            service
            for service in {known.service for _, known in due}
            if self.view.count_servers(service, self.selector.zone) > MIN_AGENTS
        }
        return self.directory.register(
            [
                FlowLocation(key, known.agent, known.service)
                for key, known in due
                if known.service in large_services
            ]
        )

    def tick(self) -> list[Action]:
        """Advance timed-out searches, expire idle flows and place held openings."""
        actions = self.pacing.forward_due()
        actions += self.searches.tick()
        self.directory.expire()
        actions += self._register_flows()
        configuration = self.view.configuration
        if configuration is not None:
            self.flows.expire_idle(configuration.flow_idle_ms)
        actions += end_flows_of_lost_servers(
            self.view, self.selector, self.flows, self.counters
        )
        actions += self.admission.held_placement.tick()
        return actions + self.held_uploads.tick()

    def _search_flow(
        self, packet: Packet, absent_at: str = "", likely_at: str = ""
    ) -> list[Action]:
        """Search for a packet's flow; its queued packets wait for the result as well.

        A packet that `absent_at` returned was sent before the queued ones.
        """
        if (
            packet.flow not in self.searches
            and self.admission.find_route(packet) is None
        ):
            return self.admission.end_flow_without_route(packet)
        if is_upload_flow(self.view, packet.flow):
            self.uploads.record_data(packet)
        queued = self.pacing.take_queued(packet.flow)
        packets = [packet, *queued] if absent_at else [*queued, packet]
        actions: list[Action] = []
        for waiting in packets:
            known = self.flows.get(packet.flow)
            if known is None:
                actions += self.searches.search(waiting, absent_at, likely_at)
            else:
                actions += self.pacing.forward(known, waiting)
        return actions
