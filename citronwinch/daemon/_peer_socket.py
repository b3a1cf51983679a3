"""The socket for messages between balancers and agents."""

import time
from collections.abc import Callable

from citronwinch.coordination import Endpoint
from citronwinch.coordination.spread import (
    ControlBudget,
    ControlPriority,
    ReplayWindow,
)
from citronwinch.network import Datagram, DatagramSocket, MalformedMessageError
from citronwinch.operators import Metrics
from citronwinch.peers import (
    Envelope,
    KeyRing,
    PeerMessage,
    decode_envelope,
    encode_envelope,
)

INCARNATION_LEAD_LIMIT_NS = 24 * 3_600 * 1_000_000_000
"""How far a sender's incarnation may lie ahead of this instance's time, in ns.

An incarnation is the time at which a process started. After an incarnation from the
far future, all messages of the real process would look like those of a previous run.
"""


class PeerSocket:
    """Sends and receives authenticated messages."""

    def __init__(
        self,
        datagram_socket: DatagramSocket,
        name: str,
        incarnation: int,
        keys: KeyRing,
        metrics: Metrics,
        budget: ControlBudget,
    ) -> None:
        self.datagram_socket = datagram_socket
        self.name = name
        self.incarnation = incarnation
        self.keys = keys
        self.metrics = metrics
        self.budget = budget
        self.replays = ReplayWindow()
        self.sender_addresses: dict[str, tuple[str, int]] = {}
        self.sequence = 0
        self.read_revision: Callable[[], int] = lambda: 0

    def send(self, message: PeerMessage, receiver: Endpoint) -> bool:
        """Send a message; return False if the kernel did not accept it."""
        return self.datagram_socket.send(self.encode_signed(message), receiver)

    def send_control(
        self, message: PeerMessage, receiver: Endpoint, priority: ControlPriority
    ) -> bool:
        """Send a message if the control budget allows; return whether it was sent."""
        datagram = self.encode_signed(message)
        if not self.budget.try_spend(priority, len(datagram)):
            return False
        return self.datagram_socket.send(datagram, receiver)

    def encode_signed(self, message: PeerMessage) -> bytes:
        """Return the authenticated datagram for a message."""
        self.sequence += 1
        envelope = Envelope(
            self.name, self.incarnation, self.sequence, self.read_revision(), message
        )
        return self.keys.sign(encode_envelope(envelope))

    async def receive(self) -> list[Envelope]:
        """Wait for messages and return the authentic and well-formed ones."""
        return [
            envelope
            for datagram in await self.datagram_socket.receive()
            if (envelope := self.verify_and_decode(datagram)) is not None
        ]

    def verify_and_decode(self, datagram: Datagram) -> Envelope | None:
        """Return the envelope in a datagram; count and drop an invalid one."""
        data = self.keys.verify(datagram.data)
        if data is None:
            self.metrics.count("peer_rejected_total", "authentication")
            return None
        try:
            envelope = decode_envelope(data)
        except MalformedMessageError:
            self.metrics.count("peer_rejected_total", "malformed")
            return None
        if envelope.incarnation > time.time_ns() + INCARNATION_LEAD_LIMIT_NS:
            self.metrics.count("peer_rejected_total", "incarnation")
            return None
        if not self.replays.accept(
            envelope.sender, envelope.incarnation, envelope.sequence
        ):
            self.metrics.count("peer_rejected_total", "replay")
            return None
        self.sender_addresses[envelope.sender] = datagram.sender
        return envelope

    def find_address(self, name: str) -> Endpoint | None:
        """Return the source address of an instance's last message, None without one."""
        address = self.sender_addresses.get(name)
        return Endpoint(*address[:2]) if address is not None else None
