"""Packets of flows, with the header fields that flow decisions read."""

from typing import NamedTuple

from citronwinch.coordination._address import FlowKey


class Packet(NamedTuple):
    """One packet of a flow; its data is opaque to balancers and agents."""

    flow: FlowKey
    """The flow's key as seen by the caller, whichever side sent the packet."""

    is_opening: bool
    """Whether the packet requests a new flow or, from a backend server, accepts one."""

    is_finishing: bool
    """Whether the sender will send no more data."""

    is_reset: bool
    """Whether the sender has aborted the flow."""

    is_bounced: bool
    """Whether a backend server bounced the packet since it does not hold the flow."""

    sequence: int
    """The position of the packet's first byte in the sender's stream."""

    acknowledged: int
    """The position up to which the sender has received data; in a caller's opening, the
    number of its retransmissions."""

    payload_bytes: int
    """The length of the packet's data, in bytes."""

    raw: bytes
    """The datagram, which is forwarded unchanged."""

    is_full_size: bool = False
    """Whether the packet has as much data as a packet can have, so that more data of
    the same request is likely to follow."""


def make_placeholder_packet(flow: FlowKey, acknowledged: int) -> Packet:
    """Return a stand-in for the caller's last packet, for a reset to answer.

    An open flow is reset in this way when none of its packets is available.
    `acknowledged` is the caller's latest acknowledgement number.
    """
    return Packet(
        flow,
        is_opening=False,
        is_finishing=False,
        is_reset=False,
        is_bounced=False,
        sequence=0,
        acknowledged=acknowledged,
        payload_bytes=0,
        raw=b"",
    )
