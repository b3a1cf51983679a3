"""Decides for a balancer which agent each packet of a caller is forwarded to."""

from collections import Counter

from citronwinch.coordination._address import extract_service_endpoint
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._actions import (
    Action,
    ResetFlow,
    SendMessage,
    record,
)
from citronwinch.coordination.flows._chosen_server import ChosenServer
from citronwinch.coordination.flows._deployment import (
    Route,
    order_services,
)
from citronwinch.coordination.flows._flow_directory import (
    MIN_AGENTS,
    FlowDirectory,
)
from citronwinch.coordination.flows._flow_searches import FlowSearches
from citronwinch.coordination.flows._held_openings import (
    HeldOpening,
    HeldOpenings,
    is_retransmission,
)
from citronwinch.coordination.flows._known_flows import (
    LAST_CHOICE_ATTEMPT,
    KnownFlow,
    KnownFlows,
    confirm_opening,
    count_attempts,
    forward_opening,
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
from citronwinch.coordination.flows._packets import Packet
from citronwinch.coordination.flows._refusal_reasons import explain_missing_server
from citronwinch.coordination.flows._server_selector import ServerSelector
from citronwinch.coordination.flows._upload_admission import UploadAdmission
from citronwinch.coordination.flows._view import DeploymentView

AGENT_CONFIRMATION_TIMEOUT_MS = 120
"""How long an agent may take to confirm an opening, in milliseconds; after that a
retransmission of the opening is placed at another agent. Shorter than the interval
before the callers' first retransmission, so that even this one is placed again."""

LATE_OPENING_PRESSURE_LIMIT = 1.0
"""A late opening is placed only at a backend server with a lower pressure than this;
below it the server counts as idle."""

CURRENT_VIEW_MAX_AGE_MS = 2_500
"""The maximum age of a view at which it justifies refusing an unknown address, in
milliseconds; an older view may lack a new route."""


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
        self.held_openings = HeldOpenings(clock)
        self.uploads = UploadAdmission(clock, link_mbps)

    def handle_packet(self, packet: Packet) -> list[Action]:
        """Forward, hold, refuse or search for the flow of a caller's packet."""
        if packet.is_opening:
            return self._handle_opening(packet)
        known = self.flows.get(packet.flow)
        if known is not None:
            known.last_packet_ms = self.clock.now_ms()
            known.acknowledged = packet.acknowledged
            self.held_openings.remove(packet.flow)
            if known.has_large_request:
                self.uploads.record_data(packet)
            return [forward_to_agent(known.agent, known.service, packet)]
        return self._search_flow(packet)

    def _handle_opening(self, packet: Packet) -> list[Action]:
        now_ms = self.clock.now_ms()
        known = self.flows.get(packet.flow)
        if known is not None:
            is_overdue = (
                known.unconfirmed_since_ms is not None
                and now_ms - known.unconfirmed_since_ms > AGENT_CONFIRMATION_TIMEOUT_MS
            )
            must_move = known.unconfirmed_since_ms is not None and (
                is_overdue or self.view.is_evacuated(known.agent)
            )
            if not must_move:
                return [forward_opening(known, packet, self._find_route(packet))]
            known.tried_agents.add(known.agent)
            if is_overdue:
                self.selector.record_unconfirmed_flow(known.agent)
        route = self._find_route(packet)
        if route is None:
            return self._refuse_unknown_address(packet)
        if known is None and route.has_large_requests and self.uploads.is_full():
            return self._refuse_opening(packet, route, set(), "link full")
        return self._place_opening(
            packet, route, known.tried_agents if known else set()
        )

    def _place_opening(
        self, packet: Packet, route: Route, tried_agents: set[str]
    ) -> list[Action]:
        chosen = self._choose_server(packet, route, tried_agents)
        if chosen is None:
            reason = explain_missing_server(self.view, route)
            return self._refuse_opening(packet, route, tried_agents, reason)
        if _must_wait(chosen, route, is_late=is_retransmission(packet)):
            if self.held_openings.hold_opening(packet, route):
                self.counters["openings_held"] += 1
                return []
            return self._refuse_opening(
                packet, route, tried_agents, "too many openings wait"
            )
        return self._forward_opening(packet, route, chosen, tried_agents)

    def _choose_server(
        self, packet: Packet, route: Route, tried_agents: set[str]
    ) -> ChosenServer | None:
        objective_ms = route.latency_objective_ms
        by_preference = [
            chosen
            for service in order_services(route, packet.flow)
            if (
                chosen := self.selector.choose(
                    self.view.list_ready(service), tried_agents, objective_ms
                )
            )
        ]
        return self.selector.choose_service(by_preference) if by_preference else None

    def _forward_opening(
        self,
        packet: Packet,
        route: Route,
        chosen: ChosenServer,
        tried_agents: set[str],
    ) -> list[Action]:
        self.held_openings.remove(packet.flow)
        self.selector.record_placed_flow(chosen.server)
        agent, service = chosen.server.address.ip, chosen.server.service
        now_ms = self.clock.now_ms()
        flow = KnownFlow(agent, service, now_ms)
        flow.unconfirmed_since_ms, flow.tried_agents = now_ms, tried_agents
        flow.has_large_request = route.has_large_requests
        if route.has_large_requests:
            self.uploads.record_opening(packet.flow)
        flow.attempts += count_attempts(self.flows.get(packet.flow))
        # With a single candidate left, a returned opening would have to be refused.
        flow.is_last_choice = (
            flow.attempts >= LAST_CHOICE_ATTEMPT or chosen.candidates == 1
        )
        self.flows.store(packet.flow, flow)
        self.counters["openings_placed"] += 1
        placed = record(
            "opening_placed",
            packet,
            service=service,
            server=chosen.server.name,
            agent=agent,
            score=chosen.score,
            pressure=chosen.pressure,
            busy_share=chosen.busy_share,
            expected_wait_ms=round(chosen.expected_wait_ms),
            service_ms=round(chosen.service_ms),
            candidates=chosen.candidates,
            attempt=flow.attempts,
            view_age_ms=self.view.age_ms,
        )
        return [forward_opening(flow, packet, self._find_route(packet)), placed]

    def _refuse_opening(
        self, packet: Packet, route: Route, tried_agents: set[str], reason: str
    ) -> list[Action]:
        self.held_openings.remove(packet.flow)
        self.flows.pop(packet.flow, None)
        self.counters["openings_refused"] += 1
        services = [share.service for share in route.shares]
        refusal = record(
            "opening_refused",
            packet,
            reason=reason,
            services=services,
            ready_servers=sum(len(self.view.list_ready(name)) for name in services),
            tried=sorted(tried_agents),
            view_age_ms=self.view.age_ms,
        )
        return [ResetFlow(packet), refusal]

    def _place_held_openings(self) -> list[Action]:
        """Place held openings where there is room; refuse those past their deadline.

        Openings of one kind (same route, lateness and order of services) compete for
        the same servers. After one of them finds no room the rest of its kind is
        skipped, so that many held openings cost a few server choices instead of one
        each.
        """
        actions: list[Action] = []
        full_kinds: set[tuple[str, bool, tuple[str, ...]]] = set()
        now_ms = self.clock.now_ms()
        for held in self.held_openings.list_by_priority():
            is_late = self.held_openings.is_late(held)
            services = tuple(order_services(held.route, held.packet.flow))
            kind = (held.route.name, is_late, services)
            if kind not in full_kinds:
                chosen = self._choose_server(held.packet, held.route, set())
                if chosen is None:
                    reason = explain_missing_server(self.view, held.route)
                    actions += self._refuse_held_opening(held, reason)
                    continue
                if not _must_wait(chosen, held.route, is_late=is_late):
                    actions += self._forward_opening(
                        held.packet, held.route, chosen, set()
                    )
                    continue
                full_kinds.add(kind)
            if now_ms >= held.deadline_ms:
                actions += self._refuse_held_opening(held, "no room in time")
        return actions

    def _refuse_held_opening(self, held: HeldOpening, reason: str) -> list[Action]:
        return self._refuse_opening(held.packet, held.route, set(), reason)

    def _refuse_unknown_address(self, packet: Packet) -> list[Action]:
        age_ms = self.view.age_ms
        if age_ms is None or age_ms > CURRENT_VIEW_MAX_AGE_MS:
            self.counters["unknown_address_ignored"] += 1
            return []
        self.counters["unknown_address_refused"] += 1
        version = self.view.configuration.version if self.view.configuration else 0
        refusal = record(
            "unknown_address_refused",
            packet,
            configuration_version=version,
            view_age_ms=age_ms,
        )
        return [ResetFlow(packet), refusal]

    def handle_returned(self, packet: Packet, agent: str) -> list[Action]:
        """Place an opening or locate a flow anew after an agent returned its packet."""
        known = self.flows.get(packet.flow)
        if packet.is_opening:
            if known is None or known.agent != agent:
                return []
            route = self._find_route(packet)
            if route is None:
                return self._refuse_unknown_address(packet)
            if not self.selector.opening_rooms.is_exhausted(agent):
                known.tried_agents.add(agent)
            return self._place_opening(packet, route, known.tried_agents)
        if packet.flow in self.searches:
            return self.searches.handle_verdict(packet.flow, agent, Verdict.ABSENT)
        if known is not None and known.agent != agent:
            return [forward_to_agent(known.agent, known.service, packet)]
        self.flows.pop(packet.flow, None)
        self.counters["hints_withdrawn"] += 1
        return self._search_flow(packet, absent_at=agent)

    def handle_answer(self, answer: FlowAnswer, agent: str) -> list[Action]:
        """Apply an agent's verdict on a flow; send the questions that waited for it."""
        actions = self._apply_answer(answer, agent)
        return actions + self.searches.record_answer(answer.flow, agent)

    def _apply_answer(self, answer: FlowAnswer, agent: str) -> list[Action]:
        """Apply an agent's verdict on a flow to its search or its hint."""
        if answer.flow in self.searches:
            return self.searches.handle_verdict(answer.flow, agent, answer.verdict)
        known = self.flows.get(answer.flow)
        if known is None:
            return []
        if known.agent == agent and answer.verdict is Verdict.ABSENT:
            del self.flows[answer.flow]
            self.counters["hints_withdrawn"] += 1
        elif known.agent == agent:
            if answer.verdict in (Verdict.OPENING, Verdict.HELD):
                # The server accepted an earlier copy of a returned opening.
                self.held_openings.remove(answer.flow)
                self.directory.request_registration(answer.flow)
            return confirm_opening(known, self.clock.now_ms())
        elif answer.verdict is Verdict.HELD:
            known.agent, known.unconfirmed_since_ms = agent, None
        return []

    def answer_lookup(self, lookup: FlowLookup) -> FlowLocations:
        """Return the location of a flow that this balancer keeps or forwards."""
        known = self.flows.get(lookup.flow)
        if known is not None and known.unconfirmed_since_ms is None:
            location = FlowLocation(lookup.flow, known.agent, known.service)
        else:
            location = self.directory.find_location(lookup.flow) or FlowLocation(
                lookup.flow, "", ""
            )
        return FlowLocations((location,))

    def handle_locations(self, message: FlowLocations, sender: str) -> list[Action]:
        """Apply the answer to a lookup, or keep the locations of other balancers."""
        self.directory.silent.discard(sender)
        actions: list[Action] = []
        for location in message.locations:
            if self.searches.is_awaiting_location(location.flow):
                actions += self.searches.handle_location(location, sender)
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
        actions = self.searches.tick()
        self.directory.expire()
        actions += self._register_flows()
        configuration = self.view.configuration
        if configuration is not None:
            self.flows.expire_idle(configuration.flow_idle_ms)
        actions += end_flows_of_lost_servers(
            self.view, self.selector, self.flows, self.counters
        )
        return actions + self._place_held_openings()

    def _search_flow(self, packet: Packet, absent_at: str = "") -> list[Action]:
        if packet.flow not in self.searches and self._find_route(packet) is None:
            return self._refuse_unknown_address(packet)
        return self.searches.search(packet, absent_at)

    def _find_route(self, packet: Packet) -> Route | None:
        configuration = self.view.configuration
        if configuration is None:
            return None
        return configuration.routes.get(extract_service_endpoint(packet.flow))


def _must_wait(chosen: ChosenServer, route: Route, *, is_late: bool) -> bool:
    """Return whether an opening has to wait because the chosen server is full for it.

    A late opening is placed only at an idle server: queueing it ahead of openings that
    can still meet their latency objective would make those late as well.
    """
    if is_late:
        return chosen.pressure >= LATE_OPENING_PRESSURE_LIMIT
    return chosen.is_full(route.latency_objective_ms)
