"""The Cap'n Proto schema and the encoder that all message types share."""

from functools import singledispatch
from pathlib import Path
from typing import Any

import capnp

capnp.remove_import_hook()
SCHEMA: Any = capnp.load(str(Path(__file__).with_name("envelope.capnp")))
"""The loaded schema of the envelope and of every message type in its union."""


@singledispatch
def fill_message(message: object, envelope_builder: Any) -> None:
    """Write a message into the union of an envelope builder.

    Each message type registers its own encoder with this function.
    """
    raise TypeError(f"no encoder is registered for {type(message).__name__}")
