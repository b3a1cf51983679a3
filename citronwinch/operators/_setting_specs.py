"""Reading settings from an INI file by their specs, collecting every problem."""

import re
from collections.abc import Callable
from typing import Any, NamedTuple

from citronwinch.operators._ini_file import IniFile
from citronwinch.operators._setting_values import SettingValueError

FOUND_LENGTH_LIMIT = 80
"""Longest part of a value that a message quotes, in characters."""

_KEY_DIGITS = re.compile("[0-9A-Fa-f]{16,}")


class SettingsProblem(NamedTuple):
    """One problem in a settings file."""

    file: str
    """The file's path as given by the caller."""

    line: int
    """The line number, 0 for a missing setting."""

    place: str
    """The section and key, such as `[listen] peers`."""

    found: str
    """The text in the file, truncated; `(hidden)` in place of a shared key."""

    expected: str
    """A description of the accepted values."""

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        return f"{place}: {self.place}: found {self.found!r}, expected {self.expected}"


class SettingSpec(NamedTuple):
    """Where one setting stands in the file and how its value is parsed."""

    section: str
    """The section's name."""

    key: str
    """The key within the section."""

    field: str
    """The settings attribute that holds the value, such as `Settings.peer_address`."""

    parse: Callable[[str], Any]
    """Parses the value; raises SettingValueError for an invalid one."""

    default: Any = ...
    """The value of an absent setting; an ellipsis for a required setting."""


def list_ini_problems(ini: IniFile, file: str) -> list[SettingsProblem]:
    """Return the INI problems of a file as settings problems."""
    return [
        SettingsProblem(file, problem.line, "file", problem.found, problem.expected)
        for problem in ini.problems
    ]


def redact_shared_keys(problem: SettingsProblem) -> SettingsProblem:
    """Hide digits that may be a shared key written into the wrong setting."""
    hidden = (_KEY_DIGITS.sub("(hidden)", text) for text in problem[2:])
    return SettingsProblem(problem.file, problem.line, *hidden)


def read_setting(
    spec: SettingSpec, ini: IniFile, file: str, problems: list[SettingsProblem]
) -> Any:
    """Return a setting's value; None if invalid, which is added to `problems`."""
    place = f"[{spec.section}] {spec.key}"
    raw = ini.values.get(spec.section, {}).get(spec.key)
    if raw is None:
        if spec.default is not ...:
            return spec.default
        problems.append(SettingsProblem(file, 0, place, "nothing", "a value"))
        return None
    try:
        return spec.parse(raw.strip())
    except SettingValueError as error:
        line = ini.find_line(spec.section, spec.key)
        shown = "(hidden)" if spec.section == "keys" else raw[:FOUND_LENGTH_LIMIT]
        problems.append(SettingsProblem(file, line, place, shown, str(error)))
        return None
