"""Delivery to a backend server over one connected UDP socket per flow."""

import contextlib
import socket
from collections.abc import Callable

import trio

from citronwinch.backend_servers._delivery import Reply
from citronwinch.backend_servers._local_ports import NO_LOCAL_PORTS, LocalPorts
from citronwinch.coordination import Endpoint, FlowKey

DATAGRAM_LIMIT_BYTES = 65_535
"""The longest datagram that is read, in bytes."""


class UdpDelivery:
    """Sends the datagrams of each flow from a separate socket.

    The backend server answers to that socket, so the socket identifies the flow of an
    answer. `on_reply` is called with each answer. `on_unreachable` is called with the
    flow when the backend server or a router has refused one of its datagrams.

    The local port of a socket is derived from the flow's key and `local_ports`, so that
    the next run of the agent appears to the backend server as the same peer. If that
    port is taken, the system chooses another one.
    """

    def __init__(
        self,
        server: Endpoint,
        nursery: trio.Nursery,
        on_reply: Callable[[Reply], None],
        on_unreachable: Callable[[FlowKey], None],
        local_ports: LocalPorts = NO_LOCAL_PORTS,
    ) -> None:
        self.server = server
        self.nursery = nursery
        self.on_reply = on_reply
        self.on_unreachable = on_unreachable
        self.local_ports = local_ports
        self.sockets: dict[FlowKey, socket.socket] = {}
        self.scopes: dict[FlowKey, trio.CancelScope] = {}

    def open(self, flow: FlowKey, local_port: int = 0) -> int:
        """Open the flow's socket and return its local port.

        With `local_port`, the socket is bound to the port that a previous agent used
        for the flow, so that the backend server sees the same peer as before. Raise
        OSError when the socket cannot be opened.
        """
        flow_socket = self._connect(flow, local_port)
        scope = trio.CancelScope()
        self.sockets[flow] = flow_socket
        self.scopes[flow] = scope
        self.nursery.start_soon(self._receive, flow, flow_socket, scope)
        return int(flow_socket.getsockname()[1])

    def find_local_port(self, flow: FlowKey) -> int:
        """Return the local port of the flow's socket, 0 without a socket."""
        flow_socket = self.sockets.get(flow)
        return int(flow_socket.getsockname()[1]) if flow_socket is not None else 0

    def derive_local_port(self, flow: FlowKey) -> int:
        """Return the local port that is derived from a flow's key, 0 without one."""
        return self.local_ports.derive(flow)

    def send(self, flow: FlowKey, data: bytes) -> bool:
        """Send a datagram of the flow; return False when it was not sent."""
        try:
            if flow not in self.sockets:
                self.open(flow)
            self.sockets[flow].send(data)
        except OSError:
            return False
        return True

    def close(self, flow: FlowKey) -> None:
        """Close the flow's socket."""
        flow_socket = self.sockets.pop(flow, None)
        if flow_socket is not None:
            self.scopes.pop(flow).cancel()
            trio.lowlevel.notify_closing(flow_socket)
            flow_socket.close()

    def _connect(self, flow: FlowKey, local_port: int) -> socket.socket:
        family = socket.AF_INET6 if ":" in self.server.ip else socket.AF_INET
        flow_socket = socket.socket(family, socket.SOCK_DGRAM)
        try:
            flow_socket.setblocking(False)
            if local_port:
                flow_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                flow_socket.bind(("", local_port))
            else:
                self._bind_derived_port(flow, flow_socket)
            flow_socket.connect((self.server.ip, self.server.port))
        except OSError:
            flow_socket.close()
            raise
        return flow_socket

    def _bind_derived_port(self, flow: FlowKey, flow_socket: socket.socket) -> None:
        """Bind a socket to the derived port of its flow if that port is free.

        Without SO_REUSEADDR the system reports every other socket on the port. With it
        two sockets would share the port, and answers would reach the wrong flow.
        """
        local_port = self.derive_local_port(flow)
        if not local_port:
            return
        # If the port cannot be bound, the connection gets one from the system.
        with contextlib.suppress(OSError):
            flow_socket.bind(("", local_port))

    async def _receive(
        self, flow: FlowKey, flow_socket: socket.socket, scope: trio.CancelScope
    ) -> None:
        with scope:
            # `close` may have closed the socket before this task first runs.
            while flow_socket.fileno() >= 0:
                await trio.lowlevel.wait_readable(flow_socket)
                try:
                    self.on_reply(Reply(flow, flow_socket.recv(DATAGRAM_LIMIT_BYTES)))
                except BlockingIOError:
                    continue
                except OSError:
                    # The backend server or a router on the path refused a datagram.
                    self.on_unreachable(flow)
