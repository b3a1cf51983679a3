"""Log lines for changes of state."""

import contextlib
import sys
from typing import TextIO

import structlog


class LossyStream:
    """Writes to a stream, and drops what the stream does not take.

    A daemon outlives whatever reads its log lines.
    """

    def __init__(self, stream: TextIO) -> None:
        self.stream = stream

    def write(self, text: str) -> int:
        """Write text if the stream takes it."""
        with contextlib.suppress(OSError, ValueError):
            self.stream.write(text)
        return len(text)

    def flush(self) -> None:
        """Flush the stream if it is still there."""
        with contextlib.suppress(OSError, ValueError):
            self.stream.flush()


def configure_logging(log_format: str, stream: TextIO | None = None) -> None:
    """Send log lines to a stream, by default standard error, as JSON or text."""
    renderer: structlog.typing.Processor = (
        structlog.processors.JSONRenderer()
        if log_format == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        logger_factory=structlog.WriteLoggerFactory(
            file=LossyStream(stream or sys.stderr),  # type: ignore[arg-type]
        ),
    )
