"""Log lines for changes of state."""

import contextlib
import os
import stat
import sys
from typing import TextIO

import structlog


class LossyStream:
    """Writes to a stream, and drops what the stream does not take.

    A daemon outlives whatever reads its log lines, and never waits for it: a pipe that
    is full loses whole lines.
    """

    def __init__(self, stream: TextIO) -> None:
        self.stream = stream
        self.rest = b""
        self.lost_lines = 0
        try:
            self.descriptor: int | None = stream.fileno()
            if stat.S_ISFIFO(os.fstat(self.descriptor).st_mode):
                os.set_blocking(self.descriptor, False)
            else:
                self.descriptor = None
        except (OSError, ValueError, AttributeError):
            self.descriptor = None

    def write(self, text: str) -> int:
        """Write text if the stream takes it."""
        if self.descriptor is None:
            with contextlib.suppress(OSError, ValueError):
                self.stream.write(text)
        else:
            self._write_to_pipe(text.encode())
        return len(text)

    def _write_to_pipe(self, data: bytes) -> None:
        assert self.descriptor is not None
        try:
            # What a full pipe took in part has to be completed first.
            while self.rest:
                self.rest = self.rest[os.write(self.descriptor, self.rest) :]
            self.rest = data[os.write(self.descriptor, data) :]
        except BlockingIOError:
            self.lost_lines += data.count(b"\n")
        except OSError:
            self.rest = b""

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
