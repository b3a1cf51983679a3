"""Decides for a balancer: where each packet of a caller goes."""

from collections import Counter, OrderedDict

from citronwinch.coordination._address import FlowKey, service_part
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._actions import (
    Action,
    Measure,
    ResetFlow,
    SendMessage,
    record,
)
from citronwinch.coordination.flows._deployment import (
    BackendServer,
    Route,
    order_services,
)
from citronwinch.coordination.flows._flow_search import FlowSearch, SearchStep
from citronwinch.coordination.flows._held_openings import (
    HeldOpening,
    HeldOpenings,
    is_copy,
)
from citronwinch.coordination.flows._messages import (
    FlowAnswer,
    FlowQuestion,
    ForwardedPacket,
    Verdict,
)
from citronwinch.coordination.flows._packets import Packet, make_last_packet
from citronwinch.coordination.flows._server_choice import Chosen, ServerChoice
from citronwinch.coordination.flows._view import DeploymentView

CONFIRMATION_MS = 120
"""How long an agent may take to confirm an opening before a copy of it goes to
another one, in milliseconds; shorter than the callers' first retransmission."""

FLOW_LIMIT = 400_000
"""The most flows that a balancer remembers; about 80 MB."""

UNLOCATED_MS = 150
"""How long a balancer does not ask again for a flow that nobody holds, in
milliseconds; shorter than a caller's retransmission interval."""

LATE_PRESSURE = 1.0
"""From this many waiting requests for each slot on, a backend server takes no opening
that is late already; it is idle below."""

LOST_SERVER_MS = 1_500
"""How long a backend server must be missing from the listing before its flows are taken
for dead, in milliseconds; its agent is asked several times meanwhile."""

CURRENT_VIEW_MS = 2_500
"""Up to this age a configuration is current enough to refuse an unknown address."""

OTHERS_LIMIT = 200
"""The most agents of other services that are asked for a flow; beyond this the
questions would cost more than the flows that a changed route has left behind."""

SWEEPS_PER_ROUND = 250
"""In how many sweeps every flow is looked at once; 5 to 10 s, well below the shortest
time for which a flow is kept."""


class KnownFlow:
    """Where a flow goes."""

    def __init__(self, agent: str, service: str, now_ms: int) -> None:
        self.agent = agent
        self.service = service
        self.seen_ms = now_ms
        self.acknowledged = 0
        self.opened_ms: int | None = None
        """When the opening was forwarded; None once the agent has confirmed it."""
        self.tried: set[str] = set()


class BalancerFlows:
    """The flows that one balancer has seen, and the questions it has asked.

    Nothing here is more than a hint. A balancer that does not know a flow asks the
    agents of the service, which know what their backend servers hold.
    """

    def __init__(self, view: DeploymentView, choice: ServerChoice, clock: Clock):
        self.view = view
        self.choice = choice
        self.clock = clock
        self.flows: OrderedDict[FlowKey, KnownFlow] = OrderedDict()
        self.searches: dict[FlowKey, FlowSearch] = {}
        self.unlocated: OrderedDict[FlowKey, int] = OrderedDict()
        self.held_openings = HeldOpenings(clock)
        self.counts: Counter[str] = Counter()

    def handle_packet(self, packet: Packet) -> list[Action]:
        """Take a packet from a caller."""
        if packet.is_opening:
            return self._handle_opening(packet)
        known = self.flows.get(packet.flow)
        if known is not None:
            known.seen_ms = self.clock.now_ms()
            known.acknowledged = packet.acknowledged
            return [_forward(known.agent, known.service, packet)]
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
                return [_forward(known.agent, known.service, packet)]
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
        self._remember(packet.flow, flow)
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
        return [_forward(agent, service, packet), placed]

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
        search = self.searches.get(packet.flow)
        if packet.is_opening:
            if known is None or known.agent != agent:
                return []
            route = self._find_route(packet)
            if route is None:
                return self._refuse_unknown_address(packet)
            known.tried.add(agent)
            return self._place(packet, route, known.tried)
        if search is not None:
            step = search.hear(agent, Verdict.ABSENT)
            return self._follow(packet.flow, search, step)
        if known is not None and known.agent != agent:
            return [_forward(known.agent, known.service, packet)]
        self.flows.pop(packet.flow, None)
        self.counts["hints_withdrawn"] += 1
        return self._search(packet, absent_at=agent)

    def handle_answer(self, answer: FlowAnswer, agent: str) -> list[Action]:
        """Take what an agent says about a flow."""
        search = self.searches.get(answer.flow)
        known = self.flows.get(answer.flow)
        if known is not None and search is None:
            if known.agent == agent and answer.verdict is Verdict.ABSENT:
                del self.flows[answer.flow]
                self.counts["hints_withdrawn"] += 1
                return []
            if known.agent == agent:
                return _confirm(known, self.clock.now_ms())
            if answer.verdict is Verdict.HELD:
                known.agent, known.opened_ms = agent, None
            return []
        if search is None:
            return []
        step = search.hear(agent, answer.verdict)
        return self._follow(answer.flow, search, step)

    def tick(self) -> list[Action]:
        """Move searches on whose agents do not answer; forget idle flows."""
        actions: list[Action] = []
        now_ms = self.clock.now_ms()
        for key, search in list(self.searches.items()):
            if now_ms >= search.deadline_ms:
                if search.is_paused:
                    step = search.resume(*self._list_holders(search.held[0]))
                else:
                    step = search.time_out()
                actions += self._follow(key, search, step)
        while self.unlocated:
            key, since_ms = next(iter(self.unlocated.items()))
            if now_ms - since_ms < UNLOCATED_MS:
                break
            del self.unlocated[key]
        self._sweep(now_ms)
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
        keys = [key for key, flow in self.flows.items() if flow.agent in lost]
        actions: list[Action] = [
            ResetFlow(make_last_packet(key, self.flows[key].acknowledged))
            for key in keys
        ]
        for key in keys:
            del self.flows[key]
        self.counts["flows_reset"] += len(keys)
        lost_servers = record(
            "servers_lost",
            agents=sorted(lost),
            flows_reset=len(keys),
            view_age_ms=self.view.age_ms,
        )
        return [*actions, lost_servers]

    def _sweep(self, now_ms: int) -> None:
        configuration = self.view.configuration
        if configuration is None:
            return
        for _ in range(-(-len(self.flows) // SWEEPS_PER_ROUND)):
            key, flow = next(iter(self.flows.items()))
            if now_ms - flow.seen_ms > configuration.flow_idle_ms:
                del self.flows[key]
            else:
                self.flows.move_to_end(key)

    def _search(self, packet: Packet, absent_at: str = "") -> list[Action]:
        search = self.searches.get(packet.flow)
        if search is not None:
            search.hold(packet)
            return []
        route = self._find_route(packet)
        if route is None:
            return self._refuse_unknown_address(packet)
        if packet.flow in self.unlocated:
            return []
        holders, others = self._list_holders(packet)
        search = FlowSearch(self.choice.zone, holders, others, self.clock)
        search.hold(packet)
        self.searches[packet.flow] = search
        self.counts["searches"] += 1
        if absent_at:
            search.hear(absent_at, Verdict.ABSENT)
        return self._follow(packet.flow, search, search.start())

    def _list_holders(
        self, packet: Packet
    ) -> tuple[list[BackendServer], list[BackendServer]]:
        """Return who may hold a flow: servers of its route's services, and others."""
        route = self._find_route(packet)
        services = {share.service for share in route.shares} if route else set()
        holders = self.view.list_holders(services)
        others = self.view.list_holders(self.view.list_services() - services)
        return holders, others if len(others) <= OTHERS_LIMIT else []

    def _follow(
        self, key: FlowKey, search: FlowSearch, step: SearchStep
    ) -> list[Action]:
        if step.holder is not None:
            return self._finish_search(key, search, step)
        actions: list[Action] = [
            SendMessage(ip, FlowQuestion(key, search.held[0].acknowledged))
            for ip in step.ask
        ]
        for ip in step.try_at:
            service = search.services[ip]
            actions += [_forward(ip, service, packet) for packet in search.held]
        if step.is_over:
            actions += self._end_search(key, search)
        return actions

    def _end_search(self, key: FlowKey, search: FlowSearch) -> list[Action]:
        """Give up a search; reset the flow where it certainly does not exist.

        It does not when every agent that could hold it has said so. A flow with an
        agent that is silent or cannot know is left alone: its packets are sent again.
        Only agents of services that the route has or had can hold it; a denial by the
        others is not needed, but they are asked, since this balancer may have started
        after a change of the route.
        """
        packet = search.held[0]
        services = self.view.list_route_services(service_part(packet.flow))
        silent = search.list_silent(services)
        silent -= self.view.forget_former(
            [ip for ip in silent if not self.choice.was_heard_lately(ip)]
        )
        uncertain = search.list_uncertain(services)
        is_dead = not silent and not uncertain and self.view.is_settled()
        if not is_dead and search.can_go_on():
            search.pause()
            return []
        del self.searches[key]
        self.unlocated[key] = self.clock.now_ms()
        if is_dead and packet.is_reset:
            return []
        self.counts["flows_reset" if is_dead else "searches_failed"] += 1
        outcome = record(
            "dead_flow_reset" if is_dead else "flow_not_found",
            packet,
            absent=len(search.list_by_verdict(Verdict.ABSENT)),
            silent=sorted(silent),
            uncertain=sorted(uncertain),
            searched_ms=self.clock.now_ms() - search.started_ms,
            view_age_ms=self.view.age_ms,
        )
        return [ResetFlow(packet), outcome] if is_dead else [outcome]

    def _finish_search(
        self, key: FlowKey, search: FlowSearch, step: SearchStep
    ) -> list[Action]:
        assert step.holder is not None
        del self.searches[key]
        now_ms = self.clock.now_ms()
        service = search.services[step.holder]
        flow = KnownFlow(step.holder, service, now_ms)
        flow.acknowledged = search.held[-1].acknowledged
        self._remember(key, flow)
        self.counts["searches_succeeded"] += 1
        found = record(
            "flow_found",
            search.held[0],
            agent=step.holder,
            asked=len(search.verdicts),
            searched_ms=now_ms - search.started_ms,
        )
        measure = Measure("search_ms", now_ms - search.started_ms)
        # The agent has those of a trial already.
        missing = search.held[search.tried.get(step.holder, 0) :]
        forwards = [_forward(step.holder, service, packet) for packet in missing]
        return [*forwards, found, measure]

    def _remember(self, key: FlowKey, flow: KnownFlow) -> None:
        self.flows[key] = flow
        self.flows.move_to_end(key)
        while len(self.flows) > FLOW_LIMIT:
            self.flows.popitem(last=False)

    def _find_route(self, packet: Packet) -> Route | None:
        configuration = self.view.configuration
        if configuration is None:
            return None
        return configuration.routes.get(service_part(packet.flow))


def _is_full(chosen: Chosen, route: Route, *, is_late: bool) -> bool:
    """Return whether an opening has to wait, since others need the room more.

    One that is late already goes to an idle server only: a queue in front of those
    that can still be in time would make them late as well.
    """
    if is_late:
        return chosen.pressure >= LATE_PRESSURE
    return chosen.is_full(route.latency_objective_ms)


def _confirm(known: KnownFlow, now_ms: int) -> list[Action]:
    opened_ms, known.opened_ms = known.opened_ms, None
    if opened_ms is None:
        return []
    return [Measure("opening_wait_ms", now_ms - opened_ms)]


def _forward(agent: str, service: str, packet: Packet) -> SendMessage:
    return SendMessage(agent, ForwardedPacket(service, packet.raw))
