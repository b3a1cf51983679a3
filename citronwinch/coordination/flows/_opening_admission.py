"""Decides whether a balancer places, holds or refuses an opening."""

from collections import Counter

from citronwinch.coordination._address import extract_service_endpoint
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._actions import Action, ResetFlow, record
from citronwinch.coordination.flows._attempt_ages import AttemptAges
from citronwinch.coordination.flows._chosen_server import ChosenServer
from citronwinch.coordination.flows._deployment import Route, order_services
from citronwinch.coordination.flows._held_openings import (
    HeldOpening,
    HeldOpenings,
    is_retransmission,
)
from citronwinch.coordination.flows._known_flows import (
    LAST_CHOICE_ATTEMPT,
    KnownFlow,
    KnownFlows,
    count_attempts,
    forward_opening,
)
from citronwinch.coordination.flows._opening_times import (
    OpeningTimes,
    read_copy_age_ms,
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


class OpeningAdmission:
    """Places the openings of callers at agents; holds or refuses the others."""

    def __init__(
        self,
        view: DeploymentView,
        selector: ServerSelector,
        clock: Clock,
        flows: KnownFlows,
        counters: Counter[str],
        uploads: UploadAdmission,
        attempt_ages: AttemptAges,
    ) -> None:
        self.view = view
        self.selector = selector
        self.clock = clock
        self.flows = flows
        self.counters = counters
        self.uploads = uploads
        self.attempt_ages = attempt_ages
        self.held_openings = HeldOpenings(clock)

    def handle_opening(self, packet: Packet) -> list[Action]:
        """Forward, hold or refuse an opening of a caller."""
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
                known.times = self._find_times(packet, known)
                route = self.find_route(packet)
                return [forward_opening(known, packet, route, now_ms)]
            known.tried_agents.add(known.agent)
            if is_overdue:
                self.selector.record_unconfirmed_flow(known.agent)
        route = self.find_route(packet)
        if route is None:
            return self.refuse_unknown_address(packet)
        times = self._find_times(packet, known)
        if known is None and route.has_large_requests and self.uploads.is_full():
            return self._refuse_opening(packet, route, times, set(), "link full")
        tried_agents = known.tried_agents if known else set()
        return self.place_opening(packet, route, times, tried_agents)

    def _find_times(self, packet: Packet, known: KnownFlow | None) -> OpeningTimes:
        """Return when the caller sent an opening that was received now."""
        now_ms = self.clock.now_ms()
        sent_ms = now_ms - read_copy_age_ms(packet)
        held = self.held_openings.openings.get(packet.flow)
        if held is not None:
            return held.times
        if known is not None and known.times.is_same_attempt(sent_ms):
            return known.times.include_copy(sent_ms)
        age_ms = self.attempt_ages.take_age_ms(packet.flow)
        return OpeningTimes(min(sent_ms, now_ms - age_ms), sent_ms)

    def place_opening(
        self,
        packet: Packet,
        route: Route,
        times: OpeningTimes,
        tried_agents: set[str],
    ) -> list[Action]:
        """Place an opening at an agent that was not tried yet, hold it or refuse it."""
        chosen = self._choose_server(packet, route, tried_agents)
        if chosen is None:
            reason = explain_missing_server(self.view, route)
            return self._refuse_opening(packet, route, times, tried_agents, reason)
        if _must_wait(chosen, route, is_late=is_retransmission(packet)):
            if self.held_openings.hold_opening(packet, route, times):
                self.counters["openings_held"] += 1
                return []
            return self._refuse_opening(
                packet, route, times, tried_agents, "too many openings wait"
            )
        return self._forward_opening(packet, route, times, chosen, tried_agents)

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
        times: OpeningTimes,
        chosen: ChosenServer,
        tried_agents: set[str],
    ) -> list[Action]:
        self.held_openings.remove(packet.flow)
        self.selector.record_placed_flow(chosen.server)
        agent, service = chosen.server.address.ip, chosen.server.service
        now_ms = self.clock.now_ms()
        flow = KnownFlow(agent, service, now_ms)
        flow.times, flow.tried_agents = times, tried_agents
        flow.unconfirmed_since_ms = now_ms
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
            age_ms=now_ms - times.first_ms,
            view_age_ms=self.view.age_ms,
        )
        return [forward_opening(flow, packet, route, now_ms), placed]

    def _refuse_opening(
        self,
        packet: Packet,
        route: Route,
        times: OpeningTimes,
        tried_agents: set[str],
        reason: str,
    ) -> list[Action]:
        self.attempt_ages.record_ended(packet.flow, times.first_ms)
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

    def place_held_openings(self) -> list[Action]:
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
                        held.packet, held.route, held.times, chosen, set()
                    )
                    continue
                full_kinds.add(kind)
            if now_ms >= held.deadline_ms:
                actions += self._refuse_held_opening(held, "no room in time")
        return actions

    def _refuse_held_opening(self, held: HeldOpening, reason: str) -> list[Action]:
        return self._refuse_opening(held.packet, held.route, held.times, set(), reason)

    def refuse_unknown_address(self, packet: Packet) -> list[Action]:
        """Refuse a packet to an address without a route if the view is current."""
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

    def find_route(self, packet: Packet) -> Route | None:
        """Return the route of a packet's service address, if any."""
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
