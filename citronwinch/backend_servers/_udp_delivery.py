"""Delivery to a backend server over one connected UDP socket per flow."""

import socket
from collections.abc import Callable

import trio

from citronwinch.backend_servers._delivery import Reply
from citronwinch.coordination import Endpoint, FlowKey

DATAGRAM_LIMIT = 65_535
"""The longest datagram that is read, in bytes."""


class UdpDelivery:
    """Sends each flow's datagrams from a socket of its own.

    The backend server answers to that socket, so an answer can only belong to its
    flow. `on_reply` gets each answer, `on_unreachable` a flow whose server refused.
    """

    def __init__(
        self,
        server: Endpoint,
        nursery: trio.Nursery,
        on_reply: Callable[[Reply], None],
        on_unreachable: Callable[[FlowKey], None],
    ) -> None:
        self.server = server
        self.nursery = nursery
        self.on_reply = on_reply
        self.on_unreachable = on_unreachable
        self.sockets: dict[FlowKey, socket.socket] = {}
        self.scopes: dict[FlowKey, trio.CancelScope] = {}

    def open(self, flow: FlowKey, local_port: int = 0) -> int:
        """Open the flow's socket and return its local port.

        With `local_port` the socket takes over the port of a former agent, so that
        the backend server sees the same peer as before. Raise OSError when the
        system gives no socket.
        """
        link = self._connect(local_port)
        scope = trio.CancelScope()
        self.sockets[flow] = link
        self.scopes[flow] = scope
        self.nursery.start_soon(self._receive, flow, link, scope)
        return int(link.getsockname()[1])

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
        link = self.sockets.pop(flow, None)
        if link is not None:
            self.scopes.pop(flow).cancel()
            trio.lowlevel.notify_closing(link)
            link.close()

    def _connect(self, local_port: int) -> socket.socket:
        family = socket.AF_INET6 if ":" in self.server.ip else socket.AF_INET
        link = socket.socket(family, socket.SOCK_DGRAM)
        try:
            link.setblocking(False)
            if local_port:
                link.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                link.bind(("", local_port))
            link.connect((self.server.ip, self.server.port))
        except OSError:
            link.close()
            raise
        return link

    async def _receive(
        self, flow: FlowKey, link: socket.socket, scope: trio.CancelScope
    ) -> None:
        with scope:
            # A flow may be closed before its task runs for the first time.
            while link.fileno() >= 0:
                await trio.lowlevel.wait_readable(link)
                try:
                    self.on_reply(Reply(flow, link.recv(DATAGRAM_LIMIT)))
                except BlockingIOError:
                    continue
                except OSError:
                    # The backend server, or a router before it, refused a datagram.
                    self.on_unreachable(flow)
