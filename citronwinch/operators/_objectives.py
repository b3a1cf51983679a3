"""Service-level objectives, one settings section for each service.

Example::

    [objective gauging]
    unbroken_flows_percent = 99.99
    answered_in_time_percent = 99.9
    answer_time_ms = 500
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from citronwinch.operators._setting_values import parse_number, parse_percent

OBJECTIVE_PREFIX = "objective "
"""The start of the name of a section with objectives; the service follows."""


class Objective(NamedTuple):
    """What one service promises."""

    service: str
    """The service's name."""

    unbroken_flows_percent: float | None = None
    """The share of established flows that are not broken; None without a promise."""

    answered_in_time_percent: float | None = None
    """The share of requests that are answered in time; None without a promise."""

    answer_time_ms: int | None = None
    """How long an answer may take; None: until the request's own deadline."""


OBJECTIVE_KEYS: dict[str, Callable[[str], Any]] = {
    "unbroken_flows_percent": parse_percent,
    "answered_in_time_percent": parse_percent,
    "answer_time_ms": parse_number(1, 3_600_000, "milliseconds"),
}
"""The keys of an objective section and how they are read."""
