"""The search for the agent whose backend server holds a flow.

A balancer searches for a flow that it does not know.
"""

from collections.abc import Callable, Collection, Sequence
from typing import NamedTuple

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._messages import Verdict
from citronwinch.coordination.flows._packets import Packet
from citronwinch.coordination.flows._search_rounds import (
    LOCAL_ANSWER_TIMEOUT_MS,
    REMOTE_ANSWER_TIMEOUT_MS,
    SearchedServers,
    SearchRound,
    plan_rounds,
)
from citronwinch.coordination.flows._trial_records import (
    LIMITED_TRIAL_PACKETS,
    choose_limited_agents,
)

LISTING_CHECK_INTERVAL_MS = 10
"""How often a search that needs a newer listing checks for it, in milliseconds."""

RETRY_PAUSE_MS = 120
"""How long a search waits before it queries uncertain and silent agents again, in
milliseconds; callers retransmit only after 200 to 1,600 ms."""

SEARCH_TIMEOUT_MS = 2_000
"""How long a search may take, in milliseconds; longer than the restart of an agent."""

START_TIMEOUT_MS = 1_000
"""How long a search without room for its first question goes on, in milliseconds. One
that began later would end before its last answer, and its questions would be wasted."""

HELD_PACKETS_LIMIT = 16
"""The most packets of one flow that are held during its search; the most that a caller
has in flight."""


class SearchStep(NamedTuple):
    """The next step of a search; empty while answers are pending."""

    agents_to_query: tuple[str, ...] = ()
    """The agents that get a question."""

    silent_agents: frozenset[str] = frozenset()
    """Those of them that have left an earlier question of this search unanswered."""

    trial_agents: tuple[str, ...] = ()
    """The uncertain agents that get the held packets as a trial."""

    holder: str | None = None
    """The agent whose backend server holds the flow, None until it is found."""

    is_exhausted: bool = False
    """Whether no agent is left to query."""


class FlowSearch:
    """The search for one flow, in rounds: own zone, other zones, other services.

    Each round queries its agents. Agents that are uncertain then get the held packets
    as a trial: a backend server bounces packets of flows that it does not hold. Trials
    begin when every agent that may hold the flow has answered, so that the holder gets
    the packets as well. If one of them stays silent, a trial is limited to a few
    packets in all: the silent agent may be the holder's. The last round queries agents
    of other services, because an earlier configuration may have sent the flow there.
    Trials go to agents of services that the route has or had, and to no others.

    A search in a single step has one round with the agents of all three: a flow that is
    presumed dead needs the verdicts of all of them.
    """

    def __init__(
        self,
        zone: str,
        servers: SearchedServers,
        clock: Clock,
        *,
        is_single_step: bool = False,
    ) -> None:
        self.clock = clock
        self.is_single_step = is_single_step
        self.started_ms = clock.now_ms()
        self.deadline_ms = self.started_ms
        self.zone = zone
        self.local_agents: set[str] = set()
        """The agents of the own zone."""
        self.expendable_agents: frozenset[str] = frozenset()
        """The agents whose verdict no round waits for: they have been silent for some
        time, and a reset does not depend on them."""
        self.unsent_agents: set[str] = set()
        """The queried agents whose question has not been sent yet."""
        self.asked_agents: set[str] = set()
        """The agents to which a question has been sent."""
        self.is_put_off = False
        """Whether the link had no room for its questions at some time."""
        self.services: dict[str, str] = {}
        """The service of each agent's backend server, by the agent's address."""
        self.limited_candidates: list[str] = []
        """The agents from which those of a limited trial are chosen."""
        self.trial_agents: frozenset[str] = frozenset()
        """The agents that get the held packets as a trial if they are uncertain."""
        self.rounds: list[SearchRound] = []
        self.untried_groups: list[tuple[str, ...]] = []
        """The queried agents that no trial has reached yet, by round."""
        self.trial_group: tuple[str, ...] = ()
        """The agents of the round of the latest trial."""
        self.list_possible_holders: Callable[[], frozenset[str]] = frozenset
        """Returns the agents whose answers a trial without a limit needs."""
        self.answered_agents: set[str] = set()
        """The agents that have answered since the search began or was resumed."""
        self.trial_room = LIMITED_TRIAL_PACKETS
        """How many packets a trial may send before all possible holders answered."""
        self.searched = servers
        """The servers that the search asks for now."""
        self._plan_rounds()
        self.is_paused = False
        self.keeper = ""
        """The keeper whose answer the search awaits before its first round, if any."""
        self.pending_balancers: set[str] = set()
        """The balancers of the zone whose answers the search awaits before it ends."""
        self.asked_balancers: frozenset[str] = frozenset()
        """The balancers of the zone whose answers the search has awaited."""
        self.unanswered_balancers: set[str] = set()
        """The balancers of the zone that did not answer in time, or whose answers prove
        nothing because they have started lately."""
        self.may_lack_balancers = False
        """Whether balancers that the search could not ask may know the flow."""
        self.silent_balancers: frozenset[str] = frozenset()
        """The balancers that had left an earlier lookup unanswered when asked."""
        self.has_asked_balancers = False
        self.balancers_deadline_ms = self.started_ms
        """Until when the balancers may answer."""
        self.is_awaiting_listing = False
        """Whether only a newer listing is awaited."""
        self.is_awaiting_balancers = False
        """Whether all agents have ruled the flow out; only balancers, or a newer
        listing, are awaited."""
        self.round = SearchRound((), 0)
        self.round_agents: list[str] = []
        self.awaited_agents: set[str] = set()
        """The agents that the round still waits for."""
        self.is_in_trial = False
        self.verdicts: dict[str, Verdict | None] = {}
        """The verdict of each queried agent, None until it answers."""
        self.trial_packet_counts: dict[str, int] = {}
        """The number of held packets that each agent has received in a trial."""
        self.held_packets: list[Packet] = []

    def _plan_rounds(self) -> None:
        servers = self.searched
        everyone = (*servers.unrelated, *servers.former, *servers.route)
        self.services |= {server.address.ip: server.service for server in everyone}
        self.local_agents = {
            s.address.ip for s in everyone if s.availability_zone == self.zone
        }
        self.trial_agents = frozenset(
            s.address.ip for s in (*servers.route, *servers.former)
        )
        # Balancers may know different former services, but have to choose alike.
        self.limited_candidates = [
            s.address.ip for s in servers.route or servers.former
        ]
        self.rounds = plan_rounds(
            servers, self.zone, is_single_step=self.is_single_step
        )

    def ask_first(self, agent: str) -> None:
        """Ask one agent alone before the first round."""
        timeout_ms = self.get_answer_timeout_ms(agent)
        self.rounds.insert(0, SearchRound((agent,), timeout_ms))

    def hold_packet(self, packet: Packet) -> None:
        """Hold a packet until the flow is found; drop copies, and others at the limit.

        The backend server ignores copies, but each would be part of every trial.
        """
        if len(self.held_packets) >= HELD_PACKETS_LIMIT:
            return
        if all(held.raw != packet.raw for held in self.held_packets):
            self.held_packets.append(packet)

    def await_keeper(self, keeper: str) -> None:
        """Wait for the answer of the flow's keeper before the first round."""
        self.keeper = keeper
        self.deadline_ms = self.clock.now_ms() + LOCAL_ANSWER_TIMEOUT_MS

    def ask_balancers(self, balancers: Collection[str], silent: frozenset[str]) -> None:
        """Expect answers of the zone's balancers, some of which have been silent."""
        self.pending_balancers = set(balancers)
        self.asked_balancers = frozenset(balancers)
        self.unanswered_balancers.clear()
        self.silent_balancers = silent
        self.has_asked_balancers = True
        self.balancers_deadline_ms = self.clock.now_ms() + LOCAL_ANSWER_TIMEOUT_MS

    def await_balancers(self) -> None:
        """Wait for the answers of the zone's balancers before the search ends."""
        self.is_awaiting_balancers = True
        self.deadline_ms = self.balancers_deadline_ms

    def await_listing(self) -> None:
        """Wait for the next listing before the search ends."""
        self.is_awaiting_balancers = self.is_awaiting_listing = True
        self.deadline_ms = self.clock.now_ms() + LISTING_CHECK_INTERVAL_MS

    def get_answer_timeout_ms(self, agent: str) -> int:
        """Return how long an agent may take to answer, in milliseconds."""
        if agent in self.local_agents:
            return LOCAL_ANSWER_TIMEOUT_MS
        return REMOTE_ANSWER_TIMEOUT_MS

    def record_sent(self, agent: str) -> None:
        """Record that the question to an agent was sent; with the last, time begins."""
        self.unsent_agents.discard(agent)
        self.asked_agents.add(agent)
        has_sent_all = not self.unsent_agents
        if has_sent_all and self.round_agents and not self.is_awaiting_balancers:
            self._set_deadline(self.round.answer_timeout_ms)

    def start(self) -> SearchStep:
        """Start the first round."""
        self.keeper = ""
        return self._start_next_round()

    def handle_verdict(self, agent: str, verdict: Verdict) -> SearchStep:
        """Apply an agent's verdict and return the next step."""
        if verdict is Verdict.HELD and agent in self.services:
            return SearchStep(holder=agent)
        self.verdicts[agent] = verdict
        self.answered_agents.add(agent)
        if not self.is_in_trial or verdict is not Verdict.UNCERTAIN:
            self.awaited_agents.discard(agent)
        if self.keeper or self.is_awaiting_balancers:
            return SearchStep()
        if self.is_paused:
            return SearchStep(is_exhausted=not self.list_unresolved())
        return self._continue_round()

    def has_time_left(self) -> bool:
        """Return whether there is time to query agents again."""
        has_begun = bool(self.asked_agents) or not self.is_put_off
        timeout_ms = SEARCH_TIMEOUT_MS if has_begun else START_TIMEOUT_MS
        return self.clock.now_ms() - self.started_ms < timeout_ms

    def pause(self) -> None:
        """Wait before querying the agents again that have not ruled the flow out."""
        self.is_paused = True
        self.is_awaiting_balancers = False
        self.round_agents = []
        self.unsent_agents.clear()
        # The packets of a trial that the agent has not confirmed by now may be lost.
        self.trial_packet_counts.clear()
        self.deadline_ms = self.clock.now_ms() + RETRY_PAUSE_MS

    def resume(self, servers: SearchedServers) -> SearchStep:
        """Start the rounds again after a pause, with servers listed in the meantime.

        The balancers are asked again as well: the first answers may have been lost.
        """
        self.is_paused = self.has_asked_balancers = False
        self.untried_groups.clear()
        self.answered_agents.clear()
        self.pending_balancers = set()
        self.searched = servers
        self._plan_rounds()
        return self._start_next_round()

    def list_unresolved(self) -> list[str]:
        """Return the agents that have not ruled the flow out and may still do so."""
        return [
            ip
            for ip, received in self.verdicts.items()
            if received is not Verdict.ABSENT
            and (received is not None or ip not in self.expendable_agents)
        ]

    def list_unanswered(self) -> set[str]:
        """Return the possible holders that have neither answered nor denied the flow.

        An answer from before a pause does not count: its agent may have stopped since.
        """
        absent = self.list_by_verdict(Verdict.ABSENT)
        return set(self.list_possible_holders() - self.answered_agents).difference(
            absent
        )

    def handle_timeout(self) -> SearchStep:
        """Continue without the agents that have not answered in time."""
        return self._proceed()

    def list_by_verdict(self, verdict: Verdict) -> list[str]:
        """Return the agents whose latest verdict is the given one."""
        return [ip for ip, received in self.verdicts.items() if received is verdict]

    def list_silent(self, services: Collection[str]) -> set[str]:
        """Return the queried agents of `services` that have sent no answer."""
        return self._list_agents(None, services)

    def list_uncertain(self, services: Collection[str]) -> set[str]:
        """Return the agents of `services` that have sent an uncertain verdict."""
        return self._list_agents(Verdict.UNCERTAIN, services)

    def _list_agents(
        self, verdict: Verdict | None, services: Collection[str]
    ) -> set[str]:
        return {
            ip
            for ip, received in self.verdicts.items()
            if received is verdict and self.services.get(ip) in services
        }

    def _continue_round(self) -> SearchStep:
        if not self.round_agents or self.awaited_agents:
            return SearchStep()
        return self._proceed()

    def _proceed(self) -> SearchStep:
        """Start the next trial, or the next round while answers are missing."""
        self.is_in_trial = False
        groups = [self._list_uncertain(group) for group in self.untried_groups]
        is_limited = any(groups) and bool(self.list_unanswered())
        if is_limited and not (step := self._start_next_round()).is_exhausted:
            return step
        while groups:
            uncertain = groups.pop(0)
            self.trial_group = self.untried_groups.pop(0)
            if is_limited:
                uncertain = self._limit_trial(uncertain)
            if uncertain:
                return self._start_trial(uncertain, is_limited=is_limited)
        return self._start_next_round()

    def _limit_trial(self, agents: Sequence[str]) -> list[str]:
        flow = self.held_packets[0].flow
        allowed = choose_limited_agents(flow, self.limited_candidates)
        return [ip for ip in agents if ip in allowed][: self.trial_room]

    def _list_uncertain(self, agents: Sequence[str]) -> list[str]:
        return [ip for ip in agents if self.verdicts[ip] is Verdict.UNCERTAIN]

    def put_off_trial(self, agents: tuple[str, ...], wait_ms: int) -> None:
        """Return to the state before a trial, and try it again after some time."""
        self.is_in_trial = False
        # Answers that arrive meanwhile count as well.
        self.untried_groups.insert(0, self.trial_group)
        for ip in agents:
            del self.trial_packet_counts[ip]
        self.deadline_ms = self.clock.now_ms() + wait_ms

    def _start_trial(self, agents: list[str], *, is_limited: bool) -> SearchStep:
        self.is_in_trial = True
        self.awaited_agents.update(agents)
        packets = 1 if is_limited else len(self.held_packets)
        self.trial_packet_counts |= dict.fromkeys(agents, packets)
        self._set_deadline(max(map(self.get_answer_timeout_ms, agents)))
        return SearchStep(trial_agents=tuple(agents))

    def _start_next_round(self) -> SearchStep:
        self.is_in_trial = False
        while self.rounds:
            self.round = self.rounds.pop(0)
            self.round_agents = [
                ip
                for ip in self.round.agents
                if self.verdicts.get(ip) is not Verdict.ABSENT
            ]
            if self.round_agents:
                silent = frozenset(
                    ip
                    for ip in self.round_agents
                    if ip in self.asked_agents and self.verdicts.get(ip) is None
                )
                self.verdicts |= dict.fromkeys(self.round_agents)
                self.awaited_agents = set(self.round_agents) - self.expendable_agents
                self.untried_groups.append(
                    tuple(ip for ip in self.round_agents if ip in self.trial_agents)
                )
                self._set_deadline(self.round.answer_timeout_ms)
                return SearchStep(tuple(self.round_agents), silent_agents=silent)
        return SearchStep(is_exhausted=True)

    def _set_deadline(self, answer_timeout_ms: int) -> None:
        self.deadline_ms = self.clock.now_ms() + answer_timeout_ms
