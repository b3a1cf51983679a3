"""Places openings at agents, or refuses them, once that is decided."""

from collections import Counter
from collections.abc import Collection

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._actions import Action, ResetFlow, record
from citronwinch.coordination.flows._attempt_ages import AttemptAges
from citronwinch.coordination.flows._caller_shares import extract_caller
from citronwinch.coordination.flows._chosen_server import ChosenServer
from citronwinch.coordination.flows._deployment import (
    BackendServer,
    Route,
    order_services,
)
from citronwinch.coordination.flows._held_openings import HeldOpenings
from citronwinch.coordination.flows._known_flows import (
    LAST_CHOICE_ATTEMPT,
    KnownFlow,
    KnownFlows,
    count_attempts,
    forward_opening,
)
from citronwinch.coordination.flows._opening_times import OpeningTimes
from citronwinch.coordination.flows._packets import Packet
from citronwinch.coordination.flows._server_scoring import find_median_service_ms
from citronwinch.coordination.flows._server_selector import ServerSelector
from citronwinch.coordination.flows._upload_admission import UploadAdmission
from citronwinch.coordination.flows._view import DeploymentView


class OpeningPlacement:
    """Chooses servers for openings and records what becomes of each opening."""

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

    def choose_server(
        self, packet: Packet, route: Route, tried_agents: Collection[str] = ()
    ) -> ChosenServer | None:
        """Return the best server of a route, None if all agents have been tried."""
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

    def estimate_capacity_per_s(self, services: Collection[str]) -> float:
        """Return the requests per second that the servers of services can process."""
        servers = [
            server for service in services for server in self.view.list_ready(service)
        ]
        reported_ms = [self._read_service_ms(server) for server in servers]
        median_ms = find_median_service_ms(reported_ms)
        return sum(
            1_000 * server.slots / (service_ms or median_ms)
            for server, service_ms in zip(servers, reported_ms, strict=True)
        )

    def _read_service_ms(self, server: BackendServer) -> int:
        """Return the service time that a server's agent reported; 0 if unknown."""
        agent = self.selector.agents.get(server.address.ip)
        if agent is None or agent.report is None:
            return 0
        return agent.report.service_ms

    def forward(
        self,
        packet: Packet,
        route: Route,
        times: OpeningTimes,
        chosen: ChosenServer,
        tried_agents: set[str],
    ) -> list[Action]:
        """Forward an opening to the agent of the chosen server."""
        flow = self._store_flow(packet, route, times, chosen, tried_agents)
        self._count_placed(packet, chosen, flow)
        now_ms = self.clock.now_ms()
        placed = record(
            "opening_placed",
            packet,
            service=flow.service,
            server=chosen.server.name,
            agent=flow.agent,
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

    def _store_flow(
        self,
        packet: Packet,
        route: Route,
        times: OpeningTimes,
        chosen: ChosenServer,
        tried_agents: set[str],
    ) -> KnownFlow:
        now_ms = self.clock.now_ms()
        flow = KnownFlow(chosen.server.address.ip, chosen.server.service, now_ms)
        flow.times, flow.tried_agents = times, tried_agents
        flow.opening_sequence = packet.sequence
        flow.unconfirmed_since_ms = now_ms
        flow.has_large_request = route.has_large_requests
        previous = self.flows.get(packet.flow)
        flow.attempts += count_attempts(previous)
        flow.may_be_accepted = (
            previous is not None
            and previous.unconfirmed_since_ms is not None
            and previous.may_be_accepted
        )
        # With a single candidate left, a returned opening would have to be refused.
        flow.is_last_choice = (
            flow.attempts >= LAST_CHOICE_ATTEMPT or chosen.candidates == 1
        )
        self.flows.store(packet.flow, flow)
        return flow

    def _count_placed(
        self, packet: Packet, chosen: ChosenServer, flow: KnownFlow
    ) -> None:
        has_waited = packet.flow in self.held_openings.openings
        self.held_openings.remove(packet.flow)
        self.selector.record_placed_flow(chosen.server)
        self.counters["openings_placed"] += 1
        if flow.has_large_request:
            self.uploads.record_opening(packet.flow)
        if flow.attempts == 1 or has_waited:
            self.held_openings.rates.record_placed(flow.service)
        if flow.attempts == 1:
            caller = extract_caller(packet.flow)
            self.held_openings.shares.charge(caller, chosen.service_ms)

    def refuse(
        self,
        packet: Packet,
        route: Route,
        times: OpeningTimes,
        tried_agents: Collection[str],
        reason: str,
        **details: object,
    ) -> list[Action]:
        """Reset an opening that this balancer does not place."""
        self.attempt_ages.record_ended(packet.flow, times.first_ms)
        self.held_openings.remove(packet.flow)
        self.flows.pop(packet.flow, None)
        self.uploads.remove(packet.flow)
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
            **details,
        )
        return [ResetFlow(packet), refusal]
