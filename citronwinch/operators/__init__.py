"""Interfaces for operators: the table as CSV, settings, metrics and logs."""

from citronwinch.operators._ini_file import parse_ini
from citronwinch.operators._logging import configure_logging
from citronwinch.operators._metric_help import METRIC_HELP
from citronwinch.operators._metrics import MetricKey, Metrics
from citronwinch.operators._objectives import Objective
from citronwinch.operators._process_log import process_log
from citronwinch.operators._service_levels import (
    SLOT_MS,
    ObjectiveOutcome,
    ServiceLevels,
)
from citronwinch.operators._setting_specs import (
    SettingSpec,
    SettingsProblem,
    list_ini_problems,
    read_setting,
)
from citronwinch.operators._setting_values import (
    SettingValueError,
    parse_endpoint,
    parse_endpoints,
    parse_ip,
    parse_name,
    parse_number,
    parse_role,
)
from citronwinch.operators._settings import (
    SETTING_SPECS,
    Settings,
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
    "SETTING_SPECS",
    "SLOT_MS",
    "ObjectiveOutcome",
    "ServiceLevels",
    "Settings",
    "SettingsProblem",
    "TableProblem",
    "configure_logging",
    "decode_table",
    "SettingSpec",
    "SettingValueError",
    "find_conflicts",
    "list_ini_problems",
    "parse_endpoint",
    "parse_endpoints",
    "parse_ini",
    "parse_ip",
    "parse_name",
    "parse_number",
    "parse_role",
    "read_setting",
    "format_table",
    "parse_settings",
    "parse_table",
    "process_log",
]
