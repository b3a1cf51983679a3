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
"""Prefix of the section names of objectives; the service's name follows."""


class Objective(NamedTuple):
    """The service-level objectives of one service."""

    service: str
    """The service's name."""

    unbroken_flows_percent: float | None = None
    """Target share of established flows that do not break; None without a target."""

    answered_in_time_percent: float | None = None
    """Target share of requests that are answered in time; None without a target."""

    answer_time_ms: int | None = None
    """Time limit of an answer; None to use the request's own deadline."""


OBJECTIVE_KEYS: dict[str, Callable[[str], Any]] = {
    "unbroken_flows_percent": parse_percent,
    "answered_in_time_percent": parse_percent,
    "answer_time_ms": parse_number(1, 3_600_000, "milliseconds"),
}
"""Parser of each key in an objective section."""
