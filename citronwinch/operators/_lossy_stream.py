"""A stream for log lines that never blocks."""

import contextlib
import os
import stat
from typing import TextIO


class LossyStream:
    """Writes to a stream without blocking, dropping lines that it does not accept.

    A daemon must neither wait for the process that reads its log lines nor fail when
    that process ends. Whole lines are dropped while a pipe is full.
    """

    def __init__(self, stream: TextIO) -> None:
        self.stream = stream
        self.unwritten = b""
        self.dropped_lines = 0
        try:
            self.pipe_descriptor: int | None = stream.fileno()
            if stat.S_ISFIFO(os.fstat(self.pipe_descriptor).st_mode):
                os.set_blocking(self.pipe_descriptor, False)
            else:
                self.pipe_descriptor = None
        except (OSError, ValueError, AttributeError):
            self.pipe_descriptor = None

    def write(self, text: str) -> int:
        """Write text, or drop it if the stream does not accept it."""
        if self.pipe_descriptor is None:
            with contextlib.suppress(OSError, ValueError):
                self.stream.write(text)
        else:
            self._write_to_pipe(text.encode())
        return len(text)

    def _write_to_pipe(self, data: bytes) -> None:
        assert self.pipe_descriptor is not None
        try:
            # Completes a line that the pipe accepted in part when it became full.
            while self.unwritten:
                self.unwritten = self.unwritten[
                    os.write(self.pipe_descriptor, self.unwritten) :
                ]
            self.unwritten = data[os.write(self.pipe_descriptor, data) :]
        except BlockingIOError:
            self.dropped_lines += data.count(b"\n")
        except OSError:
            self.unwritten = b""

    def flush(self) -> None:
        """Flush the stream; errors of a closed stream are ignored."""
        with contextlib.suppress(OSError, ValueError):
            self.stream.flush()
