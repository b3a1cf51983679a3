"""Interfaces for operators: the table as CSV, settings, metrics and logs."""

from typing import TYPE_CHECKING

from citronwinch._deferred_imports import import_names_on_demand

if TYPE_CHECKING:
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
else:
    # Each program uses a part of this package. A balancer or agent that starts imports
    # neither the table nor the other programs' settings.
    __getattr__ = import_names_on_demand(
        __name__,
        {
            "COLUMNS": "_table_csv",
            "METRIC_HELP": "_metric_help",
            "process_log": "_process_log",
            "MetricKey": "_metrics",
            "Metrics": "_metrics",
            "Objective": "_objectives",
            "ObjectiveOutcome": "_service_levels",
            "SETTING_SPECS": "_settings",
            "SLOT_MS": "_service_levels",
            "ServiceLevels": "_service_levels",
            "SettingSpec": "_setting_specs",
            "SettingValueError": "_setting_values",
            "Settings": "_settings",
            "SettingsProblem": "_setting_specs",
            "TableProblem": "_table_conflicts",
            "configure_logging": "_logging",
            "decode_table": "_table_csv",
            "find_conflicts": "_table_conflicts",
            "format_table": "_table_csv",
            "list_ini_problems": "_setting_specs",
            "parse_endpoint": "_setting_values",
            "parse_endpoints": "_setting_values",
            "parse_ini": "_ini_file",
            "parse_ip": "_setting_values",
            "parse_name": "_setting_values",
            "parse_number": "_setting_values",
            "parse_role": "_setting_values",
            "parse_settings": "_settings",
            "parse_table": "_table_csv",
            "read_setting": "_setting_specs",
        },
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
