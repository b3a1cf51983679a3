"""JSON log lines of balancers and agents.

The lines are those that structlog writes as configured by `configure_logging`. Its
import takes much of the time until a process handles its first packet.
"""

import json
import sys
import time
import traceback
from typing import TextIO

from citronwinch.operators._lossy_stream import LossyStream


class ProcessLog:
    """Writes events as JSON lines, to standard output unless configured otherwise."""

    def __init__(self) -> None:
        self.stream: LossyStream | None = None

    def write_to(self, stream: TextIO) -> None:
        """Write lines to a stream from now on."""
        self.stream = LossyStream(stream)

    def info(self, event: str, **fields: object) -> None:
        """Write a line about an expected event."""
        self._write("info", event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Write a line about an event that operators should know of."""
        self._write("warning", event, fields)

    def exception(self, event: str, **fields: object) -> None:
        """Write a line with the exception that is being handled."""
        fields["exception"] = traceback.format_exc().rstrip("\n")
        self._write("error", event, fields)

    def _write(self, level: str, event: str, fields: dict[str, object]) -> None:
        now_us = time.time_ns() // 1_000
        second = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(now_us // 1_000_000))
        line = fields | {
            "event": event,
            "level": level,
            "timestamp": f"{second}.{now_us % 1_000_000:06d}Z",
        }
        text = json.dumps(line, default=repr) + "\n"
        stream = self.stream or LossyStream(sys.stdout)
        stream.write(text)
        stream.flush()


process_log = ProcessLog()
"""The log of this process."""
