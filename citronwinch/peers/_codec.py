"""What the encodings of all kinds of messages have in common."""

from functools import singledispatch
from pathlib import Path
from typing import Any

import capnp

capnp.remove_import_hook()
SCHEMA: Any = capnp.load(str(Path(__file__).with_name("envelope.capnp")))
"""The loaded schema of the envelope and all messages in it."""


@singledispatch
def fill_message(message: object, envelope: Any) -> None:
    """Write a message into the union of an envelope builder.

    Each kind of message registers its own encoding here.
    """
    raise TypeError(f"no encoding for {type(message).__name__}")
