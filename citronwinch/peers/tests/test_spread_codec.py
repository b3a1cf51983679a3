"""Tests of encoding and signing messages that spread the membership and the table."""

import pytest

from citronwinch.coordination import Endpoint, Instance, InstanceRole
from citronwinch.coordination.spread import (
    CHUNK_BYTES,
    MemberFact,
    MemberStatus,
    Probe,
    ProbeAnswer,
    ReplayWindow,
    TableChunk,
    TablePull,
)
from citronwinch.network import MalformedMessageError
from citronwinch.peers import (
    Envelope,
    KeyRing,
    decode_envelope,
    encode_envelope,
)

IPV4 = Instance("b-1", InstanceRole.BALANCER, "a", Endpoint("192.0.2.1", 1), region="r")
IPV6 = Instance("g-1", InstanceRole.AGENT, "b", Endpoint("2001:db8::1", 65_535))
FACTS = (
    MemberFact("b-1", 1 << 60, MemberStatus.LIVE, IPV4),
    MemberFact("g-1", 7, MemberStatus.LEAVING, IPV6),
    MemberFact("g-2", 0, MemberStatus.UNREACHABLE),
)
CHUNK = TableChunk(0, 2**63, b"12345678", "", 3, 4, bytes(CHUNK_BYTES))
MESSAGES = {
    "probe": Probe(1, b"12345678", 2, "", ()),
    "relayed probe with facts": Probe(2**32 - 1, b"", 2**32 - 1, "g-1", FACTS),
    "probe answer": ProbeAnswer(3, b"12345678", 4, FACTS),
    "pull": TablePull(5, "g-1", 6, (0, 7, 4_000)),
    "chunk": CHUNK,
}
KEYS = [bytes([number]) * 32 for number in range(3)]


def make_envelope(message, sequence=9):
    return Envelope("balancer-1", 1 << 60, sequence, 1 << 40, message)


@pytest.mark.parametrize("case", MESSAGES)
def test_message_is_decoded_as_it_was_encoded(case):
    envelope = make_envelope(MESSAGES[case])
    assert decode_envelope(encode_envelope(envelope)) == envelope


@pytest.mark.parametrize("case", MESSAGES)
def test_truncated_message_is_rejected(case):
    data = encode_envelope(make_envelope(MESSAGES[case]))
    for length in range(0, len(data), 8):
        with pytest.raises(MalformedMessageError):
            decode_envelope(data[:length])


@pytest.mark.parametrize("numbers", [(4, 4), (0, 0), (0, 5_000)])
def test_chunk_with_a_number_out_of_range_is_rejected(numbers):
    chunk = CHUNK._replace(number=numbers[0], chunk_count=numbers[1])
    with pytest.raises(MalformedMessageError):
        decode_envelope(encode_envelope(make_envelope(chunk)))


def test_signed_chunk_fits_a_datagram_that_is_not_fragmented():
    signed = KeyRing(KEYS[0], (KEYS[0],)).sign(
        encode_envelope(make_envelope(MESSAGES["chunk"]))
    )
    assert len(signed) <= 1_400


ROTATION = {
    "before": ((0, (0,)), (0, (0,))),
    "one accepts both": ((0, (0,)), (0, (0, 1))),
    "one signs with the new key": ((1, (1, 0)), (0, (0, 1))),
    "both sign with the new key": ((1, (1, 0)), (1, (1, 0))),
    "one has dropped the old key": ((1, (1,)), (1, (1, 0))),
}


@pytest.mark.parametrize("case", ROTATION)
def test_messages_are_accepted_in_every_step_of_a_key_rotation(case):
    rings = [
        KeyRing(KEYS[signing], tuple(KEYS[i] for i in accepted))
        for signing, accepted in ROTATION[case]
    ]
    data = encode_envelope(make_envelope(MESSAGES["probe"]))
    for sender, receiver in (rings, rings[::-1]):
        assert receiver.verify(sender.sign(data)) == data


def test_wrong_key_or_changed_byte_is_rejected():
    ring = KeyRing(KEYS[0], (KEYS[0], KEYS[1]))
    signed = ring.sign(b"level 7")
    assert KeyRing(KEYS[2], (KEYS[2],)).verify(signed) is None
    for i in range(len(signed)):
        changed = bytearray(signed)
        changed[i] ^= 1
        assert ring.verify(bytes(changed)) is None


def test_replayed_datagram_is_rejected_after_its_verification():
    ring, window = KeyRing(KEYS[0], (KEYS[0],)), ReplayWindow()
    datagrams = [
        ring.sign(encode_envelope(make_envelope(MESSAGES["probe"], number)))
        for number in (2, 1, 3, 2)
    ]
    outcomes = []
    for datagram in datagrams:
        envelope = decode_envelope(ring.verify(datagram) or b"")
        outcomes.append(
            window.accept(envelope.sender, envelope.incarnation, envelope.sequence)
        )
    assert outcomes == [True, True, True, False]
