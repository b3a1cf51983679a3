"""Geneve frames are decoded as they were encoded; malformed ones are rejected."""

import struct

import pytest
from hypothesis import given, settings, strategies as st

from citronwinch.coordination import Endpoint, Flow, TransportProtocol
from citronwinch.coordination.requests import RequestKind, RequestMetadata
from citronwinch.fabric import (
    GeneveFrame,
    MalformedFrameError,
    build_udp,
    decode_frame,
    encode_frame,
)

UDP = TransportProtocol.UDP
PACKETS = {
    "ipv4": build_udp(
        Flow(UDP, Endpoint("192.0.2.1", 4), Endpoint("192.0.2.9", 53)),
        b"x",
        to_caller=False,
    ),
    "ipv6": build_udp(
        Flow(UDP, Endpoint("2001:db8::1", 4), Endpoint("2001:db8::9", 53)),
        b"x",
        to_caller=False,
    ),
}
REQUEST_ID = bytes(range(16))
REQUESTS = {
    "plain": None,
    "runs once": RequestMetadata(RequestKind.REQUEST, REQUEST_ID, False, 2_000),
    "repeatable": RequestMetadata(RequestKind.REQUEST, REQUEST_ID, True, 2**32 - 1),
    "last part": RequestMetadata(RequestKind.ANSWER, REQUEST_ID, False, 0, 6, 7),
    "refusal": RequestMetadata(RequestKind.NOT_RUN, REQUEST_ID, False, 1_000),
}
REQUEST = REQUESTS["runs once"]


@pytest.mark.parametrize("packet", PACKETS.values(), ids=PACKETS.keys())
@pytest.mark.parametrize("request_", REQUESTS.values(), ids=REQUESTS.keys())
def test_frame_is_decoded_as_it_was_encoded(packet, request_):
    frame = GeneveFrame(packet, request_)
    data = encode_frame(frame)
    assert decode_frame(data) == frame
    ethertype = struct.unpack_from("!H", data, 2)[0]
    assert ethertype == (0x0800 if packet is PACKETS["ipv4"] else 0x86DD)


FRAME = encode_frame(GeneveFrame(PACKETS["ipv4"], REQUEST))
OPTION_END = len(FRAME) - len(PACKETS["ipv4"])


def change(position, value):
    return FRAME[:position] + bytes([value]) + FRAME[position + 1 :]


MALFORMED = {
    "empty": b"",
    "short header": FRAME[:7],
    "version 1": change(0, 0x40 | FRAME[0]),
    "other protocol type": change(3, 0x06),
    "options past the end": change(0, 0x3F),
    "option past the options": change(11, 0x1F),
    "option too short": change(11, FRAME[11] - 1),
    "truncated in the option": FRAME[: OPTION_END - 1],
    "unknown kind": change(12, 99),
    "part beyond the count": change(15, 9),
}


@pytest.mark.parametrize("data", MALFORMED.values(), ids=MALFORMED.keys())
def test_malformed_frame_is_rejected(data):
    with pytest.raises(MalformedFrameError):
        decode_frame(data)


def test_option_of_another_class_is_skipped():
    other_option = struct.pack("!HBB", 0x0101, 7, 1) + b"abcd"
    header = bytes([FRAME[0] + 2]) + FRAME[1:8]
    frame = decode_frame(header + other_option + FRAME[8:])
    assert frame == GeneveFrame(PACKETS["ipv4"], REQUEST)


@settings(max_examples=500, derandomize=True, deadline=None, database=None)
@given(st.integers(0, len(FRAME) - 1), st.binary(min_size=1, max_size=6))
def test_random_and_mutated_frames_are_decoded_or_malformed(position, noise):
    for data in (noise * position, FRAME[:position] + noise + FRAME[position + 1 :]):
        try:
            decode_frame(data)
        except MalformedFrameError:
            continue
