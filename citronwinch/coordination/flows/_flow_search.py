"""Finds the agent that holds a flow which a balancer does not know."""

from collections.abc import Collection, Sequence
from typing import NamedTuple

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._deployment import BackendServer
from citronwinch.coordination.flows._messages import Verdict
from citronwinch.coordination.flows._packets import Packet

LOCAL_ANSWER_TIMEOUT_MS = 15
"""How long agents of the own zone may take to answer, in milliseconds; many times the
round trip within a zone."""

REMOTE_ANSWER_TIMEOUT_MS = 60
"""How long agents of other zones may take to answer, in milliseconds; several round
trips between zones."""

RETRY_PAUSE_MS = 120
"""How long a search waits before it asks those again that did not know or answer, in
milliseconds; callers send again only after 200 to 1,600 ms."""

SEARCH_TIMEOUT_MS = 2_000
"""How long a search goes on, in milliseconds; longer than an agent takes to restart."""

HELD_PACKETS_LIMIT = 16
"""The most packets of one flow that wait for its location; the most that a caller has
in flight."""


class SearchStep(NamedTuple):
    """What to do next in a search."""

    agents_to_query: tuple[str, ...] = ()
    """The agents to be asked."""

    agents_to_try: tuple[str, ...] = ()
    """The agents that get the held packets so that they find out."""

    holder: str | None = None
    """The agent that holds the flow."""

    is_exhausted: bool = False
    """Whether nobody is left who might hold it."""


class SearchRound(NamedTuple):
    """The agents that are asked together."""

    agents: tuple[str, ...]
    """The agents."""

    answer_timeout_ms: int
    """How long they may take, in milliseconds."""

    allows_trial: bool
    """Whether those that do not know get the packets."""


class FlowSearch:
    """The search for one flow: the own zone first, then the others.

    In each round agents are asked, and those that do not know yet get the packets. A
    backend server gives back what it does not hold, so that a wrong trial costs a few
    packets and harms nothing. In a last round the agents of other services are asked,
    because an earlier configuration may have sent the flow to one of them; no packet
    is tried there.
    """

    def __init__(
        self,
        zone: str,
        route_servers: Sequence[BackendServer],
        other_servers: Sequence[BackendServer],
        clock: Clock,
    ) -> None:
        self.clock = clock
        self.started_ms = clock.now_ms()
        self.deadline_ms = self.started_ms
        self.zone = zone
        self.services: dict[str, str] = {}
        self.rounds: list[SearchRound] = []
        self._plan_rounds(route_servers, other_servers)
        self.is_paused = False
        self.round = SearchRound((), 0, allows_trial=False)
        self.round_agents: list[str] = []
        self.is_trial = False
        self.verdicts: dict[str, Verdict | None] = {}
        self.trial_packet_counts: dict[str, int] = {}
        """How many of the held packets an agent has got in this round's trial."""
        self.held_packets: list[Packet] = []

    def _plan_rounds(
        self,
        route_servers: Sequence[BackendServer],
        other_servers: Sequence[BackendServer],
    ) -> None:
        self.services |= {
            server.address.ip: server.service
            for server in (*other_servers, *route_servers)
        }
        local = [
            s.address.ip for s in route_servers if s.availability_zone == self.zone
        ]
        remote = [
            s.address.ip for s in route_servers if s.availability_zone != self.zone
        ]
        self.rounds = [
            SearchRound(tuple(local), LOCAL_ANSWER_TIMEOUT_MS, allows_trial=True),
            SearchRound(tuple(remote), REMOTE_ANSWER_TIMEOUT_MS, allows_trial=True),
            SearchRound(
                tuple(s.address.ip for s in other_servers),
                REMOTE_ANSWER_TIMEOUT_MS,
                allows_trial=False,
            ),
        ]

    def hold_packet(self, packet: Packet) -> None:
        """Keep a packet until the flow is found."""
        if len(self.held_packets) < HELD_PACKETS_LIMIT:
            self.held_packets.append(packet)

    def start(self) -> SearchStep:
        """Begin with the first round."""
        return self._start_next_round()

    def handle_verdict(self, agent: str, verdict: Verdict) -> SearchStep:
        """Take an agent's verdict."""
        if verdict in (Verdict.HELD, Verdict.OPENING) and agent in self.services:
            return SearchStep(holder=agent)
        self.verdicts[agent] = verdict
        if self.is_paused:
            return SearchStep(is_exhausted=not self.list_unresolved())
        return self._continue_round()

    def has_time_left(self) -> bool:
        """Return whether there is time to ask again."""
        return self.clock.now_ms() - self.started_ms < SEARCH_TIMEOUT_MS

    def pause(self) -> None:
        """Wait, and then ask those again that have not ruled the flow out."""
        self.is_paused = True
        self.round_agents = []
        # An agent that has not confirmed a trial by now may never have got it.
        self.trial_packet_counts.clear()
        self.deadline_ms = self.clock.now_ms() + RETRY_PAUSE_MS

    def resume(
        self,
        route_servers: Sequence[BackendServer],
        other_servers: Sequence[BackendServer],
    ) -> SearchStep:
        """Ask again after a pause, also servers that have been listed meanwhile."""
        self.is_paused = False
        self._plan_rounds(route_servers, other_servers)
        return self._start_next_round()

    def list_unresolved(self) -> list[str]:
        """Return the agents that have not ruled the flow out."""
        return [
            ip
            for ip, received in self.verdicts.items()
            if received is not Verdict.ABSENT
        ]

    def handle_timeout(self) -> SearchStep:
        """Go on without those that have not answered."""
        if not self.is_trial:
            uncertain = self._list_trial_agents()
            if uncertain:
                return self._start_trial(uncertain)
        return self._start_next_round()

    def list_by_verdict(self, verdict: Verdict) -> list[str]:
        """Return the agents that gave a verdict."""
        return [ip for ip, received in self.verdicts.items() if received is verdict]

    def list_silent(self, services: Collection[str]) -> set[str]:
        """Return the agents of some services that did not answer."""
        return self._list_agents(None, services)

    def list_uncertain(self, services: Collection[str]) -> set[str]:
        """Return the agents of some services that cannot know."""
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
        if not self.round_agents:
            return SearchStep()
        pending_verdicts = (None, Verdict.UNCERTAIN) if self.is_trial else (None,)
        if any(self.verdicts[ip] in pending_verdicts for ip in self.round_agents):
            return SearchStep()
        uncertain = self._list_trial_agents()
        return self._start_trial(uncertain) if uncertain else self._start_next_round()

    def _list_trial_agents(self) -> list[str]:
        if not self.round.allows_trial:
            return []
        return [
            ip for ip in self.round_agents if self.verdicts[ip] is Verdict.UNCERTAIN
        ]

    def _start_trial(self, agents: list[str]) -> SearchStep:
        self.is_trial = True
        self.trial_packet_counts |= dict.fromkeys(agents, len(self.held_packets))
        self._set_deadline()
        return SearchStep(agents_to_try=tuple(agents))

    def _start_next_round(self) -> SearchStep:
        self.is_trial = False
        while self.rounds:
            self.round = self.rounds.pop(0)
            self.round_agents = [
                ip
                for ip in self.round.agents
                if self.verdicts.get(ip) is not Verdict.ABSENT
            ]
            if self.round_agents:
                self.verdicts |= dict.fromkeys(self.round_agents)
                self._set_deadline()
                return SearchStep(agents_to_query=tuple(self.round_agents))
        return SearchStep(is_exhausted=True)

    def _set_deadline(self) -> None:
        self.deadline_ms = self.clock.now_ms() + self.round.answer_timeout_ms
