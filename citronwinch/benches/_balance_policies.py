"""The policies of the balance benchmark: the real one and what it has to beat."""

import random
from collections.abc import Sequence
from functools import partial

from citronwinch.benches._balance_world import SERVICE, World
from citronwinch.benches._fakes import LinkFaults
from citronwinch.coordination import Table, TableRow
from citronwinch.coordination.load import AgentLoad, LoadReport, Outcome, ReportOrigin

TICK_MS = 100
"""How often each agent looks at the time, in milliseconds."""

REPORT_LOSS = 0.01
"""The share of reports that are lost."""


class LoadAwarePolicy:
    """The decisions of the agents, with their reports over lossy links."""

    def __init__(self) -> None:
        self.agents: dict[str, AgentLoad] = {}
        self.sequence = 0
        self.revision = 0

    def attach(self, world: World) -> None:
        """Take over the world's clock and links."""
        self.world = world
        self.world.queue.call_every(TICK_MS, self.tick)

    def change_rows(self, rows: Sequence[TableRow]) -> None:
        """Tell all agents of a new table; start the agents of new servers."""
        self.revision += 1
        table = Table(self.revision, rows)
        for row in rows:
            name = row.backend_server
            if name not in self.agents:
                clock = self.world.queue.clock
                self.agents[name] = AgentLoad(name, row.availability_zone, clock)
            self.agents[name].accept_table(table)

    def choose(self, home: str, candidates: Sequence[TableRow]) -> str | None:
        """Ask the agent of the first candidate."""
        own_flows = self.world.models[home].flows
        return self.agents[home].choose_owner(SERVICE, candidates, own_flows)

    def tick(self) -> None:
        """Let each agent judge its server and send its reports."""
        for name, agent in self.agents.items():
            for receiver, report in agent.tick(self.world.models[name].flows):
                self.send(name, receiver, report)

    def send(self, sender: str, receiver: str, report: LoadReport) -> None:
        """Carry a report to another agent."""
        self.sequence += 1
        origin = ReportOrigin(sender, 1, self.sequence)
        faults: LinkFaults = self.world.find_path(sender, receiver)
        agent = self.agents[receiver]
        self.world.link.carry(
            faults._replace(loss=REPORT_LOSS),
            partial(accept_report, agent, origin, report),
        )

    def note_delivery(self, server: str, request_id: bytes) -> None:
        """Let the agent notice a delivery."""
        if server in self.agents:
            self.agents[server].record_delivery(request_id)

    def note_answer(self, server: str, request_id: bytes) -> None:
        """Let the agent notice an answer."""
        if server in self.agents:
            self.agents[server].record_end(request_id, Outcome.ANSWERED)


def accept_report(agent: AgentLoad, origin: ReportOrigin, report: LoadReport) -> None:
    """Hand a report to an agent."""
    agent.accept_report(origin, report)


class BaselinePolicy:
    """What all baselines have in common: they learn nothing from requests."""

    def attach(self, world: World) -> None:
        """Keep the world."""
        self.world = world

    def change_rows(self, rows: Sequence[TableRow]) -> None:
        """Do nothing: the candidates say it."""

    def note_delivery(self, server: str, request_id: bytes) -> None:
        """Do nothing."""

    def note_answer(self, server: str, request_id: bytes) -> None:
        """Do nothing."""


class RandomPolicy(BaselinePolicy):
    """Chooses at random, by weight."""

    def __init__(self, seed: int) -> None:
        self.source = random.Random(f"random-{seed}")

    def choose(self, home: str, candidates: Sequence[TableRow]) -> str | None:
        """Return a random candidate."""
        weights = [row.weight for row in candidates]
        return self.source.choices(candidates, weights)[0].backend_server


class RendezvousPolicy(BaselinePolicy):
    """Chooses the first candidate, as plain weighted rendezvous hashing does."""

    def choose(self, home: str, candidates: Sequence[TableRow]) -> str | None:
        """Return the first candidate."""
        return candidates[0].backend_server


class LeastConnectionsPolicy(BaselinePolicy):
    """Chooses the least load that the endpoints tell, relative to weight."""

    def choose(self, home: str, candidates: Sequence[TableRow]) -> str | None:
        """Return the candidate with the least load at the endpoints."""
        least = min(candidates, key=lambda row: self.read(row) / row.weight)
        return least.backend_server

    def read(self, row: TableRow) -> int:
        """Return the load that the endpoint of a server tells now."""
        history = self.world.models[row.backend_server].endpoint_history
        index = -1 - self.world.scenario.endpoint_lag_ms // 1_000
        return history[index] if -index <= len(history) else 0
