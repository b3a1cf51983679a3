"""Packets of flows, as the decisions see them."""

from typing import NamedTuple

from citronwinch.coordination._address import FlowKey


class Packet(NamedTuple):
    """One packet of a flow; only its two ends read or write what it carries."""

    flow: FlowKey
    """The flow, as its caller sees it, whichever end sent the packet."""

    is_opening: bool
    """Whether it asks for a new flow, or accepts one when a backend server sent it."""

    is_finishing: bool
    """Whether its sender will send no more data."""

    is_reset: bool
    """Whether its sender has dropped the flow."""

    is_bounced: bool
    """Whether a backend server gave it back because it does not hold the flow."""

    sequence: int
    """The position of its first byte in the sender's stream."""

    acknowledged: int
    """What the sender has received; in an opening packet, how often it was sent."""

    payload_bytes: int
    """The length of the data that it carries, in bytes."""

    raw: bytes
    """The datagram, to be passed on as it is."""


def make_placeholder_packet(
    flow: FlowKey, acknowledged: int, *, is_opening: bool = False
) -> Packet:
    """Return what a reset of a flow answers when no packet of it is at hand.

    `acknowledged` is what the caller acknowledged last, `is_opening` whether the flow
    is not open yet.
    """
    return Packet(
        flow,
        is_opening=is_opening,
        is_finishing=False,
        is_reset=False,
        is_bounced=False,
        sequence=0,
        acknowledged=acknowledged,
        payload_bytes=0,
        raw=b"",
    )
