"""Operators as a peer: the table, settings, metrics and logs."""

from citronwinch.operators._logging import configure_logging
from citronwinch.operators._metric_help import METRIC_HELP
from citronwinch.operators._metrics import MetricKey, Metrics
from citronwinch.operators._objectives import Objective
from citronwinch.operators._service_levels import (
    SLOT_MS,
    Outcome,
    ServiceLevels,
)
from citronwinch.operators._settings import (
    SETTING_SPECS,
    Settings,
    SettingsProblem,
    parse_settings,
)
from citronwinch.operators._table_conflicts import TableProblem, find_conflicts
from citronwinch.operators._table_csv import (
    COLUMNS,
    decode_table,
    format_table,
    parse_table,
)

__all__ = [
    "COLUMNS",
    "METRIC_HELP",
    "MetricKey",
    "Metrics",
    "Objective",
    "Outcome",
    "SETTING_SPECS",
    "SLOT_MS",
    "ServiceLevels",
    "Settings",
    "SettingsProblem",
    "TableProblem",
    "configure_logging",
    "decode_table",
    "find_conflicts",
    "format_table",
    "parse_settings",
    "parse_table",
]
