"""Reading of packed Cap'n Proto messages from untrusted bytes."""

from itertools import accumulate
from typing import Any

WORD_BYTES = 8
"""The size of a word, the unit of Cap'n Proto messages, in bytes."""

NUMBER_BYTES = 4
"""The size of a number in the table of segments, in bytes."""

ZERO_RUN_TAG = 0
"""The tag of a word of zeros that is followed by a number of further ones."""

PLAIN_RUN_TAG = 0xFF
"""The tag of a whole word that is followed by a run of words without tags."""

MAX_SEGMENTS = 512
"""The most segments that the library reads."""

DEFAULT_MAX_WORDS = 8 << 20
"""The most words of a message if the caller sets no limit."""


def read_packed_message(
    message_type: Any, data: bytes, max_words: int = DEFAULT_MAX_WORDS
) -> Any:
    """Return a reader of a packed message.

    Raise ValueError or `capnp.KjException` if the message is malformed or has more than
    `max_words` words.

    The library reads a message of one segment at once. It reads several segments as
    they are used, and the rest when the message is freed; an error at that time ends
    the process. Whether they are all there is therefore checked first.
    """
    if _has_several_segments(data):
        check_segments(data, max_words)
    return message_type.from_bytes_packed(data, traversal_limit_in_words=max_words)


def _has_several_segments(data: bytes) -> bool:
    """Return whether the first 4 bytes, the number of further segments, are not 0."""
    return bool(data) and bool(data[0] & 0x0F)


def check_segments(data: bytes, max_words: int) -> None:
    """Raise ValueError unless a packed message has all the words of its segments.

    Neither the table of segments nor a segment may end within a run.
    """
    ends = _read_segment_ends(data)
    if ends[-1] > max_words:
        raise ValueError(f"expected at most {max_words} words, found {ends[-1]}")
    size = len(data)
    position = words = 0
    for end in ends:
        while words < end:
            tag = data[position] if position < size else ZERO_RUN_TAG
            words, position = words + 1, position + 1 + tag.bit_count()
            if tag in (ZERO_RUN_TAG, PLAIN_RUN_TAG):
                run = data[position] if position < size else 0
                position += 1 + (WORD_BYTES * run if tag else 0)
                words += run
            if position > size:
                raise ValueError(
                    f"expected {ends[-1]} words in the packed message, found its end "
                    f"after {words}"
                )
        if words > end:
            raise ValueError(f"expected a segment up to word {end}, found a run there")


def _read_segment_ends(data: bytes) -> list[int]:
    """Return the words at which the table and each segment of a message end.

    The message begins with a table of little-endian numbers of 4 bytes, filled up to
    whole words: the number of segments less one, then the length of each in words.

    Example::

        >>> _read_segment_ends(bytes.fromhex("1101020103"))
        [2, 4, 7]
    """
    table = _unpack_start(data, WORD_BYTES)
    segments = int.from_bytes(table[:NUMBER_BYTES], "little") + 1
    if segments > MAX_SEGMENTS:
        raise ValueError(f"expected at most {MAX_SEGMENTS} segments, found {segments}")
    table_words = segments // 2 + 1
    table = _unpack_start(data, WORD_BYTES * table_words)
    starts = range(NUMBER_BYTES, NUMBER_BYTES * (segments + 1), NUMBER_BYTES)
    lengths = [
        int.from_bytes(table[start : start + NUMBER_BYTES], "little")
        for start in starts
    ]
    return list(accumulate([table_words, *lengths]))


def _unpack_start(data: bytes, size: int) -> bytes:
    """Return the first bytes of a packed message; raise ValueError if it has fewer."""
    unpacked = bytearray()
    position = 0
    while len(unpacked) < size and position < len(data):
        tag = data[position]
        position += 1
        for place in range(WORD_BYTES):
            is_set = bool(tag >> place & 1)
            unpacked += data[position : position + 1] if is_set else b"\0"
            position += is_set
        if tag in (ZERO_RUN_TAG, PLAIN_RUN_TAG):
            run_bytes = WORD_BYTES * int.from_bytes(data[position : position + 1])
            position += 1
            if tag == ZERO_RUN_TAG:
                unpacked += bytes(run_bytes)
            else:
                unpacked += data[position : position + run_bytes]
                position += run_bytes
    if len(unpacked) < size:
        raise ValueError(
            f"expected a table of segments of {size} bytes, found {len(unpacked)}"
        )
    return bytes(unpacked[:size])
