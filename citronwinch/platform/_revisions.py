"""Reads the revisions and eras of the store within the range of the messages."""

from typing import Any

MAX_REVISION = 0xFFFFFFFFFFFFFFFF
"""The largest revision that the messages between processes can hold."""

MAX_ERA = 0xFFFFFFFF
"""The largest era that they can hold."""

_MAX_ERA_DIGITS = 10
"""The most digits of an era."""


def parse_revision(value: Any) -> int:
    """Return a revision of the store; raise ValueError or TypeError otherwise.

    Example::

        >>> parse_revision(7)
        7
    """
    revision = int(value)
    if not 0 <= revision <= MAX_REVISION:
        raise ValueError(
            f"revision: expected a whole number from 0 to {MAX_REVISION}, "
            f"found {value!r:.40}"
        )
    return revision


def parse_era(text: str) -> int:
    """Return an era of the store; raise ValueError if the text is not one.

    Example::

        >>> parse_era("2")
        2
    """
    is_number = text.isascii() and text.isdigit() and len(text) <= _MAX_ERA_DIGITS
    if not is_number or int(text) > MAX_ERA:
        raise ValueError(
            f"expected a whole number from 0 to {MAX_ERA}, found {text!r:.40}"
        )
    return int(text)
