"""The interface of delivery beside a backend server."""

from typing import NamedTuple, Protocol

from citronwinch.coordination import FlowKey


class Reply(NamedTuple):
    """What the backend server sent on a flow."""

    flow: FlowKey
    """The flow."""

    payload: bytes
    """A datagram's payload for a UDP flow, a whole IP packet for a TCP flow."""


class Delivery(Protocol):
    """A way to hand what callers send to the backend server.

    There are two: `UdpDelivery` carries payloads over one socket per flow, and
    `TunDelivery` carries TCP segments through a layer-3 device. Both give what the
    backend server sends to a callback as a `Reply`.
    """

    def send(self, flow: FlowKey, data: bytes) -> bool:
        """Hand over data of a flow; return False when it was not handed over."""
        ...

    def close(self, flow: FlowKey) -> None:
        """Forget a flow."""
        ...
