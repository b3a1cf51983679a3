"""Finds the agent that holds a flow which a balancer does not know."""

from collections.abc import Collection, Sequence
from typing import NamedTuple

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._deployment import BackendServer
from citronwinch.coordination.flows._messages import Verdict
from citronwinch.coordination.flows._packets import Packet

LOCAL_ANSWER_MS = 15
"""How long agents of the own zone may take to answer, in milliseconds; many times the
round trip within a zone."""

REMOTE_ANSWER_MS = 60
"""How long agents of other zones may take to answer, in milliseconds; several round
trips between zones."""

PAUSE_MS = 120
"""How long a search waits before it asks those again that did not know or answer, in
milliseconds; callers send again only after 200 to 1,600 ms."""

SEARCH_LIMIT_MS = 2_000
"""How long a search goes on, in milliseconds; longer than an agent takes to restart."""

HELD_LIMIT = 16
"""The most packets of one flow that wait for its location; the most that a caller has
in flight."""


class SearchStep(NamedTuple):
    """What to do next in a search."""

    ask: tuple[str, ...] = ()
    """The agents to be asked."""

    try_at: tuple[str, ...] = ()
    """The agents that get the held packets so that they find out."""

    holder: str | None = None
    """The agent that holds the flow."""

    is_over: bool = False
    """Whether nobody is left who might hold it."""


class SearchRound(NamedTuple):
    """The agents that are asked together."""

    agents: tuple[str, ...]
    """The agents."""

    answer_limit_ms: int
    """How long they may take, in milliseconds."""

    may_try: bool
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
        holders: Sequence[BackendServer],
        others: Sequence[BackendServer],
        clock: Clock,
    ) -> None:
        self.clock = clock
        self.started_ms = clock.now_ms()
        self.deadline_ms = self.started_ms
        self.zone = zone
        self.services: dict[str, str] = {}
        self.rounds: list[SearchRound] = []
        self._plan(holders, others)
        self.is_paused = False
        self.round = SearchRound((), 0, may_try=False)
        self.current: list[str] = []
        self.is_trying = False
        self.verdicts: dict[str, Verdict | None] = {}
        self.tried: dict[str, int] = {}
        """How many of the held packets an agent has got in this round's trial."""
        self.held: list[Packet] = []

    def _plan(
        self, holders: Sequence[BackendServer], others: Sequence[BackendServer]
    ) -> None:
        self.services |= {
            server.address.ip: server.service for server in (*others, *holders)
        }
        local = [s.address.ip for s in holders if s.availability_zone == self.zone]
        remote = [s.address.ip for s in holders if s.availability_zone != self.zone]
        self.rounds = [
            SearchRound(tuple(local), LOCAL_ANSWER_MS, may_try=True),
            SearchRound(tuple(remote), REMOTE_ANSWER_MS, may_try=True),
            SearchRound(
                tuple(s.address.ip for s in others), REMOTE_ANSWER_MS, may_try=False
            ),
        ]

    def hold(self, packet: Packet) -> None:
        """Keep a packet until the flow is found."""
        if len(self.held) < HELD_LIMIT:
            self.held.append(packet)

    def start(self) -> SearchStep:
        """Begin with the first round."""
        return self._next_round()

    def hear(self, agent: str, verdict: Verdict) -> SearchStep:
        """Take an agent's verdict."""
        if verdict in (Verdict.HELD, Verdict.OPENING) and agent in self.services:
            return SearchStep(holder=agent)
        self.verdicts[agent] = verdict
        if self.is_paused:
            return SearchStep(is_over=not self.list_open())
        return self._proceed()

    def can_go_on(self) -> bool:
        """Return whether there is time to ask again."""
        return self.clock.now_ms() - self.started_ms < SEARCH_LIMIT_MS

    def pause(self) -> None:
        """Wait, and then ask those again that have not ruled the flow out."""
        self.is_paused = True
        self.current = []
        # An agent that has not confirmed a trial by now may never have got it.
        self.tried.clear()
        self.deadline_ms = self.clock.now_ms() + PAUSE_MS

    def resume(
        self, holders: Sequence[BackendServer], others: Sequence[BackendServer]
    ) -> SearchStep:
        """Ask again after a pause, also servers that have been listed meanwhile."""
        self.is_paused = False
        self._plan(holders, others)
        return self._next_round()

    def list_open(self) -> list[str]:
        """Return the agents that have not ruled the flow out."""
        return [
            ip for ip, given in self.verdicts.items() if given is not Verdict.ABSENT
        ]

    def time_out(self) -> SearchStep:
        """Go on without those that have not answered."""
        if not self.is_trying:
            uncertain = self._list_to_try()
            if uncertain:
                return self._try(uncertain)
        return self._next_round()

    def list_by_verdict(self, verdict: Verdict) -> list[str]:
        """Return the agents that gave a verdict."""
        return [ip for ip, given in self.verdicts.items() if given is verdict]

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
            for ip, given in self.verdicts.items()
            if given is verdict and self.services.get(ip) in services
        }

    def _proceed(self) -> SearchStep:
        if not self.current:
            return SearchStep()
        waiting_for = (None, Verdict.UNCERTAIN) if self.is_trying else (None,)
        if any(self.verdicts[ip] in waiting_for for ip in self.current):
            return SearchStep()
        uncertain = self._list_to_try()
        return self._try(uncertain) if uncertain else self._next_round()

    def _list_to_try(self) -> list[str]:
        if not self.round.may_try:
            return []
        return [ip for ip in self.current if self.verdicts[ip] is Verdict.UNCERTAIN]

    def _try(self, agents: list[str]) -> SearchStep:
        self.is_trying = True
        self.tried |= dict.fromkeys(agents, len(self.held))
        self._wait()
        return SearchStep(try_at=tuple(agents))

    def _next_round(self) -> SearchStep:
        self.is_trying = False
        while self.rounds:
            self.round = self.rounds.pop(0)
            self.current = [
                ip
                for ip in self.round.agents
                if self.verdicts.get(ip) is not Verdict.ABSENT
            ]
            if self.current:
                self.verdicts |= dict.fromkeys(self.current)
                self._wait()
                return SearchStep(ask=tuple(self.current))
        return SearchStep(is_over=True)

    def _wait(self) -> None:
        self.deadline_ms = self.clock.now_ms() + self.round.answer_limit_ms
