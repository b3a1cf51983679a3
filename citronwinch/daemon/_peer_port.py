"""The socket for messages of the system's own processes."""

from collections.abc import Callable

from citronwinch.coordination import Endpoint
from citronwinch.network import Datagram, DatagramPort
from citronwinch.operators import Metrics
from citronwinch.peers import (
    Envelope,
    KeyRing,
    MalformedMessageError,
    PeerMessage,
    decode_envelope,
    encode_envelope,
)


class PeerPort:
    """Sends and receives sealed envelopes."""

    def __init__(
        self,
        port: DatagramPort,
        name: str,
        incarnation: int,
        keys: KeyRing,
        metrics: Metrics,
    ) -> None:
        self.port = port
        self.name = name
        self.incarnation = incarnation
        self.keys = keys
        self.metrics = metrics
        self.sequence = 0
        self.read_revision: Callable[[], int] = lambda: 0

    def send(self, message: PeerMessage, receiver: Endpoint) -> bool:
        """Send a message; return False when the kernel did not take it."""
        self.sequence += 1
        envelope = Envelope(
            self.name, self.incarnation, self.sequence, self.read_revision(), message
        )
        return self.port.send(self.keys.seal(encode_envelope(envelope)), receiver)

    async def receive(self) -> list[Envelope]:
        """Wait for messages and return those that are authentic and well-formed."""
        return [
            envelope
            for datagram in await self.port.receive()
            if (envelope := self.open(datagram)) is not None
        ]

    def open(self, datagram: Datagram) -> Envelope | None:
        """Return the envelope in a datagram; count and drop a bad one."""
        data = self.keys.open(datagram.data)
        if data is None:
            self.metrics.count("peer_rejected_total", "authentication")
            return None
        try:
            return decode_envelope(data)
        except MalformedMessageError:
            self.metrics.count("peer_rejected_total", "malformed")
            return None
