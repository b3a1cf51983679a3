"""Steering messages are decoded as they were encoded; truncated ones are rejected."""

import pytest

from citronwinch.coordination import FlowKey
from citronwinch.coordination.steering import (
    Forward,
    Hint,
    LeaseAnswer,
    LeaseRequest,
    MemberSilent,
    Probe,
    Query,
    QueryAnswer,
    Register,
    RegisterAck,
)
from citronwinch.network import MalformedMessageError
from citronwinch.peers import (
    Envelope,
    decode_envelope,
    encode_envelope,
)
from citronwinch.peers._steering_codec import unpack_flow_keys

V4 = FlowKey(bytes([17, *range(12)]))
V6 = FlowKey(bytes([6, *range(36)]))

MESSAGES = [
    Forward(V4, "gauging", b"packet", "balancer-1"),
    Forward(
        V6,
        "gauging",
        b"packet",
        "balancer-1",
        hops=3,
        opens=True,
        pinned=True,
        ends=True,
        decider="gauging-1",
        decision=1 << 60,
        revision=7,
        declined=("gauging-2", "gauging-3"),
    ),
    Forward(V4, "gauging", b"", "balancer-1", declined=("gauging-2",)),
    Hint(V4, "gauging-1"),
    Hint(V6, ""),
    LeaseRequest("gauging", 7, 123, True, 1 << 60),
    LeaseAnswer("gauging", 7, 123, False),
    LeaseAnswer(
        "gauging", 7, 123, True, True, True, True, True, ("a", "b"), ("c",), True
    ),
    Register("gauging", 1 << 60, (V4, V6), (V6,)),
    Register("gauging", 5, ()),
    RegisterAck(1 << 60),
    Query("gauging", V4, 7),
    QueryAnswer(V6, 7, "gauging-1"),
    QueryAnswer(V4, 7, "gauging-1", 30_000),
    Probe(True),
    MemberSilent("gauging-1"),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda case: type(case).__name__)
def test_message_is_decoded_as_it_was_encoded(message):
    envelope = Envelope("gauging-2", 1, 2, 3, message)
    assert decode_envelope(encode_envelope(envelope)) == envelope


@pytest.mark.parametrize("message", MESSAGES, ids=lambda case: type(case).__name__)
def test_truncated_message_is_rejected(message):
    encoded = encode_envelope(Envelope("gauging-2", 1, 2, 3, message))
    with pytest.raises(MalformedMessageError):
        decode_envelope(encoded[: len(encoded) // 2])


@pytest.mark.parametrize("data", [b"\x0d", b"\x0dshort", b"\x01a\x05b"])
def test_truncated_flow_keys_are_rejected(data):
    with pytest.raises(ValueError, match="past the end"):
        unpack_flow_keys(data)
