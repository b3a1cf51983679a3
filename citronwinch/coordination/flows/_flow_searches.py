"""The running searches of a balancer for flows that it does not know."""

from collections import Counter, OrderedDict
from collections.abc import Collection

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
from citronwinch.coordination.flows._attempt_ages import AttemptAges
from citronwinch.coordination.flows._deployment import BackendServer
from citronwinch.coordination.flows._flow_directory import (
    MIN_AGENTS,
    FlowDirectory,
)
from citronwinch.coordination.flows._flow_search import FlowSearch, SearchStep
from citronwinch.coordination.flows._known_flows import (
    KnownFlow,
    KnownFlows,
    forward_to_agent,
)
from citronwinch.coordination.flows._messages import (
    FlowLocation,
    FlowLookup,
    FlowQuestion,
    Verdict,
)
from citronwinch.coordination.flows._packets import Packet
from citronwinch.coordination.flows._server_selector import ServerSelector
from citronwinch.coordination.flows._view import DeploymentView

NOT_FOUND_RETENTION_MS = 150
"""How long after an unsuccessful search a balancer starts no new search for the flow,
in milliseconds; shorter than a caller's retransmission interval."""

QUESTION_BYTES = 64
"""The size of one question on a link, with its headers, in bytes."""

QUESTION_BANDWIDTH_SHARE = 0.3
"""The share of the link's bandwidth that questions may take. Answers return over the
same link, and both must leave room for callers' packets: on a full link no answers
arrive, every search repeats its questions, and the link stays full."""

QUESTION_BURST_S = 0.5
"""The largest burst of questions, in seconds of their permitted rate."""

UNRELATED_SERVERS_LIMIT = 200
"""Servers of unrelated services, which the route is not known to have ever had, are
searched only if there are at most this many; beyond it the questions cost more than
they find."""


class FlowSearches(dict[FlowKey, FlowSearch]):
    """The running searches, by flow.

    A flow that is found is stored in the balancer's known flows. A flow that certainly
    does not exist is reset.
    """

    def __init__(
        self,
        view: DeploymentView,
        selector: ServerSelector,
        clock: Clock,
        flows: KnownFlows,
        counters: Counter[str],
        directory: FlowDirectory,
        link_mbps: int,
    ) -> None:
        super().__init__()
        self.directory = directory
        self.view = view
        self.selector = selector
        self.clock = clock
        self.flows = flows
        self.counters = counters
        self.not_found: OrderedDict[FlowKey, int] = OrderedDict()
        """The flows of unsuccessful searches, with the time at which each ended."""
        self.attempt_ages = AttemptAges(clock)
        """The attempts that were ended; replaced by those of the balancer."""
        rate = round(link_mbps * 125_000 * QUESTION_BANDWIDTH_SHARE)
        self.question_budget = ByteBudget(clock, round(rate * QUESTION_BURST_S), rate)

    def search(self, packet: Packet, absent_at: str = "") -> list[Action]:
        """Hold a packet and search for its flow.

        `absent_at` is an agent that has already ruled the flow out, if any.
        """
        search = self.get(packet.flow)
        if search is not None:
            search.hold_packet(packet)
            return []
        if packet.flow in self.not_found:
            return []
        route_servers, other_servers = self._list_servers_to_query(packet)
        search = FlowSearch(
            self.selector.zone, route_servers, other_servers, self.clock
        )
        search.hold_packet(packet)
        self[packet.flow] = search
        self.counters["searches"] += 1
        if absent_at:
            search.handle_verdict(absent_at, Verdict.ABSENT)
        elif len(search.rounds[0].agents) > MIN_AGENTS:
            return self._look_up(packet.flow, search)
        return self._apply_step(packet.flow, search, search.start())

    def _look_up(self, key: FlowKey, search: FlowSearch) -> list[Action]:
        """Look a flow up in the directory of the zone before agents are asked."""
        keeper = self.directory.find_keeper(key)
        if keeper and keeper != self.directory.own_ip:
            search.await_keeper(keeper)
            return [SendMessage(keeper, FlowLookup(key))]
        location = self.directory.find_location(key) or FlowLocation(key, "", "")
        return self.handle_location(location)

    def handle_location(self, location: FlowLocation, sender: str = "") -> list[Action]:
        """Apply an answer to a lookup: forward there, or continue the search."""
        search = self[location.flow]
        if search.pending_balancers:
            return self._handle_last_lookup(search, location, sender)
        if search.services.get(location.agent) == location.service:
            self.counters["searches_by_directory"] += 1
            return self._finish_found(location.flow, search, location.agent)
        return self._apply_step(location.flow, search, search.start())

    def is_awaiting_location(self, key: FlowKey) -> bool:
        """Return whether the search for a flow awaits the answer to a lookup."""
        search = self.get(key)
        return search is not None and bool(search.keeper or search.pending_balancers)

    def _ask_balancers(self, key: FlowKey, search: FlowSearch) -> list[Action]:
        """Look a flow up at all balancers of the zone before it counts as dead.

        The backend server that holds it may be missing from this balancer's listing,
        because it has just registered.
        """
        others = self.directory.balancers - {self.directory.own_ip}
        search.await_balancers(others)
        return [SendMessage(ip, FlowLookup(key)) for ip in sorted(others)]

    def _handle_last_lookup(
        self, search: FlowSearch, location: FlowLocation, sender: str
    ) -> list[Action]:
        key = location.flow
        search.pending_balancers.discard(sender)
        services = self.view.list_current_and_former_services(
            extract_service_endpoint(key)
        )
        is_new = bool(location.agent) and location.agent not in search.verdicts
        if is_new and location.service in services:
            search.services[location.agent] = location.service
            return self._finish_found(key, search, location.agent)
        if search.pending_balancers:
            return []
        return self._finish_not_found(key, search)

    def handle_verdict(
        self, key: FlowKey, agent: str, verdict: Verdict
    ) -> list[Action]:
        """Apply an agent's verdict to the search for a flow."""
        search = self[key]
        return self._apply_step(key, search, search.handle_verdict(agent, verdict))

    def tick(self) -> list[Action]:
        """Advance searches past their deadline; expire entries of flows not found."""
        actions: list[Action] = []
        now_ms = self.clock.now_ms()
        for key, search in list(self.items()):
            if now_ms >= search.deadline_ms:
                if search.keeper:
                    self.directory.silent.add(search.keeper)
                    self.counters["lookups_unanswered"] += 1
                    step = search.start()
                elif search.pending_balancers:
                    search.pending_balancers.clear()
                    actions += self._finish_not_found(key, search)
                    continue
                elif search.is_paused:
                    step = search.resume(
                        *self._list_servers_to_query(search.held_packets[0])
                    )
                else:
                    step = search.handle_timeout()
                actions += self._apply_step(key, search, step)
        while self.not_found:
            key, since_ms = next(iter(self.not_found.items()))
            if now_ms - since_ms < NOT_FOUND_RETENTION_MS:
                break
            del self.not_found[key]
        return actions

    def _list_servers_to_query(
        self, packet: Packet
    ) -> tuple[list[BackendServer], list[BackendServer]]:
        """Return the servers of the route's services, and other servers to query.

        The other servers are those of services that the route had before and, unless
        they are too many, those of unrelated services.
        """
        address = extract_service_endpoint(packet.flow)
        configuration = self.view.configuration
        route = configuration.routes.get(address) if configuration else None
        services = {share.service for share in route.shares} if route else set()
        former_services = self.view.list_current_and_former_services(address) - services
        route_servers = self.view.list_possible_holders(services)
        other_servers = self.view.list_possible_holders(former_services)
        unrelated_servers = self.view.list_possible_holders(
            self.view.list_services() - services - former_services
        )
        if len(unrelated_servers) <= UNRELATED_SERVERS_LIMIT:
            other_servers += unrelated_servers
        return route_servers, other_servers

    def _apply_step(
        self, key: FlowKey, search: FlowSearch, step: SearchStep
    ) -> list[Action]:
        if step.holder is not None:
            return self._finish_found(key, search, step.holder)
        if step.agents_to_query and not self.question_budget.try_spend(
            len(step.agents_to_query) * QUESTION_BYTES
        ):
            return self._defer(key, search)
        actions: list[Action] = [
            SendMessage(ip, FlowQuestion(key, search.held_packets[0].acknowledged))
            for ip in step.agents_to_query
        ]
        for ip in step.trial_agents:
            service = search.services[ip]
            actions += [
                forward_to_agent(ip, service, packet) for packet in search.held_packets
            ]
        if step.is_exhausted:
            actions += self._finish_not_found(key, search)
        return actions

    def _defer(self, key: FlowKey, search: FlowSearch) -> list[Action]:
        """Pause a search whose questions exceed the bandwidth limit, or end it."""
        self.counters["searches_put_off"] += 1
        if not search.has_time_left():
            return self._finish_not_found(key, search)
        search.pause()
        return []

    def _finish_not_found(self, key: FlowKey, search: FlowSearch) -> list[Action]:
        """Pause or end a search without a result; reset the flow if it cannot exist.

        The flow certainly does not exist if every agent that could hold it has ruled it
        out; the silence of an agent that stopped after its backend server rules the
        flow out as well. If another agent is silent or uncertain, the flow is not
        reset: its caller retransmits, which starts another search. Only agents of
        services that the route has or had before count. Agents of unrelated services
        are queried as well, because this balancer may have started after a change of
        the route, but the reset does not depend on their verdicts.
        """
        packet = search.held_packets[0]
        services = self.view.list_current_and_former_services(
            extract_service_endpoint(packet.flow)
        )
        silent = search.list_silent(services)
        silent -= self.view.remove_former(
            [ip for ip in silent if not self.selector.has_recent_message(ip)]
        )
        silent -= self._list_ended(services)
        uncertain = search.list_uncertain(services)
        is_dead = not silent and not uncertain and self.view.is_settled()
        has_peers = len(self.directory.balancers) > 1
        if is_dead and has_peers and not search.has_asked_balancers:
            return self._ask_balancers(key, search)
        if not is_dead and search.has_time_left():
            search.pause()
            return []
        del self[key]
        self.not_found[key] = self.clock.now_ms()
        if is_dead and packet.is_reset:
            return []
        self.counters["flows_reset" if is_dead else "searches_failed"] += 1
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

    def _list_ended(self, services: Collection[str]) -> set[str]:
        """Return the agents that stopped after their backend server had ended."""
        holders = self.view.list_possible_holders(services)
        ended = {s.address.ip for s in holders if self.selector.has_ended(s)}
        return ended - {s.address.ip for s in holders if not self.selector.has_ended(s)}

    def _finish_found(
        self, key: FlowKey, search: FlowSearch, holder: str
    ) -> list[Action]:
        del self[key]
        now_ms = self.clock.now_ms()
        service = search.services[holder]
        flow = KnownFlow(holder, service, now_ms)
        flow.acknowledged = search.held_packets[-1].acknowledged
        self.flows.store(key, flow)
        if search.verdicts:
            self.directory.request_registration(key)
        self.counters["searches_succeeded"] += 1
        found = record(
            "flow_found",
            search.held_packets[0],
            agent=holder,
            asked=len(search.verdicts),
            searched_ms=now_ms - search.started_ms,
        )
        measure = Measure("search_ms", now_ms - search.started_ms)
        # The agent already has the packets that were forwarded to it in a trial.
        missing = search.held_packets[search.trial_packet_counts.get(holder, 0) :]
        forwards = [forward_to_agent(holder, service, packet) for packet in missing]
        return [*forwards, found, measure]
