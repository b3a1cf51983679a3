"""The policies of the balance benchmark: that of the agents and three baselines."""

import random
from collections.abc import Sequence
from functools import partial

from citronwinch.benches._balance_world import SERVICE, World
from citronwinch.benches._fakes import LinkFaults
from citronwinch.coordination import Table, TableRow
from citronwinch.coordination.load import AgentLoad, LoadReport, Outcome, ReportOrigin

TICK_MS = 100
"""The interval between two ticks of each agent, in milliseconds."""

REPORT_LOSS = 0.01
"""The share of load reports that the links lose."""


class LoadAwarePolicy:
    """The policy of the agents, which exchange load reports over lossy links."""

    def __init__(self) -> None:
        self.agents: dict[str, AgentLoad] = {}
        self.sequence = 0
        self.revision = 0

    def attach(self, world: World) -> None:
        """Use the world's clock and links; start the ticks of the agents."""
        self.world = world
        self.world.queue.call_every(TICK_MS, self.tick)

    def change_rows(self, rows: Sequence[TableRow]) -> None:
        """Create the agents of new servers; all agents of the rows accept the table."""
        self.revision += 1
        table = Table(self.revision, rows)
        for row in rows:
            name = row.backend_server
            if name not in self.agents:
                clock = self.world.queue.clock
                self.agents[name] = AgentLoad(name, row.availability_zone, clock)
            self.agents[name].accept_table(table)

    def choose_server(self, home: str, candidates: Sequence[TableRow]) -> str | None:
        """Return the choice of the home's agent."""
        own_flows = self.world.models[home].flows
        return self.agents[home].choose_owner(SERVICE, candidates, own_flows)

    def tick(self) -> None:
        """Run a tick of each agent and send the load reports that it returns."""
        for name, agent in self.agents.items():
            for receiver, report in agent.tick(self.world.models[name].flows):
                self.send(name, receiver, report)

    def send(self, sender: str, receiver: str, report: LoadReport) -> None:
        """Send a load report to another agent over the link between their servers."""
        self.sequence += 1
        origin = ReportOrigin(sender, 1, self.sequence)
        faults: LinkFaults = self.world.find_link_faults(sender, receiver)
        agent = self.agents[receiver]
        self.world.link.carry(
            faults._replace(loss=REPORT_LOSS),
            partial(deliver_report, agent, origin, report),
        )

    def observe_delivery(self, server: str, request_id: bytes) -> None:
        """Record the delivery of a request at the server's agent."""
        if server in self.agents:
            self.agents[server].record_delivery(request_id)

    def observe_answer(self, server: str, request_id: bytes) -> None:
        """Record the answer to a request at the server's agent."""
        if server in self.agents:
            self.agents[server].record_end(request_id, Outcome.ANSWERED)


def deliver_report(agent: AgentLoad, origin: ReportOrigin, report: LoadReport) -> None:
    """Deliver a load report to an agent."""
    agent.accept_report(origin, report)


class BaselinePolicy:
    """The base of all baselines: it ignores deliveries and answers."""

    def attach(self, world: World) -> None:
        """Store the world."""
        self.world = world

    def change_rows(self, rows: Sequence[TableRow]) -> None:
        """Do nothing: `choose_server` receives the rows as its candidates."""

    def observe_delivery(self, server: str, request_id: bytes) -> None:
        """Do nothing."""

    def observe_answer(self, server: str, request_id: bytes) -> None:
        """Do nothing."""


class RandomPolicy(BaselinePolicy):
    """Chooses a random candidate with a probability proportional to its weight."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(f"random-{seed}")

    def choose_server(self, home: str, candidates: Sequence[TableRow]) -> str | None:
        """Return a random candidate, chosen by weight."""
        weights = [row.weight for row in candidates]
        return self.rng.choices(candidates, weights)[0].backend_server


class RendezvousPolicy(BaselinePolicy):
    """Chooses the first candidate, as plain weighted rendezvous hashing does."""

    def choose_server(self, home: str, candidates: Sequence[TableRow]) -> str | None:
        """Return the first candidate."""
        return candidates[0].backend_server


class LeastConnectionsPolicy(BaselinePolicy):
    """Chooses the candidate whose load endpoint reports the least load per weight."""

    def choose_server(self, home: str, candidates: Sequence[TableRow]) -> str | None:
        """Return the candidate with the least reported load per weight."""
        least = min(
            candidates, key=lambda row: self.read_endpoint_load(row) / row.weight
        )
        return least.backend_server

    def read_endpoint_load(self, row: TableRow) -> int:
        """Return the load that a server's endpoint reports, delayed by the lag."""
        history = self.world.models[row.backend_server].endpoint_loads
        index = -1 - self.world.scenario.endpoint_lag_ms // 1_000
        return history[index] if -index <= len(history) else 0
