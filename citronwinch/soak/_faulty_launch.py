"""Starts a balancer or an agent, and disturbs its messages to and from the other role.

A file says which messages are lost or late at present; the soak replaces it while the
processes run. This file is started by its path, since the import of `citronwinch.soak`
would delay the binding of the sockets.
"""

import os
import sys
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, NamedTuple

from citronwinch import launch

if TYPE_CHECKING:
    import socket

FAULTS_VARIABLE = "CITRONWINCH_SOAK_MESSAGE_FAULTS"
"""The environment variable that holds the path of the file with the faults."""

FAULTS_CHECK_S = 0.02
"""How often a process checks that file for changes at most, in seconds."""

PEER_PORT = 23_200
"""The port of a balancer or an agent for messages of other instances."""

ANY_BALANCER = "*"
"""Stands for the IP addresses of all balancers in a fault of an agent."""


class MessageFault(NamedTuple):
    """What happens to the messages from one instance to another one."""

    sender: str
    """The IP address of the sender, or ANY_BALANCER."""

    receiver: str
    """The IP address of the receiver, or ANY_BALANCER."""

    loss_share: float
    """The share of messages that are lost."""

    max_delay_s: float
    """Each message is delayed by a random time up to this, in seconds."""


def format_faults(faults: list[MessageFault]) -> str:
    """Return the content of the file, one fault a line.

    Example::

        >>> format_faults([MessageFault("127.0.0.1", "*", 1.0, 0.0)])
        '127.0.0.1 * 1.0 0.0\\n'
    """
    return "".join(" ".join(map(str, fault)) + "\n" for fault in faults)


def parse_faults(text: str) -> list[MessageFault]:
    """Return the faults of a file.

    Example::

        >>> parse_faults("127.0.0.1 * 1.0 0.0")[0].receiver
        '*'
    """
    fields = [line.split() for line in text.splitlines()]
    return [
        MessageFault(sender, receiver, float(loss), float(delay))
        for sender, receiver, loss, delay in fields
    ]


class CurrentFaults:
    """The faults of the messages between one process and others, read from the file."""

    def __init__(self, file: str, own_ip: str) -> None:
        import random
        import time

        self.file = file
        self.own_ip = own_ip
        self.rng = random.Random(own_ip)
        self.monotonic_s = time.monotonic
        self.checked_s = 0.0
        self.file_identity = (0, 0)
        self.faults: list[MessageFault] = []

    def draw_delay_s(self, sender: str, receiver: str) -> float | None:
        """Return by how many seconds to delay a message, None if it is lost."""
        self._update()
        delay_s = 0.0
        for fault in self.faults:
            if fault.sender not in (sender, ANY_BALANCER):
                continue
            if fault.receiver not in (receiver, ANY_BALANCER):
                continue
            if self.rng.random() < fault.loss_share:
                return None
            delay_s += self.rng.uniform(0, fault.max_delay_s)
        return delay_s

    def _update(self) -> None:
        now_s = self.monotonic_s()
        if now_s - self.checked_s < FAULTS_CHECK_S:
            return
        self.checked_s = now_s
        try:
            status = os.stat(self.file)
            identity = (status.st_ino, status.st_mtime_ns)
            if identity != self.file_identity:
                with open(self.file, encoding="ascii") as stream:
                    self.faults = parse_faults(stream.read())
                self.file_identity = identity
        except FileNotFoundError:
            self.faults = []


def make_socket(
    plain: "socket.socket", faults: CurrentFaults, peer_port: int = PEER_PORT
) -> "socket.socket":
    """Return a socket that loses or delays messages to other instances.

    It takes the place of the plain one, which is closed.
    """
    import socket

    import trio

    class FaultySocket(socket.socket):
        def sendto(self, data: bytes, address: Any) -> int:  # type: ignore[override]
            """Send a datagram; those to other ports than `peer_port` undisturbed."""
            if address[1] != peer_port:
                return super().sendto(data, address)
            delay_s = faults.draw_delay_s(faults.own_ip, address[0])
            if delay_s is None:
                return len(data)
            if not delay_s:
                return super().sendto(data, address)
            trio.lowlevel.spawn_system_task(self.send_later, data, address, delay_s)
            return len(data)

        async def send_later(self, data: bytes, address: Any, delay_s: float) -> None:
            await trio.sleep(delay_s)
            try:
                super().sendto(data, address)
            except OSError:
                # As with any datagram that the kernel does not accept.
                return

    return FaultySocket(plain.family, plain.type, plain.proto, plain.detach())


def disturb_connections(
    connect: Callable[..., Awaitable[Any]], faults: CurrentFaults
) -> Callable[..., Awaitable[Any]]:
    """Return a function that connects to instances like `connect`, with the faults.

    A lost request and a lost response look alike to the client: nothing arrives before
    its timeout.
    """
    import trio

    async def connect_with_faults(host: str, port: int, **options: Any) -> Any:
        if port == PEER_PORT:
            for ends in ((faults.own_ip, host), (host, faults.own_ip)):
                delay_s = faults.draw_delay_s(*ends)
                if delay_s is None:
                    await trio.sleep_forever()
                else:
                    await trio.sleep(delay_s)
        return await connect(host, port, **options)

    return connect_with_faults


def install_faults(file: str) -> None:
    """Have the launched process use sockets and connections with faults."""
    wrap_sockets = launch.wrap_sockets

    def wrap_with_faults(bound: Any) -> "dict[tuple[str, int], socket.socket]":
        import trio

        faults = CurrentFaults(file, next(iter(bound))[0] if bound else "")
        trio.open_tcp_stream = disturb_connections(trio.open_tcp_stream, faults)  # type: ignore[assignment]
        return {
            address: make_socket(plain, faults)
            for address, plain in wrap_sockets(bound).items()
        }

    launch.wrap_sockets = wrap_with_faults


def main(arguments: list[str]) -> int:
    """Run the process whose settings file the given environment variable names."""
    install_faults(os.environ[FAULTS_VARIABLE])
    return launch.main(arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
