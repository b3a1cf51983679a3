"""Callers that send packets of flows through random balancers.

They count flows that break, flows that are opened twice and misdirected packets.
"""

import random
import struct
from collections import Counter

from citronwinch.benches._steering_fleet import Fleet
from citronwinch.coordination import Endpoint, Flow, FlowKey, TransportProtocol
from citronwinch.coordination.steering import Packet, Refuse

PACKET_INTERVAL_MS = 500
"""The interval between two packets of a flow."""

UNDELIVERED_LIMIT = 5
"""The number of consecutive undelivered packets after which a flow is broken."""

COPY_SHARE = 0.3
"""The share of opening packets that are also sent through a second balancer."""

CLOSING_SHARE = 0.01
"""The share of packets that end their flow, which another flow replaces."""


class CallerFlow:
    """The state of a flow at its caller.

    `first_server` is the backend server that received the first packet, `servers`
    are all that received one. With `all_packets_open` every packet may open the
    flow, as in UDP; otherwise only packets before the first delivery may.
    """

    def __init__(
        self, number: int, service: str, key: FlowKey, all_packets_open: bool
    ) -> None:
        self.number = number
        self.service = service
        self.key = key
        self.all_packets_open = all_packets_open
        self.first_server = ""
        self.servers: list[str] = []
        self.sequence = 0
        self.undelivered_packets = 0
        self.is_broken = False
        self.has_ended = False
        self.is_opened_twice = False


class Callers:
    """Sends the packets of all flows of a fleet and counts the results."""

    def __init__(self, fleet: Fleet, source: random.Random) -> None:
        self.fleet = fleet
        self.interval_ms = PACKET_INTERVAL_MS
        self.source = source
        self.flows: list[CallerFlow] = []
        self.flows_by_key: dict[FlowKey, CallerFlow] = {}
        self.endpoints = {row.service: row.service_address for row in fleet.rows}
        self.services_by_server: dict[str, set[str]] = {}
        self.lost_servers: set[str] = set()
        self.counts: Counter[str] = Counter()
        self.packets_by_hops: Counter[int] = Counter()
        self.last_opened_ms_by_agent: dict[str, int] = {}
        self.lost_flow_end_delays_ms: list[int] = []
        self.servers_lost_ms = 0
        fleet.observer = self

    def record_assignments(self) -> None:
        """Record the services to which each backend server has been assigned so far."""
        for row in self.fleet.rows:
            self.services_by_server.setdefault(row.backend_server, set()).add(
                row.service
            )

    def open_flow(self, service: str) -> None:
        """Open a flow of a service and send its first packet."""
        number = len(self.flows)
        all_packets_open = number % 2 == 0
        protocol = TransportProtocol.UDP
        caller = Endpoint(f"203.0.113.{number % 250 + 1}", 1024 + number // 250)
        key = Flow(protocol, caller, self.endpoints[service]).key
        flow = CallerFlow(number, service, key, all_packets_open)
        self.flows.append(flow)
        self.flows_by_key[key] = flow
        self.send(flow)

    def send(self, flow: CallerFlow) -> None:
        """Send the next packet of a flow and schedule the one after it."""
        if flow.is_broken or flow.has_ended:
            return
        if flow.undelivered_packets >= UNDELIVERED_LIMIT and flow.first_server:
            self.mark_broken(flow, "silent")
            return
        flow.sequence += 1
        flow.undelivered_packets += 1
        data = struct.pack("!II", flow.number, flow.sequence)
        opens = flow.all_packets_open or not flow.first_server
        is_last = bool(flow.first_server) and self.source.random() < CLOSING_SHARE
        packet = Packet(flow.key, data, opens, is_last)
        balancers = self.fleet.list_balancers()
        copies = 2 if not flow.first_server and self.source.random() < COPY_SHARE else 1
        for balancer in self.source.sample(balancers, min(copies, len(balancers))):
            self.fleet.deliver_packet(balancer, packet, flow.service)
        self.counts["packets"] += 1
        if is_last:
            self.replace_flow(flow)
            return
        interval_ms = round(self.interval_ms * self.source.uniform(0.8, 1.2))
        self.fleet.queue.call_after(interval_ms, lambda: self.send(flow))

    def replace_flow(self, flow: CallerFlow) -> None:
        """End a flow at its caller and then at its agent, and open another one."""
        flow.has_ended = True

        def end_flow_at_agent() -> None:
            node = self.fleet.nodes[flow.first_server]
            if node.agent is not None and node.is_alive:
                node.agent.end_flow(flow.key)

        self.fleet.queue.call_after(500, end_flow_at_agent)
        self.open_flow(flow.service)

    def observe_delivery(self, agent: str, flow: FlowKey, packet: bytes) -> None:
        """Check that a packet was delivered to the right backend server."""
        caller_flow = self.flows_by_key[flow]
        self.packets_by_hops[self.fleet.hops_by_packet.pop(packet, 0)] += 1
        if caller_flow.service not in self.services_by_server[agent]:
            self.counts["misdirected_packets"] += 1
        if caller_flow.has_ended:
            return
        caller_flow.undelivered_packets = 0
        if agent not in caller_flow.servers:
            self.record_opening(caller_flow, agent)
        elif agent != caller_flow.servers[-1]:
            self.count_doubled_open(caller_flow)
        if not caller_flow.first_server:
            caller_flow.first_server = agent
        elif caller_flow.first_server != agent:
            self.mark_broken(caller_flow, "moved")

    def record_opening(self, flow: CallerFlow, agent: str) -> None:
        """Record that an agent opened a flow; count it if another agent still owns it.

        An earlier agent whose ownership is uncertain queries the other agents before
        it delivers another packet, so the flow is not counted as opened twice here.
        If that agent does deliver one, `observe_delivery` counts the flow.
        """
        flow.servers.append(agent)
        self.last_opened_ms_by_agent[agent] = self.fleet.now_ms
        self.counts["opens"] += 1
        if any(self.would_deliver(server, flow) for server in flow.servers[:-1]):
            self.count_doubled_open(flow)

    def would_deliver(self, name: str, flow: CallerFlow) -> bool:
        """Return whether an agent is running and would deliver packets of a flow."""
        node = self.fleet.nodes[name]
        is_running = node.is_alive and self.fleet.now_ms >= node.paused_until_ms
        if not is_running or node.agent is None or flow.key not in node.agent.owned:
            return False
        return not node.agent.is_ownership_uncertain(flow.key, flow.service)

    def count_doubled_open(self, flow: CallerFlow) -> None:
        """Count a flow as opened twice, at most once."""
        if not flow.is_opened_twice:
            flow.is_opened_twice = True
            self.counts["doubled_opens"] += 1

    def observe_refusal(self, agent: str, action: Refuse) -> None:
        """Count a refusal that is sent to the caller."""
        flow = self.flows_by_key[action.flow]
        self.counts[f"refused_{action.reason}"] += 1
        if not action.is_certain or flow.has_ended:
            return
        if flow.first_server:
            self.mark_broken(flow, "refused")
        else:
            self.counts["refused_new"] += 1
            flow.has_ended = True

    def mark_broken(self, flow: CallerFlow, reason: str) -> None:
        """Count a flow as broken, at most once."""
        if flow.is_broken:
            return
        flow.is_broken = True
        self.counts["broken_flows"] += 1
        self.counts[f"broken_{reason}"] += 1
        if flow.first_server in self.lost_servers:
            self.counts["broken_of_lost_server"] += 1
            self.lost_flow_end_delays_ms.append(
                self.fleet.now_ms - self.servers_lost_ms
            )
