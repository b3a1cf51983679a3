"""The head of packets, against the example on the platform's page."""

import pytest

from citronwinch.coordination import Endpoint, unpack_flow_key
from citronwinch.network import MalformedMessageError
from citronwinch.platform import (
    decode_caller_packet,
    decode_server_packet,
    encode_reset,
)
from citronwinch.platform._packet_codec import mark_bounced

OPENING = bytes.fromhex(
    "00 00 00 00 44 33 22 11 00 00 00 00 00 00 41 9c 01 00 12 c6 bb 01 07 00 40 64"
    "d5 c3 b2 a1 08 00 00 00 00 00"
)
RESET = bytes.fromhex(
    "00 00 00 00 00 00 00 00 00 00 00 00 00 00 bb 01 07 00 40 64 41 9c 01 00 12 c6"
    "00 00 00 00 04 00 00 00 00 00"
)


def test_the_example_of_an_opening_is_read() -> None:
    packet = decode_caller_packet(OPENING)
    flow = unpack_flow_key(packet.flow)
    assert flow.caller == Endpoint("100.64.0.7", 40001)
    assert flow.service == Endpoint("198.18.0.1", 443)
    assert packet.is_opening
    assert packet.sequence == 0x11223344
    assert packet.raw == OPENING


def test_the_example_of_a_reset_is_written() -> None:
    assert encode_reset(decode_caller_packet(OPENING)) == RESET


def test_a_server_packet_belongs_to_its_callers_flow() -> None:
    packet = decode_server_packet(RESET)
    assert packet.flow == decode_caller_packet(OPENING).flow
    assert packet.is_reset


def test_a_bounced_packet_is_ready_for_another_server() -> None:
    with_echo = b"\1\2\3\4" + OPENING[4:]
    packet = decode_server_packet(mark_bounced(with_echo))
    assert packet.is_bounced and packet.is_opening
    assert packet.raw == OPENING
    assert packet.flow == decode_caller_packet(OPENING).flow


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(OPENING[:35], id="cut"),
        pytest.param(OPENING + b"x", id="longer than its head tells"),
        pytest.param(OPENING[:12] + b"\x05\x00" + OPENING[14:], id="shorter"),
        pytest.param(
            OPENING[:12] + b"\xb1\x04" + OPENING[14:] + bytes(1201), id="too long"
        ),
    ],
)
def test_a_malformed_packet_is_refused(data: bytes) -> None:
    for decode in (decode_caller_packet, decode_server_packet):
        with pytest.raises(MalformedMessageError):
            decode(data)
