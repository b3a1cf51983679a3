"""A group of agents that hand flows over as their processes do."""

from citronwinch.coordination.steering import Forward
from citronwinch.coordination.steering.tests.conftest import NAMES, Group

AWAY, HOLDER, OTHER = NAMES
PATH = "127.0.0.1 198.51.100.1:1"


def find_local_port(flow):
    return 2_000 + hash(flow) % 1_000


class HandoverGroup(Group):
    """Agents that are driven as by their processes when they stop and start.

    `cut` has the pairs of agents between which messages are lost.
    """

    def __init__(self, rows):
        self.stopping = set()
        self.cut = set()
        self.restored = {}
        super().__init__(rows)
        self.incarnation = 10_000_000_000

    def receive(self, sent):
        agent = self.agents.get(sent.receiver)
        if agent is None or frozenset((sent.sender, sent.receiver)) in self.cut:
            return
        is_packet = isinstance(sent.message, Forward)
        is_restoring = sent.receiver not in self.restored
        if is_packet and is_restoring and agent.may_restore(sent.message):
            return
        super().receive(sent)

    def tick(self, duration_ms=100, paused=frozenset()):
        super().tick(duration_ms, paused)
        for name, agent in self.agents.items():
            self.apply_actions(name, agent.advance_transfer(PATH, find_local_port))
            self.apply_actions(name, agent.query_flows())
            if agent.restoration.is_finished and name not in self.restored:
                self.restore(name, agent)
                agent.end_restoration()
            self.apply_actions(name, agent.void_transfers())

    def restore(self, name, agent):
        returned = agent.restoration.returned
        self.restored[name] = returned
        if returned is None or returned.service != agent.row.service:
            return
        for transferred in returned.flows:
            if agent.table.find_service(transferred.flow) == returned.service:
                agent.restore_flow(transferred, returned.service)

    def begin_stop(self, name):
        self.agents[name].begin_stop()
        self.stopping.add(name)

    def end(self, name):
        """End a process; return whether its flows were transferred."""
        agent = self.agents[name]
        is_committed = agent.has_transferred_all(find_local_port)
        self.apply_actions(name, agent.end_transfer(is_committed=is_committed))
        self.apply_actions(name, agent.depart())
        self.flush()
        self.kill(name)
        return is_committed

    def kill(self, name):
        del self.agents[name]
        self.restored.pop(name, None)
        self.stopping.discard(name)

    def stop(self, name):
        self.begin_stop(name)
        self.settle(500)
        return self.end(name)

    def open_flow(self, owner=AWAY, start=0):
        """Return a new flow that an agent owns and is the home of."""
        flow = self.find_flow(owner, start)
        self.deliver_packet(owner, flow)
        self.flush()
        assert self.owners(flow) == [owner]
        return flow

    def send_everywhere(self, flow):
        """Send a packet to each agent; return who delivered, and the refusals."""
        delivered, refused = len(self.delivered), len(self.refused)
        for name in list(self.agents):
            if name in NAMES:
                self.deliver_packet(name, flow)
                self.settle(1_000)
        names = {name for name, key in self.delivered[delivered:] if key == flow}
        return names, self.refused[refused:]
