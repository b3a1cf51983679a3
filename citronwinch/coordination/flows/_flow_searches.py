"""The searches of a balancer for flows that it does not know."""

from collections import Counter, OrderedDict

from citronwinch.coordination._address import FlowKey, extract_service_endpoint
from citronwinch.coordination._byte_budget import ByteBudget
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._actions import (
    Action,
    Measure,
    ResetFlow,
    SendMessage,
    record,
)
from citronwinch.coordination.flows._deployment import BackendServer
from citronwinch.coordination.flows._flow_search import FlowSearch, SearchStep
from citronwinch.coordination.flows._known_flows import KnownFlow, KnownFlows, forward
from citronwinch.coordination.flows._messages import FlowQuestion, Verdict
from citronwinch.coordination.flows._packets import Packet
from citronwinch.coordination.flows._server_choice import ServerChoice
from citronwinch.coordination.flows._view import DeploymentView

UNLOCATED_MS = 150
"""How long a balancer does not ask again for a flow that nobody holds, in
milliseconds; shorter than a caller's retransmission interval."""

QUESTION_BYTES = 64
"""What one question takes on a link, its headers included."""

QUESTIONS_SHARE = 0.3
"""The share of the link that questions may take. Answers come back over the same link,
and both must leave room for callers' packets: on a full link no agent is heard, every
search asks again, and the link stays full."""

QUESTIONS_BURST_S = 0.5
"""For how long the questions of a quiet time may be sent at once, in seconds."""

STRANGERS_LIMIT = 200
"""The most agents of services that a route never had, as far as is known, that are
asked for a flow; beyond this the questions would cost more than they find."""


class FlowSearches(dict[FlowKey, FlowSearch]):
    """The searches that go on, by flow.

    What is found goes into the balancer's known flows. A flow that certainly does not
    exist is reset.
    """

    def __init__(
        self,
        view: DeploymentView,
        choice: ServerChoice,
        clock: Clock,
        flows: KnownFlows,
        counts: Counter[str],
        link_mbps: int,
    ) -> None:
        super().__init__()
        self.view = view
        self.choice = choice
        self.clock = clock
        self.flows = flows
        self.counts = counts
        self.unlocated: OrderedDict[FlowKey, int] = OrderedDict()
        rate = round(link_mbps * 125_000 * QUESTIONS_SHARE)
        self.budget = ByteBudget(clock, round(rate * QUESTIONS_BURST_S), rate)

    def search(self, packet: Packet, absent_at: str = "") -> list[Action]:
        """Hold a packet and search for its flow, which one agent may have denied."""
        search = self.get(packet.flow)
        if search is not None:
            search.hold(packet)
            return []
        if packet.flow in self.unlocated:
            return []
        holders, others = self._list_holders(packet)
        search = FlowSearch(self.choice.zone, holders, others, self.clock)
        search.hold(packet)
        self[packet.flow] = search
        self.counts["searches"] += 1
        if absent_at:
            search.hear(absent_at, Verdict.ABSENT)
        return self._follow(packet.flow, search, search.start())

    def hear(self, key: FlowKey, agent: str, verdict: Verdict) -> list[Action]:
        """Take an agent's verdict on a flow that is searched for."""
        search = self[key]
        return self._follow(key, search, search.hear(agent, verdict))

    def tick(self) -> list[Action]:
        """Move searches on whose agents do not answer."""
        actions: list[Action] = []
        now_ms = self.clock.now_ms()
        for key, search in list(self.items()):
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
        return actions

    def _list_holders(
        self, packet: Packet
    ) -> tuple[list[BackendServer], list[BackendServer]]:
        """Return the servers of the route's services, and others that may hold a flow.

        Those of services that the route had are among the others.
        """
        address = extract_service_endpoint(packet.flow)
        configuration = self.view.configuration
        route = configuration.routes.get(address) if configuration else None
        services = {share.service for share in route.shares} if route else set()
        former = self.view.list_route_services(address) - services
        holders = self.view.list_holders(services)
        others = self.view.list_holders(former)
        strangers = self.view.list_holders(
            self.view.list_services() - services - former
        )
        if len(strangers) <= STRANGERS_LIMIT:
            others += strangers
        return holders, others

    def _follow(
        self, key: FlowKey, search: FlowSearch, step: SearchStep
    ) -> list[Action]:
        if step.holder is not None:
            return self._finish(key, search, step.holder)
        if step.ask and not self.budget.spend(len(step.ask) * QUESTION_BYTES):
            return self._put_off(key, search)
        actions: list[Action] = [
            SendMessage(ip, FlowQuestion(key, search.held[0].acknowledged))
            for ip in step.ask
        ]
        for ip in step.try_at:
            service = search.services[ip]
            actions += [forward(ip, service, packet) for packet in search.held]
        if step.is_over:
            actions += self._end(key, search)
        return actions

    def _put_off(self, key: FlowKey, search: FlowSearch) -> list[Action]:
        """Let a search wait for which the link has no room now."""
        self.counts["searches_put_off"] += 1
        if not search.can_go_on():
            return self._end(key, search)
        search.pause()
        return []

    def _end(self, key: FlowKey, search: FlowSearch) -> list[Action]:
        """Give up a search; reset the flow where it certainly does not exist.

        It does not when every agent that could hold it has said so. A flow with an
        agent that is silent or cannot know is left alone: its packets are sent again.
        Only agents of services that the route has or had can hold it; a denial by the
        others is not needed, but they are asked, since this balancer may have started
        after a change of the route.
        """
        packet = search.held[0]
        services = self.view.list_route_services(extract_service_endpoint(packet.flow))
        silent = search.list_silent(services)
        silent -= self.view.forget_former(
            [ip for ip in silent if not self.choice.was_heard_lately(ip)]
        )
        uncertain = search.list_uncertain(services)
        is_dead = not silent and not uncertain and self.view.is_settled()
        if not is_dead and search.can_go_on():
            search.pause()
            return []
        del self[key]
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

    def _finish(self, key: FlowKey, search: FlowSearch, holder: str) -> list[Action]:
        del self[key]
        now_ms = self.clock.now_ms()
        service = search.services[holder]
        flow = KnownFlow(holder, service, now_ms)
        flow.acknowledged = search.held[-1].acknowledged
        self.flows.remember(key, flow)
        self.counts["searches_succeeded"] += 1
        found = record(
            "flow_found",
            search.held[0],
            agent=holder,
            asked=len(search.verdicts),
            searched_ms=now_ms - search.started_ms,
        )
        measure = Measure("search_ms", now_ms - search.started_ms)
        # The agent has those of a trial already.
        missing = search.held[search.tried.get(holder, 0) :]
        forwards = [forward(holder, service, packet) for packet in missing]
        return [*forwards, found, measure]
