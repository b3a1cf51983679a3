"""Decides whether a balancer places, holds or refuses an opening that arrives."""

from collections import Counter

from citronwinch.coordination._address import extract_service_endpoint
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._actions import Action, ResetFlow, record
from citronwinch.coordination.flows._attempt_ages import AttemptAges
from citronwinch.coordination.flows._deployment import Route
from citronwinch.coordination.flows._held_opening import (
    HeldOpening,
    make_held_opening,
)
from citronwinch.coordination.flows._held_placement import HeldPlacement, must_wait
from citronwinch.coordination.flows._held_uploads import HeldUploads
from citronwinch.coordination.flows._known_flows import (
    KnownFlow,
    KnownFlows,
    forward_opening,
)
from citronwinch.coordination.flows._opening_placement import OpeningPlacement
from citronwinch.coordination.flows._opening_times import (
    OpeningTimes,
    read_copy_age_ms,
)
from citronwinch.coordination.flows._packets import Packet
from citronwinch.coordination.flows._refusal_reasons import (
    explain_missing_server,
    may_get_server,
)
from citronwinch.coordination.flows._server_selector import ServerSelector
from citronwinch.coordination.flows._upload_admission import UploadAdmission
from citronwinch.coordination.flows._view import DeploymentView

AGENT_CONFIRMATION_TIMEOUT_MS = 120
"""How long an agent may take to confirm an opening, in milliseconds; after that a
retransmission of the opening is placed at another agent. Shorter than the interval
before the callers' first retransmission, so that even this one is placed again."""

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
        self.attempt_ages = attempt_ages
        self.placement = OpeningPlacement(
            view, selector, clock, flows, counters, uploads, attempt_ages
        )
        self.held_openings = self.placement.held_openings
        self.held_placement = HeldPlacement(self.placement, clock)
        self.held_uploads = HeldUploads(
            self.placement, clock, self._place_admitted_upload
        )

    def handle_opening(self, packet: Packet) -> list[Action]:
        """Forward, hold or refuse an opening of a caller."""
        now_ms = self.clock.now_ms()
        known = self._find_attempt(packet)
        is_overdue = False
        if known is not None:
            is_overdue = (
                known.unconfirmed_since_ms is not None
                and now_ms - known.unconfirmed_since_ms > AGENT_CONFIRMATION_TIMEOUT_MS
            )
            must_move = known.unconfirmed_since_ms is not None and (
                is_overdue or self.view.is_evacuated(known.agent)
            )
            known.may_be_accepted |= known.unconfirmed_since_ms is not None
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
        must_pass_link = known is None and route.has_large_requests
        if must_pass_link and packet.flow not in self.held_openings.openings:
            held = make_held_opening(packet, route, times, now_ms)
            return self.held_uploads.handle_opening(held)
        tried_agents = known.tried_agents if known else set()
        return self.place_opening(packet, route, times, tried_agents)

    def _find_attempt(self, packet: Packet) -> KnownFlow | None:
        """Return the flow that an opening is a copy of, None for a new one.

        An earlier flow of the same port is forgotten. The new one is admitted like any
        other: the server and the route of the earlier one may have gone since.
        """
        known = self.flows.get(packet.flow)
        if known is None or known.is_opened_by(packet):
            return known
        del self.flows[packet.flow]
        self.placement.uploads.remove(packet.flow)
        self.counters["ports_used_again"] += 1
        return None

    def _place_admitted_upload(self, held: HeldOpening) -> list[Action]:
        return self.place_opening(held.packet, held.route, held.times, set())

    def _find_times(self, packet: Packet, known: KnownFlow | None) -> OpeningTimes:
        """Return when the caller sent an opening that was received now."""
        now_ms = self.clock.now_ms()
        sent_ms = now_ms - read_copy_age_ms(packet)
        held = self.held_openings.openings.get(packet.flow)
        held = held or self.held_uploads.openings.get(packet.flow)
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
        chosen = self.placement.choose_server(packet, route, tried_agents)
        if chosen is None:
            return self._hold_or_refuse(packet, route, times, tried_agents)
        now_ms = self.clock.now_ms()
        known = self.flows.get(packet.flow)
        may_be_accepted = known is not None and known.may_be_accepted
        held = make_held_opening(
            packet, route, times, now_ms, may_be_accepted=may_be_accepted
        )
        has_waited = packet.flow in self.held_openings.openings
        if must_wait(chosen, held, now_ms):
            if not self.held_openings.hold_opening(held):
                reason = "too many openings wait"
                return self.placement.refuse(packet, route, times, tried_agents, reason)
            self.counters["openings_held"] += not has_waited
            return []
        if (
            not tried_agents
            and self.held_openings.must_queue(held)
            and self.held_openings.hold_opening(held)
        ):
            actions = self.held_placement.place_for(held.services)
            self.counters["openings_held"] += packet.flow in self.held_openings.openings
            return actions
        return self.placement.forward(packet, route, times, chosen, tried_agents)

    def _hold_or_refuse(
        self,
        packet: Packet,
        route: Route,
        times: OpeningTimes,
        tried_agents: set[str],
    ) -> list[Action]:
        """Hold an opening whose route may have a server again soon; refuse another."""
        if may_get_server(self.view, route):
            now_ms = self.clock.now_ms()
            has_waited = packet.flow in self.held_openings.openings
            held = make_held_opening(packet, route, times, now_ms, awaits_server=True)
            if now_ms < held.deadline_ms and self.held_openings.hold_opening(held):
                self.counters["openings_awaiting_listing"] += not has_waited
                return []
        reason = explain_missing_server(self.view, route)
        return self.placement.refuse(packet, route, times, tried_agents, reason)

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

    def end_flow_without_route(self, packet: Packet) -> list[Action]:
        """Reset the flow of a packet if its route has just been removed.

        Otherwise another balancer may have opened the flow by a newer configuration,
        which has added the route, or added it again. This balancer will have it when
        the caller sends the packet again.
        """
        address = extract_service_endpoint(packet.flow)
        if self.view.route_history.has_just_changed(address):
            return self.refuse_unknown_address(packet)
        self.counters["unknown_address_ignored"] += 1
        return []

    def find_route(self, packet: Packet) -> Route | None:
        """Return the route of a packet's service address, if any."""
        configuration = self.view.configuration
        if configuration is None:
            return None
        return configuration.routes.get(extract_service_endpoint(packet.flow))
