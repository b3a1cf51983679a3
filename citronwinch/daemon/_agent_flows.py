"""Handover of an agent's flows to its next run, with their sockets' local ports.

An agent without peers leaves its flows to its next run, which derives the same ports.
"""

from typing import TYPE_CHECKING

import structlog

from citronwinch.backend_servers import (
    NO_LOCAL_PORTS,
    LocalPorts,
    LocalPortsError,
    read_local_ports,
)
from citronwinch.coordination import FlowKey, TransportProtocol
from citronwinch.coordination.steering import (
    Forward,
    LeftFlows,
    ReturnedTransfer,
    TransferredFlow,
)

if TYPE_CHECKING:
    from citronwinch.daemon._agent_process import AgentProcess

log = structlog.get_logger()


TABLE_WAIT_MS = 5_000
"""How long a started agent drops packets before it has a table, in milliseconds."""


class FlowHandler:
    """Transfers the flows of a stopping agent, and restores them after its start.

    Only the deciding task of the agent uses this class.

    `has_ending_flows` tells whether flows that cannot be left to the next run were
    found since the last tick. They are not examined again until the next one.
    """

    def __init__(self, process: "AgentProcess") -> None:
        self.process = process
        self.has_restored = False
        self.has_ending_flows = False
        self.started_ms = process.clock.now_ms()

    @property
    def path(self) -> str:
        """The addresses that have to be the same for the backend server's peer."""
        row = self.process.steering.row
        server = row.backend_server_address if row is not None else ""
        return f"{self.process.settings.peer_address.ip} {server}"

    @property
    def is_restoring(self) -> bool:
        """Whether flows of the previous run are still expected.

        That ends at most `RESTORATION_TIMEOUT_MS` after the first table, or when the
        peers do not return a transfer any more. Without a table it ends after
        `TABLE_WAIT_MS`; such an agent accepts no flows, but answers.
        """
        return self.is_waiting() and self.process.steering.restoration.is_expected

    def is_waiting(self) -> bool:
        """Return whether the restoration has not ended."""
        waited_ms = self.process.clock.now_ms() - self.started_ms
        return not self.has_restored and (
            self.process.table.revision > 0 or waited_ms < TABLE_WAIT_MS
        )

    def may_restore(self, message: Forward) -> bool:
        """Return whether the flow of a packet may still be restored."""
        return self.is_waiting() and self.process.steering.may_restore(message)

    def find_local_port(self, flow: FlowKey) -> int:
        """Return the local port of a flow's UDP socket, 0 without one."""
        delivery = self.process.udp_delivery
        return delivery.find_local_port(flow) if delivery is not None else 0

    def derive_local_port(self, flow: FlowKey) -> int:
        """Return the local port that is derived from a flow's key, 0 without one."""
        delivery = self.process.udp_delivery
        return delivery.derive_local_port(flow) if delivery is not None else 0

    def read_local_ports(self) -> LocalPorts:
        """Return the system's ports for local sockets, none if they are unknown."""
        try:
            return read_local_ports()
        except LocalPortsError as error:
            log.warning("local_ports_not_read", reason=str(error))
            return NO_LOCAL_PORTS

    def begin_stop(self) -> None:
        """Derive ports as the next run will; log which flows cannot be left to it."""
        delivery = self.process.udp_delivery
        if delivery is not None:
            delivery.local_ports = self.read_local_ports()
        ending = self.find_left_flows().ending
        if ending and not self.process.steering.has_peers():
            log.info("flows_await_their_end", **ending)

    def find_left_flows(self) -> LeftFlows:
        """Return which flows the next run can continue without a transfer."""
        return self.process.steering.find_left_flows(
            self.find_local_port, self.derive_local_port
        )

    def can_leave_all(self) -> bool:
        """Return whether the next run can continue all flows without a transfer."""
        if not self.has_ending_flows:
            self.has_ending_flows = bool(self.find_left_flows().ending)
        return not self.has_ending_flows

    def may_be_left(self, flow: FlowKey) -> bool:
        """Return whether a previous run may have left a flow to this one.

        This run cannot tell such a flow from a new one. Later than the idle timeout
        after the start, the flow has expired or is owned.
        """
        process = self.process
        run_ms = process.clock.now_ms() - self.started_ms
        return (
            flow[0] == TransportProtocol.UDP
            and run_ms < process.settings.flow_idle_ms
            and not process.steering.has_peers()
        )

    def advance(self) -> None:
        """Send what is due, and restore the returned flows."""
        process = self.process
        steering = process.steering
        self.has_ending_flows = False
        process.apply_actions(
            steering.advance_transfer(self.path, self.find_local_port)
        )
        process.apply_actions(steering.void_transfers())
        if not self.has_restored and process.table.revision:
            process.apply_actions(steering.query_flows())
            self.try_end_restoration()

    def try_end_restoration(self) -> None:
        """Restore the returned flows once no further answer is awaited.

        The next packet may be of one of these flows, so that they are not left until
        the next tick.
        """
        steering = self.process.steering
        if self.has_restored or not self.process.table.revision:
            return
        if steering.restoration.is_finished or steering.row is None:
            self.has_restored = True
            self.restore(steering.restoration.returned)
            steering.end_restoration()

    def has_transferred_all(self) -> bool:
        """Return whether the peers have all flows that this agent owns."""
        return self.process.steering.has_transferred_all(self.find_local_port)

    def end_transfer(self) -> None:
        """Commit the transfer if it covers all flows, otherwise void it."""
        steering = self.process.steering
        is_committed = self.has_transferred_all()
        if is_committed:
            amount = len(steering.owned)
            self.process.metrics.count("flows_handed_over_total", amount=amount)
            log.info("flows_handed_over", flows=amount)
        self.process.apply_actions(steering.end_transfer(is_committed=is_committed))
        left, ending = self.find_left_flows()
        if left:
            self.process.metrics.count("flows_left_to_next_run_total", amount=len(left))
            log.info("flows_left_to_next_run", flows=len(left), ended=ending.total())

    def restore(self, returned: ReturnedTransfer | None) -> None:
        """Own the flows of the previous run again if nothing changed for them.

        They end if this agent or its backend server has another address, or if the
        table gives the backend server or a flow's address to another service.
        """
        process = self.process
        row = process.steering.row
        if returned is None or row is None or returned.service != row.service:
            return
        if returned.path != self.path:
            log.warning(
                "flows_not_restored", expected_path=self.path, found=returned.path
            )
            process.metrics.count(
                "flows_not_restored_total", "address", len(returned.flows)
            )
            return
        for transferred in returned.flows:
            reason = self.restore_flow(transferred, returned.service)
            name = "flows_not_restored_total" if reason else "flows_restored_total"
            process.metrics.count(name, reason)
        log.info("flows_restored", flows=process.flow_count)

    def restore_flow(self, transferred: TransferredFlow, service: str) -> str:
        """Own one flow again; return why that fails, an empty string on success."""
        if self.process.table.find_service(transferred.flow) != service:
            return "service"
        if not self.open_delivery(transferred):
            return "delivery"
        self.process.steering.restore_flow(transferred, service)
        return ""

    def open_delivery(self, transferred: TransferredFlow) -> bool:
        """Open the delivery of a flow as the previous run had it."""
        process = self.process
        if transferred.flow[0] == TransportProtocol.TCP:
            delivery = process.tun_delivery
            return delivery is not None and delivery.open(transferred.flow)
        if not transferred.local_port:
            return True
        if process.udp_delivery is None:
            return False
        try:
            process.udp_delivery.open(transferred.flow, transferred.local_port)
        except OSError as error:
            log.warning(
                "flow_not_restored", port=transferred.local_port, reason=str(error)
            )
            return False
        return True
