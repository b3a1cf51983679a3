"""The running searches of a balancer for flows that it does not know."""

from collections import Counter, OrderedDict

from citronwinch.coordination._address import FlowKey, extract_service_endpoint
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._actions import (
    Action,
    Measure,
    ResetFlow,
    SendMessage,
    record,
)
from citronwinch.coordination.flows._attempt_ages import AttemptAges
from citronwinch.coordination.flows._balancer_lookups import BalancerLookups
from citronwinch.coordination.flows._flow_directory import MIN_AGENTS, FlowDirectory
from citronwinch.coordination.flows._flow_search import FlowSearch, SearchStep
from citronwinch.coordination.flows._known_flows import (
    KnownFlow,
    KnownFlows,
    forward_to_agent,
)
from citronwinch.coordination.flows._messages import (
    FlowAnswer,
    FlowLocation,
    FlowLookup,
    FlowQuestion,
    Verdict,
)
from citronwinch.coordination.flows._packets import Packet
from citronwinch.coordination.flows._question_batches import (
    QuestionBatches,
    list_questions,
)
from citronwinch.coordination.flows._search_evidence import gather_evidence
from citronwinch.coordination.flows._search_outcomes import SearchOutcomes
from citronwinch.coordination.flows._search_records import record_without_holder
from citronwinch.coordination.flows._search_rounds import SearchedServers
from citronwinch.coordination.flows._searched_servers import (
    list_restarting_agents,
    list_servers_to_query,
    list_silent_agents,
)
from citronwinch.coordination.flows._sequence_numbers import confirms_acceptance
from citronwinch.coordination.flows._server_selector import ServerSelector
from citronwinch.coordination.flows._trial_budget import (
    TRIAL_RETRY_MS,
    TrialBudget,
    compute_trial_bytes,
)
from citronwinch.coordination.flows._trial_records import TrialRecords
from citronwinch.coordination.flows._upload_admission import (
    UploadAdmission,
    is_upload_flow,
)
from citronwinch.coordination.flows._upload_pacing import UploadPacing
from citronwinch.coordination.flows._view import DeploymentView

NOT_FOUND_RETENTION_MS = 150
"""How long after an unsuccessful search a balancer starts no new search for the flow,
in milliseconds; shorter than a caller's retransmission interval."""

COLLECTED_QUESTIONS_WAIT_MS = 8
"""How long collected questions wait at most for the next check whether the budgets
allow them, in milliseconds; in a surge, answers and packets cause most checks."""

EXACT_DEADLINES_LIMIT = 16
"""Up to this many running searches are advanced exactly at their deadlines."""


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
        self.uploads = UploadAdmission(clock, link_mbps)
        self.pacing = UploadPacing(clock, link_mbps, flows, counters)
        """The uploads in progress; both are replaced by those of the balancer."""
        self.outcomes = SearchOutcomes()
        self.batches = QuestionBatches(clock, link_mbps, counters, self._is_wanted)
        self.trials = TrialBudget(clock, link_mbps)
        self.trial_records = TrialRecords(clock)
        self.started_ms = clock.now_ms()
        self.lookups = BalancerLookups(directory, clock, counters)

    def search(
        self, packet: Packet, absent_at: str = "", likely_at: str = ""
    ) -> list[Action]:
        """Hold a packet and search for its flow.

        `absent_at` is an agent that has already ruled the flow out, `likely_at` one
        that a location names, if any.
        """
        key = packet.flow
        search = self.get(key)
        if search is not None:
            search.hold_packet(packet)
            return []
        if key in self.not_found:
            return []
        servers = list_servers_to_query(self.view, key)
        search = FlowSearch(
            self.selector.zone,
            servers,
            self.clock,
            is_single_step=self.outcomes.presume_dead(),
        )
        search.expendable_agents = self._list_expendable(servers)
        self._plan_trials(key, search)
        search.hold_packet(packet)
        self[key] = search
        self.counters["searches"] += 1
        if absent_at:
            search.handle_verdict(absent_at, Verdict.ABSENT)
        if likely_at in search.services:
            search.ask_first(likely_at)
            return self._apply_step(key, search, search.start())
        if search.is_single_step:
            return self._start_single_step(key, search)
        if not absent_at and len(search.rounds[0].agents) > MIN_AGENTS:
            return self._look_up(key, search)
        return self._apply_step(key, search, search.start())

    def _start_single_step(self, key: FlowKey, search: FlowSearch) -> list[Action]:
        """Ask the agents and the balancers of the zone at the same time."""
        self.counters["searches_in_single_step"] += 1
        location = self.directory.find_location(key)
        if location is not None and location.agent not in search.verdicts:
            return self.handle_location(location)
        lookups = self.lookups.ask(key, search)
        return [*lookups, *self._apply_step(key, search, search.start())]

    def _look_up(self, key: FlowKey, search: FlowSearch) -> list[Action]:
        """Look a flow up in the directory of the zone before agents are asked."""
        keeper = self.directory.find_keeper(key)
        if keeper and keeper != self.directory.own_ip:
            search.await_keeper(keeper)
            return [SendMessage(keeper, FlowLookup(key))]
        location = self.directory.find_location(key) or FlowLocation(key, "", "")
        return self.handle_location(location)

    def handle_location(
        self, location: FlowLocation, sender: str = "", uptime_ms: int = 0
    ) -> list[Action]:
        """Apply an answer to a lookup: forward there, or continue the search.

        `uptime_ms` is how long the sender has run, 0 if unknown.
        """
        search = self[location.flow]
        if search.has_asked_balancers:
            started_ms = self.clock.now_ms() - uptime_ms
            if uptime_ms and (self.view.confirmed_ms or 0) < started_ms:
                search.unanswered_balancers.add(sender)
            return self._handle_last_lookup(search, location, sender)
        if search.services.get(location.agent) == location.service:
            self.counters["searches_by_directory"] += 1
            return self._finish_located(search, location)
        return self._apply_step(location.flow, search, search.start())

    def is_awaiting_location(self, key: FlowKey) -> bool:
        """Return whether an answer to a lookup counts for the search for a flow."""
        search = self.get(key)
        return search is not None and bool(search.keeper or search.has_asked_balancers)

    def _handle_last_lookup(
        self, search: FlowSearch, location: FlowLocation, sender: str
    ) -> list[Action]:
        key = location.flow
        search.pending_balancers.discard(sender)
        agent, service = location.agent, location.service
        is_open = bool(agent) and search.verdicts.get(agent) is not Verdict.ABSENT
        is_lost = agent not in search.services and self.view.former.is_lost(agent)
        # The service may be one that the route has got by a newer configuration.
        is_possible = search.services.get(agent, service) == service and not is_lost
        if is_open and is_possible:
            search.services[agent] = service
            return self._finish_located(search, location)
        if search.pending_balancers or not search.is_awaiting_balancers:
            return []
        return self._finish_not_found(key, search)

    def record_answer(self, key: FlowKey, agent: str) -> list[Action]:
        """Record that an agent has answered; send the questions that waited for it."""
        self.batches.record_answer(agent, key)
        return [*self._send_questions()]

    def handle_answer(self, answer: FlowAnswer, agent: str) -> list[Action]:
        """Apply an agent's answer to the search for a flow.

        A server that has accepted a copy of the flow's opening holds the flow only if
        the caller's packet acknowledges that acceptance.
        """
        verdict = answer.verdict
        if verdict is Verdict.OPENING:
            acknowledged = self[answer.flow].held_packets[0].acknowledged
            first_sequence = answer.server_first_sequence
            if first_sequence is None or not confirms_acceptance(
                acknowledged, first_sequence
            ):
                return []
            verdict = Verdict.HELD
        return self.handle_verdict(answer.flow, agent, verdict)

    def handle_verdict(
        self, key: FlowKey, agent: str, verdict: Verdict
    ) -> list[Action]:
        """Apply an agent's verdict to the search for a flow."""
        search = self[key]
        return self._apply_step(key, search, search.handle_verdict(agent, verdict))

    def tick(self) -> list[Action]:
        """Advance searches past their deadline; expire entries of flows not found."""
        self.batches.give_up_overdue()
        self.batches.expire()
        self.trial_records.expire()
        actions: list[Action] = [*self._send_questions()]
        now_ms = self.clock.now_ms()
        for key, search in list(self.items()):
            if now_ms >= search.deadline_ms:
                actions += self._advance(key, search)
        while self.not_found:
            key, since_ms = next(iter(self.not_found.items()))
            if now_ms - since_ms < NOT_FOUND_RETENTION_MS:
                break
            del self.not_found[key]
        return actions

    def compute_wait_ms(self, longest_ms: int) -> int:
        """Return the time until `tick` has something to do, in milliseconds.

        It is at most `longest_ms`. If many searches run, their exact deadlines do not
        count: they would follow each other closely, and each tick has its own costs.
        """
        if self.batches.has_collected():
            longest_ms = min(longest_ms, COLLECTED_QUESTIONS_WAIT_MS)
        if len(self) > EXACT_DEADLINES_LIMIT:
            return longest_ms
        now_ms = self.clock.now_ms()
        waits_ms = [search.deadline_ms - now_ms for search in self.values()]
        return min([longest_ms, *(wait for wait in waits_ms if wait > 0)])

    def _advance(self, key: FlowKey, search: FlowSearch) -> list[Action]:
        """Advance a search past its deadline."""
        if search.is_awaiting_listing and search.has_time_left():
            confirmed_ms = self.view.confirmed_ms or 0
            if confirmed_ms < search.started_ms:
                search.await_listing()
                return []
        if search.is_awaiting_balancers:
            search.is_awaiting_listing = False
            return self._finish_not_found(key, search)
        if search.keeper:
            self.directory.silent.add(search.keeper)
            self.counters["lookups_unanswered"] += 1
            step = search.start()
        elif search.is_paused:
            servers = list_servers_to_query(self.view, key)
            search.expendable_agents = self._list_expendable(servers)
            step = search.resume(servers)
        elif not search.unsent_agents:
            step = search.handle_timeout()
        elif search.has_time_left():
            return []
        else:
            return self._finish_not_found(key, search)
        return self._apply_step(key, search, step)

    def _list_expendable(self, servers: SearchedServers) -> frozenset[str]:
        # A reset does not depend on the agents of unrelated services.
        optional = [server.address.ip for server in servers.unrelated]
        return list_silent_agents(self.selector, self.batches, optional)

    def _plan_trials(self, key: FlowKey, search: FlowSearch) -> None:
        """State whose answers trials need, and how many packets are sent without."""

        def list_possible_holders() -> frozenset[str]:
            address = extract_service_endpoint(key)
            services = self.view.list_current_and_former_services(address)
            services |= {server.service for server in search.searched.former}
            return list_restarting_agents(
                self.view, self.selector, self.batches, services, self.started_ms
            )

        search.list_possible_holders = list_possible_holders
        search.trial_room = self.trial_records.count_room(key)

    def _apply_step(
        self, key: FlowKey, search: FlowSearch, step: SearchStep
    ) -> list[Action]:
        if not any(step):
            return []
        if step.holder is not None:
            return self._finish_found(key, search, step.holder)
        if step.agents_to_query and not self._spend_questions(search, step):
            return self._defer(key, search)
        question = FlowQuestion(key, search.held_packets[0].acknowledged)
        # An agent of an earlier version leaves batches unanswered, not questions.
        actions: list[Action] = [
            SendMessage(ip, question) for ip in sorted(step.silent_agents)
        ]
        batched = [ip for ip in step.agents_to_query if ip not in step.silent_agents]
        search.unsent_agents.update(batched)
        for ip in batched:
            self.batches.ask(ip, question, search.get_answer_timeout_ms(ip))
        actions += self._send_questions()
        if step.trial_agents:
            actions += self._send_trial(key, search, step.trial_agents)
        if step.is_exhausted:
            actions += self._finish_not_found(key, search)
        return actions

    def _send_trial(
        self, key: FlowKey, search: FlowSearch, agents: tuple[str, ...]
    ) -> list[Action]:
        """Send the held packets to uncertain agents, if the link has room for them."""
        packets = search.held_packets[: search.trial_packet_counts[agents[0]]]
        size_bytes = compute_trial_bytes(packets, len(agents))
        if not self.trials.try_spend(size_bytes):
            self.counters["trials_put_off"] += 1
            search.put_off_trial(agents, TRIAL_RETRY_MS)
            return [] if search.has_time_left() else self._finish_not_found(key, search)
        search.deadline_ms += self.trials.compute_transfer_ms(size_bytes)
        self.trial_records.record(key, len(agents) * len(packets))
        search.trial_room = self.trial_records.count_room(key)
        return [
            forward_to_agent(ip, search.services[ip], packet)
            for ip in agents
            for packet in packets
        ]

    def _spend_questions(self, search: FlowSearch, step: SearchStep) -> bool:
        """Take the bandwidth of a step's single questions, if the others have room.

        A search that has begun goes on: its end makes room for the next one.
        """
        may_ask = bool(search.asked_agents) or self.batches.has_room()
        return may_ask and self.batches.spend_single_questions(len(step.silent_agents))

    def _send_questions(self) -> list[SendMessage]:
        """Return the messages with the collected questions that are due."""
        messages = self.batches.send_due()
        for ip, message in messages:
            for question in list_questions(message):
                self[question.flow].record_sent(ip)
        return messages

    def _is_wanted(self, agent: str, key: FlowKey) -> bool:
        """Return whether a search still waits for its question to be sent."""
        search = self.get(key)
        return search is not None and agent in search.unsent_agents

    def _defer(self, key: FlowKey, search: FlowSearch) -> list[Action]:
        """Pause a search whose questions exceed the bandwidth limit, or end it."""
        self.counters["searches_put_off"] += 1
        search.is_put_off = True
        if not search.has_time_left():
            return self._finish_not_found(key, search)
        search.pause()
        return []

    def _finish_not_found(self, key: FlowKey, search: FlowSearch) -> list[Action]:
        """Pause or end a search without a result; reset the flow if it cannot exist.

        `gather_evidence` tells what proves that. Otherwise the flow is not reset: its
        caller retransmits, which starts another search.
        """
        self.lookups.give_up_overdue(search)
        packet = search.held_packets[0]
        services = self.view.list_possible_services(
            extract_service_endpoint(packet.flow)
        )
        evidence = gather_evidence(self.view, self.selector, search, services)
        is_dead = evidence.is_dead
        lookups: list[SendMessage] = []
        if is_dead and not search.has_asked_balancers:
            lookups = self.lookups.ask(key, search)
            evidence = gather_evidence(self.view, self.selector, search, services)
            is_dead = evidence.is_dead
        if search.pending_balancers and (is_dead or evidence.needs_newer_listing):
            search.await_balancers()
            return [*lookups]
        if evidence.needs_newer_listing and search.has_time_left():
            search.await_listing()
            return [*lookups]
        if not is_dead and search.has_time_left():
            search.pause()
            return []
        del self[key]
        self.not_found[key] = self.clock.now_ms()
        self.outcomes.record(is_dead=is_dead)
        if is_dead and packet.is_reset:
            return [*lookups]
        self.counters["flows_reset" if is_dead else "searches_failed"] += 1
        outcome = record_without_holder(
            self.view, search, evidence, services, self.batches
        )
        if not is_dead:
            return [*lookups, outcome]
        self.attempt_ages.record_ended(key, search.started_ms)
        self.uploads.remove(key)
        return [*lookups, ResetFlow(packet), outcome]

    def _finish_located(
        self, search: FlowSearch, location: FlowLocation
    ) -> list[Action]:
        actions = self._finish_found(location.flow, search, location.agent)
        known = self.flows[location.flow]
        known.located_ms, known.is_open = self.clock.now_ms(), False
        return actions

    def _finish_found(
        self, key: FlowKey, search: FlowSearch, holder: str
    ) -> list[Action]:
        del self[key]
        self.outcomes.record(is_dead=False)
        now_ms = self.clock.now_ms()
        service = search.services[holder]
        flow = KnownFlow(holder, service, now_ms)
        flow.record_packet(search.held_packets[-1])
        flow.is_open = True
        flow.has_large_request = is_upload_flow(self.view, key)
        if search.trial_packet_counts:
            flow.tried_packets = tuple(packet.raw for packet in search.held_packets)
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
        # The agent already has the packets that were forwarded to it in a trial.
        missing = search.held_packets[search.trial_packet_counts.get(holder, 0) :]
        forwards = [a for packet in missing for a in self.pacing.forward(flow, packet)]
        return [*forwards, found, Measure("search_ms", now_ms - search.started_ms)]
