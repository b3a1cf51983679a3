"""Tests the packet header codec against examples of the platform's documentation.

Guards against a wrong field order, byte order or length check.
"""

import pytest

from citronwinch.coordination import Endpoint, unpack_flow_key
from citronwinch.network import MalformedMessageError
from citronwinch.platform import (
    decode_caller_packet,
    decode_server_packet,
    encode_reset,
)
from citronwinch.platform._packet_codec import mark_bounced

OPENING_PACKET = bytes.fromhex(
    "00 00 00 00 44 33 22 11 00 00 00 00 00 00 41 9c 01 00 12 c6 bb 01 07 00 40 64"
    "d5 c3 b2 a1 08 00 00 00 00 00"
)
RESET_PACKET = bytes.fromhex(
    "00 00 00 00 00 00 00 00 00 00 00 00 00 00 bb 01 07 00 40 64 41 9c 01 00 12 c6"
    "00 00 00 00 04 00 00 00 00 00"
)


def test_example_of_opening_packet_is_decoded() -> None:
    packet = decode_caller_packet(OPENING_PACKET)
    flow = unpack_flow_key(packet.flow)
    assert flow.caller == Endpoint("100.64.0.7", 40001)
    assert flow.service == Endpoint("198.18.0.1", 443)
    assert packet.is_opening
    assert packet.sequence == 0x11223344
    assert packet.raw == OPENING_PACKET


def test_example_of_reset_is_encoded() -> None:
    assert encode_reset(decode_caller_packet(OPENING_PACKET)) == RESET_PACKET


def test_server_packet_belongs_to_flow_of_its_caller() -> None:
    packet = decode_server_packet(RESET_PACKET)
    assert packet.flow == decode_caller_packet(OPENING_PACKET).flow
    assert packet.is_reset


def test_bounce_mark_is_cleared_for_next_server() -> None:
    with_echo = b"\1\2\3\4" + OPENING_PACKET[4:]
    packet = decode_server_packet(mark_bounced(with_echo))
    assert packet.is_bounced and packet.is_opening
    assert packet.raw == OPENING_PACKET
    assert packet.flow == decode_caller_packet(OPENING_PACKET).flow


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(OPENING_PACKET[:35], id="cut"),
        pytest.param(OPENING_PACKET + b"x", id="longer than declared"),
        pytest.param(
            OPENING_PACKET[:12] + b"\x05\x00" + OPENING_PACKET[14:],
            id="shorter than declared",
        ),
        pytest.param(
            OPENING_PACKET[:12] + b"\xb1\x04" + OPENING_PACKET[14:] + bytes(1201),
            id="over the payload limit",
        ),
    ],
)
def test_malformed_packet_is_rejected(data: bytes) -> None:
    for decode in (decode_caller_packet, decode_server_packet):
        with pytest.raises(MalformedMessageError):
            decode(data)
