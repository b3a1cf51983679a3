"""Tests of encoding envelopes and of signing them with rotated keys."""

from typing import Any

import pytest
from hypothesis import example, given, settings, strategies as st

from citronwinch.coordination import Endpoint, Flow, TransportProtocol
from citronwinch.coordination.requests import RequestKind, RequestMetadata
from citronwinch.coordination.steering import Forward, Hint
from citronwinch.network import MalformedMessageError
from citronwinch.peers import (
    Envelope,
    KeyRing,
    decode_envelope,
    encode_envelope,
)

IPV4 = Flow(
    TransportProtocol.UDP, Endpoint("192.0.2.1", 4000), Endpoint("192.0.2.9", 53)
)
IPV6 = Flow(
    TransportProtocol.TCP, Endpoint("2001:db8::1", 4), Endpoint("2001:db8::9", 53)
)
REQUEST = RequestMetadata(RequestKind.REQUEST, bytes(range(16)), True, 250)

MESSAGES: dict[str, Any] = {
    "forward": Forward(IPV4.key, "gauging", b"packet", "balancer-1", 2, True, True),
    "empty packet": Forward(IPV4.key, "gauging", b"", "balancer-1"),
    "ipv6": Forward(IPV6.key, "gauging", b"p" * 9000, "balancer-1", opens=True),
    "request": Forward(IPV4.key, "dock", b"packet", "balancer-1", request=REQUEST),
    "hint": Hint(IPV4.key, "gauging-1"),
    "no owner": Hint(IPV6.key, ""),
}


@pytest.fixture(params=MESSAGES)
def envelope(request):
    return Envelope("balancer-1", 2**63, 7, 2**40, MESSAGES[request.param])


def test_envelope_is_decoded_as_it_was_encoded(envelope):
    for sequence in (1, 2):
        numbered = envelope._replace(sequence=sequence)
        assert decode_envelope(encode_envelope(numbered)) == numbered


def test_packets_with_a_shared_header_keep_their_own_flow_and_sequence():
    first = Envelope("balancer-1", 1, 1, 1, MESSAGES["forward"])
    message = MESSAGES["forward"]._replace(flow=IPV6.key, packet=b"other")
    second = Envelope("balancer-1", 1, 2, 5, message)
    decoded = [
        decode_envelope(encode_envelope(envelope)) for envelope in (first, second)
    ]
    assert decoded == [first, second]


def test_forward_fields_outside_the_header_have_the_positions_that_the_encoder_slices():
    positions = [Forward._fields.index(name) for name in ("flow", "packet", "request")]
    assert positions == [0, 2, 7]


def test_truncated_envelope_is_malformed_unless_only_its_packet_is_shorter(envelope):
    data = encode_envelope(envelope)
    for length in range(len(data) - len(getattr(envelope.message, "packet", b""))):
        with pytest.raises(MalformedMessageError):
            decode_envelope(data[:length])


SAMPLES = [encode_envelope(Envelope("b-1", 1, 2, 3, m)) for m in MESSAGES.values()]


@settings(max_examples=1_500, derandomize=True, deadline=None, database=None)
@given(st.sampled_from(SAMPLES), st.integers(0, 400), st.binary(min_size=1, max_size=8))
@example(SAMPLES[0], 0, b"")
def test_mutated_envelope_is_decoded_or_malformed(sample, position, noise):
    position %= len(sample)
    for data in (
        noise,
        sample[:position] + noise,
        sample[:position] + noise + sample[position + len(noise) :],
    ):
        try:
            decode_envelope(data)
        except MalformedMessageError:
            continue


def test_old_and_new_key_are_accepted_during_a_rotation():
    old, new, unknown = (bytes([i]) * 32 for i in range(3))
    rotating = KeyRing(new, (new, old))
    assert rotating.verify(KeyRing(old, (old,)).sign(b"data")) == b"data"
    assert rotating.verify(rotating.sign(b"data")) == b"data"
    for datagram in (KeyRing(unknown, (unknown,)).sign(b"data"), b"", b"x" * 15):
        assert rotating.verify(datagram) is None
