"""Decides for a balancer: where each packet of a caller goes."""

from collections import Counter

from citronwinch.coordination._address import extract_service_endpoint
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._actions import (
    Action,
    ResetFlow,
    record,
)
from citronwinch.coordination.flows._deployment import (
    Route,
    order_services,
)
from citronwinch.coordination.flows._flow_searches import FlowSearches
from citronwinch.coordination.flows._held_openings import (
    HeldOpening,
    HeldOpenings,
    is_copy,
)
from citronwinch.coordination.flows._known_flows import (
    KnownFlow,
    KnownFlows,
    confirm,
    forward,
)
from citronwinch.coordination.flows._messages import FlowAnswer, Verdict
from citronwinch.coordination.flows._packets import Packet, make_last_packet
from citronwinch.coordination.flows._server_choice import Chosen, ServerChoice
from citronwinch.coordination.flows._view import DeploymentView

CONFIRMATION_MS = 120
"""How long an agent may take to confirm an opening before a copy of it goes to
another one, in milliseconds; shorter than the callers' first retransmission."""

LATE_PRESSURE = 1.0
"""From this many waiting requests for each slot on, a backend server takes no opening
that is late already; it is idle below."""

LOST_SERVER_MS = 1_500
"""How long a backend server must be missing from the listing before its flows are taken
for dead, in milliseconds; its agent is asked several times meanwhile."""

USUAL_LINK_MBPS = 1_000
"""The link of an instance that does not tell its own, in megabits a second."""

CURRENT_VIEW_MS = 2_500
"""Up to this age a configuration is current enough to refuse an unknown address."""


class BalancerFlows:
    """The flows that one balancer has seen, and the questions it has asked.

    Nothing here is more than a hint. A balancer that does not know a flow asks the
    agents of the service, which know what their backend servers hold.
    """

    def __init__(
        self,
        view: DeploymentView,
        choice: ServerChoice,
        clock: Clock,
        link_mbps: int = USUAL_LINK_MBPS,
    ) -> None:
        self.view = view
        self.choice = choice
        self.clock = clock
        self.flows = KnownFlows(clock)
        self.counts: Counter[str] = Counter()
        self.searches = FlowSearches(
            view, choice, clock, self.flows, self.counts, link_mbps
        )
        self.held_openings = HeldOpenings(clock)

    def handle_packet(self, packet: Packet) -> list[Action]:
        """Take a packet from a caller."""
        if packet.is_opening:
            return self._handle_opening(packet)
        known = self.flows.get(packet.flow)
        if known is not None:
            known.seen_ms = self.clock.now_ms()
            known.acknowledged = packet.acknowledged
            return [forward(known.agent, known.service, packet)]
        return self._search(packet)

    def _handle_opening(self, packet: Packet) -> list[Action]:
        now_ms = self.clock.now_ms()
        known = self.flows.get(packet.flow)
        if known is not None:
            is_late = (
                known.opened_ms is not None
                and now_ms - known.opened_ms > CONFIRMATION_MS
            )
            if not is_late:
                return [forward(known.agent, known.service, packet)]
            known.tried.add(known.agent)
            self.choice.note_unanswered(known.agent)
        route = self._find_route(packet)
        if route is None:
            return self._refuse_unknown_address(packet)
        return self._place(packet, route, known.tried if known else set())

    def _place(self, packet: Packet, route: Route, tried: set[str]) -> list[Action]:
        chosen = self._choose(packet, route, tried)
        if chosen is None:
            return self._refuse_opening(packet, route, tried, "no server left")
        if _is_full(chosen, route, is_late=is_copy(packet)):
            if self.held_openings.hold(packet, route):
                self.counts["openings_held"] += 1
                return []
            return self._refuse_opening(packet, route, tried, "too many openings wait")
        return self._open_at(packet, chosen, tried)

    def _choose(self, packet: Packet, route: Route, tried: set[str]) -> Chosen | None:
        objective_ms = route.latency_objective_ms
        by_preference = [
            chosen
            for service in order_services(route, packet.flow)
            if (
                chosen := self.choice.choose(
                    self.view.list_ready(service), tried, objective_ms
                )
            )
        ]
        return self.choice.choose_service(by_preference) if by_preference else None

    def _open_at(self, packet: Packet, chosen: Chosen, tried: set[str]) -> list[Action]:
        self.held_openings.release(packet.flow)
        self.choice.note_placed(chosen.server)
        agent, service = chosen.server.address.ip, chosen.server.service
        now_ms = self.clock.now_ms()
        flow = KnownFlow(agent, service, now_ms)
        flow.opened_ms, flow.tried = now_ms, tried
        self.flows.remember(packet.flow, flow)
        self.counts["openings_placed"] += 1
        placed = record(
            "opening_placed",
            packet,
            service=service,
            server=chosen.server.name,
            agent=agent,
            score=chosen.score,
            pressure=chosen.pressure,
            busy_share=chosen.busy_share,
            candidates=chosen.candidates,
            attempt=len(tried) + 1,
            view_age_ms=self.view.age_ms,
        )
        return [forward(agent, service, packet), placed]

    def _refuse_opening(
        self, packet: Packet, route: Route, tried: set[str], reason: str
    ) -> list[Action]:
        self.held_openings.release(packet.flow)
        self.flows.pop(packet.flow, None)
        self.counts["openings_refused"] += 1
        services = [share.service for share in route.shares]
        refusal = record(
            "opening_refused",
            packet,
            reason=reason,
            services=services,
            ready_servers=sum(len(self.view.list_ready(name)) for name in services),
            tried=sorted(tried),
            view_age_ms=self.view.age_ms,
        )
        return [ResetFlow(packet), refusal]

    def _place_held_openings(self) -> list[Action]:
        """Place the openings for which there is room now; refuse those out of time.

        Once one opening of a kind finds no room, the others of that kind would not find
        any either, so that a crowd costs a few choices and not one for each opening.
        """
        actions: list[Action] = []
        without_room: set[tuple[str, bool, tuple[str, ...]]] = set()
        now_ms = self.clock.now_ms()
        for held in self.held_openings.list_by_priority():
            is_late = self.held_openings.is_late(held)
            services = tuple(order_services(held.route, held.packet.flow))
            kind = (held.route.name, is_late, services)
            if kind not in without_room:
                chosen = self._choose(held.packet, held.route, set())
                if chosen is None:
                    actions += self._refuse_held(held, "no server left")
                    continue
                if not _is_full(chosen, held.route, is_late=is_late):
                    actions += self._open_at(held.packet, chosen, set())
                    continue
                without_room.add(kind)
            if now_ms >= held.deadline_ms:
                actions += self._refuse_held(held, "no room in time")
        return actions

    def _refuse_held(self, held: HeldOpening, reason: str) -> list[Action]:
        return self._refuse_opening(held.packet, held.route, set(), reason)

    def _refuse_unknown_address(self, packet: Packet) -> list[Action]:
        age_ms = self.view.age_ms
        if age_ms is None or age_ms > CURRENT_VIEW_MS:
            self.counts["unknown_address_ignored"] += 1
            return []
        self.counts["unknown_address_refused"] += 1
        version = self.view.configuration.version if self.view.configuration else 0
        refusal = record(
            "unknown_address_refused",
            packet,
            configuration_version=version,
            view_age_ms=age_ms,
        )
        return [ResetFlow(packet), refusal]

    def handle_returned(self, packet: Packet, agent: str) -> list[Action]:
        """Take back a packet that an agent's backend server does not take."""
        known = self.flows.get(packet.flow)
        if packet.is_opening:
            if known is None or known.agent != agent:
                return []
            route = self._find_route(packet)
            if route is None:
                return self._refuse_unknown_address(packet)
            known.tried.add(agent)
            return self._place(packet, route, known.tried)
        if packet.flow in self.searches:
            return self.searches.hear(packet.flow, agent, Verdict.ABSENT)
        if known is not None and known.agent != agent:
            return [forward(known.agent, known.service, packet)]
        self.flows.pop(packet.flow, None)
        self.counts["hints_withdrawn"] += 1
        return self._search(packet, absent_at=agent)

    def handle_answer(self, answer: FlowAnswer, agent: str) -> list[Action]:
        """Take what an agent says about a flow."""
        if answer.flow in self.searches:
            return self.searches.hear(answer.flow, agent, answer.verdict)
        known = self.flows.get(answer.flow)
        if known is None:
            return []
        if known.agent == agent and answer.verdict is Verdict.ABSENT:
            del self.flows[answer.flow]
            self.counts["hints_withdrawn"] += 1
        elif known.agent == agent:
            return confirm(known, self.clock.now_ms())
        elif answer.verdict is Verdict.HELD:
            known.agent, known.opened_ms = agent, None
        return []

    def tick(self) -> list[Action]:
        """Move searches on whose agents do not answer; forget idle flows."""
        actions = self.searches.tick()
        configuration = self.view.configuration
        if configuration is not None:
            self.flows.sweep(configuration.flow_idle_ms)
        actions += self._end_flows_of_lost_servers()
        return actions + self._place_held_openings()

    def _end_flows_of_lost_servers(self) -> list[Action]:
        """Reset the flows of servers that left the listing and whose agents are lost.

        Callers of idle flows would otherwise lose their next request, and others would
        wait for their deadlines.
        """
        if not self.view.is_settled() or self.choice.is_isolated():
            return []
        gone = self.view.list_former(LOST_SERVER_MS)
        lost = {s.address.ip for s in gone if self.choice.is_lost(s.address.ip)}
        if not lost:
            return []
        self.view.forget_former(lost)
        ended = self.flows.pop_all_at(lost)
        actions: list[Action] = [
            ResetFlow(make_last_packet(key, flow.acknowledged))
            for key, flow in ended.items()
        ]
        self.counts["flows_reset"] += len(ended)
        lost_servers = record(
            "servers_lost",
            agents=sorted(lost),
            flows_reset=len(ended),
            view_age_ms=self.view.age_ms,
        )
        return [*actions, lost_servers]

    def _search(self, packet: Packet, absent_at: str = "") -> list[Action]:
        if packet.flow not in self.searches and self._find_route(packet) is None:
            return self._refuse_unknown_address(packet)
        return self.searches.search(packet, absent_at)

    def _find_route(self, packet: Packet) -> Route | None:
        configuration = self.view.configuration
        if configuration is None:
            return None
        return configuration.routes.get(extract_service_endpoint(packet.flow))


def _is_full(chosen: Chosen, route: Route, *, is_late: bool) -> bool:
    """Return whether an opening has to wait, since others need the room more.

    One that is late already goes to an idle server only: a queue in front of those
    that can still be in time would make them late as well.
    """
    if is_late:
        return chosen.pressure >= LATE_PRESSURE
    return chosen.is_full(route.latency_objective_ms)
