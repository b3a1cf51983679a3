"""Operators as a peer: the table, settings, metrics and logs."""

from citronwinch.operators._logging import configure_logging
from citronwinch.operators._metrics import MetricKey, Metrics
from citronwinch.operators._settings import (
    SETTING_SPECS,
    Settings,
    SettingsProblem,
    parse_settings,
)
from citronwinch.operators._table_csv import (
    COLUMNS,
    TableProblem,
    find_conflicts,
    format_table,
    parse_table,
)

__all__ = [
    "COLUMNS",
    "MetricKey",
    "Metrics",
    "SETTING_SPECS",
    "Settings",
    "SettingsProblem",
    "TableProblem",
    "configure_logging",
    "find_conflicts",
    "format_table",
    "parse_settings",
    "parse_table",
]
