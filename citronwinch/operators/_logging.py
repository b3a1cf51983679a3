"""Configuration of structured logging."""

from __future__ import annotations

import sys
from typing import TextIO

import structlog

from citronwinch.operators._lossy_stream import LossyStream


def configure_logging(log_format: str, stream: TextIO | None = None) -> None:
    """Write log lines as JSON or text to a stream, by default standard error."""
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
