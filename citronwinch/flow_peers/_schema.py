"""The Cap'n Proto schema of messages and views."""

from pathlib import Path
from typing import Any

import capnp

MAX_MESSAGE_WORDS = 1 << 20
"""The most 8-byte words that a decoded message may hold."""


class Schema:
    """The schema of the messages, which is loaded at the first use of a type."""

    def __getattr__(self, name: str) -> Any:
        capnp.remove_import_hook()
        schema = capnp.load(str(Path(__file__).with_name("flows.capnp")))
        self.__dict__ |= {
            "Configuration": schema.Configuration,
            "FlowMessage": schema.FlowMessage,
            "View": schema.View,
        }
        return getattr(schema, name)


SCHEMA: Any = Schema()
"""The schema of the messages."""
