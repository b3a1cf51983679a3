"""The interface through which an agent delivers data to its backend server."""

from typing import NamedTuple, Protocol

from citronwinch.coordination import FlowKey


class Reply(NamedTuple):
    """Data that the backend server sent on a flow."""

    flow: FlowKey
    """The flow to whose caller the data is addressed."""

    payload: bytes
    """The datagram's payload for a UDP flow, the whole IP packet for a TCP flow."""


class Delivery(Protocol):
    """Delivers the data of callers to the backend server.

    There are two implementations: `UdpDelivery` sends payloads over one socket per
    flow, and `TunDelivery` sends TCP segments through a layer-3 device. Both pass
    data from the backend server to a callback as a `Reply`.
    """

    def send(self, flow: FlowKey, data: bytes) -> bool:
        """Deliver data of a flow; return False when the data was not delivered."""
        ...

    def close(self, flow: FlowKey) -> None:
        """Stop delivery for a flow and discard its state."""
        ...
