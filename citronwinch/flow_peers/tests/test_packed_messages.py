"""Packed messages that are cut off, or claim more than they hold.

Guards against messages of several segments at whose release the Cap'n Proto library
ended the process, since it read the missing segments only then.
"""

import random

import capnp
import pytest

from citronwinch.flow_peers._schema import MAX_MESSAGE_WORDS, SCHEMA
from citronwinch.network import read_packed_message


def pack_names(names: list[str]) -> bytes:
    """Return a packed message with some texts, in several segments if they are many."""
    builder = SCHEMA.FlowMessage.new_message()
    builder.knownBalancers = names
    packed: bytes = builder.to_bytes_packed()
    return packed


def read_names(packed: bytes, max_words: int = MAX_MESSAGE_WORDS) -> list[str]:
    reader = read_packed_message(SCHEMA.FlowMessage, packed, max_words)
    return list(reader.knownBalancers)


@pytest.mark.parametrize("count", [0, 1, 500, 4_000], ids="{} names".format)
def test_a_packed_message_is_read(count: int) -> None:
    names = [f"name {number}" for number in range(count)]
    packed = pack_names(names)
    assert read_names(packed) == names


# This datagram ended the process with SIGABRT.
def test_a_message_that_lacks_a_segment_is_rejected() -> None:
    packed = bytes.fromhex("01075001010103500101f30101ffffffff1101")
    with pytest.raises((ValueError, capnp.KjException)):
        read_names(packed)


@pytest.mark.parametrize("max_words", [100, MAX_MESSAGE_WORDS])
def test_mutated_messages_of_several_segments_raise_only_declared_errors(
    max_words: int,
) -> None:
    rng = random.Random(53)
    packed = pack_names([f"name {number}" for number in range(1_500)])
    assert packed[0] & 0x0F
    for _ in range(300):
        data = bytearray(packed)
        for _ in range(rng.randint(0, 4)):
            data[rng.randrange(min(len(data), 200))] = rng.randrange(256)
        cut = bytes(data[: rng.randint(1, len(data))])
        try:
            read_names(cut, max_words)
        except (ValueError, capnp.KjException):
            continue
