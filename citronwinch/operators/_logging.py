"""Log lines for changes of state."""

import sys

import structlog


def configure_logging(log_format: str) -> None:
    """Send log lines to standard error as JSON or for a console."""
    renderer: structlog.typing.Processor = (
        structlog.processors.JSONRenderer()
        if log_format == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
    )
