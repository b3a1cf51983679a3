"""Handover messages are decoded as they were encoded; malformed ones are rejected.

A malformed flow key that got through would end the agent that unpacks it later.
"""

import random

import pytest

from citronwinch.coordination import FlowKey
from citronwinch.coordination.steering import (
    FlowsQuery,
    FlowTransfer,
    FlowTransferAck,
    FlowTransferEnd,
    TransferredFlow,
)
from citronwinch.coordination.steering._flow_handover import TRANSFER_FLOWS
from citronwinch.network import MalformedMessageError
from citronwinch.peers import Envelope, decode_envelope, encode_envelope

V4 = FlowKey(bytes([17, *range(12)]))
V6 = FlowKey(bytes([6, *range(36)]))
TRANSFER = FlowTransfer(
    "gauging-1",
    1 << 60,
    3,
    250,
    "gauging",
    "127.0.0.1 127.0.0.1:10",
    (("gauging-2", 1 << 61), ("gauging-3", 5)),
    1,
    2,
    (TransferredFlow(V4, 1 << 60, 65_535), TransferredFlow(V6)),
)
DATAGRAM_LIMIT_BYTES = 1_400

MESSAGES = [
    TRANSFER,
    FlowTransfer("gauging-1", 0, 0),
    FlowTransferAck(3, 1, 1 << 60),
    FlowTransferEnd(1 << 60, 3, True),
    FlowTransferEnd(1 << 60, 0, False),
    FlowsQuery(1 << 60),
    FlowsQuery(1 << 60, 4_095),
]
MALFORMED = {
    "short key": TRANSFER._replace(flows=(TransferredFlow(FlowKey(b"short")),)),
    "protocol": TRANSFER._replace(flows=(TransferredFlow(FlowKey(bytes(13))),)),
    "part beyond the count": TRANSFER._replace(part=2),
}


def encode(message):
    return encode_envelope(Envelope("gauging-1", 1, 2, 3, message))


@pytest.mark.parametrize("message", MESSAGES, ids=lambda case: type(case).__name__)
def test_message_is_decoded_as_it_was_encoded(message):
    assert decode_envelope(encode(message)).message == message


@pytest.mark.parametrize("message", MESSAGES, ids=lambda case: type(case).__name__)
def test_truncated_message_is_rejected(message):
    encoded = encode(message)
    with pytest.raises(MalformedMessageError):
        decode_envelope(encoded[: len(encoded) // 2])


@pytest.mark.parametrize("message", MALFORMED.values(), ids=MALFORMED)
def test_malformed_transfer_is_rejected(message):
    with pytest.raises(MalformedMessageError):
        decode_envelope(encode(message))


def test_full_part_of_ipv6_flows_fits_one_frame():
    """Packed messages of incompressible keys and numbers are the longest."""
    rng = random.Random(1)
    flows = tuple(
        TransferredFlow(
            FlowKey(bytes([17]) + rng.randbytes(36)),
            rng.getrandbits(63),
            rng.randrange(1, 65_536),
        )
        for _ in range(TRANSFER_FLOWS)
    )
    assert len(encode(TRANSFER._replace(flows=flows))) <= DATAGRAM_LIMIT_BYTES
