"""How a table of settings is read from an INI file, with every mistake in it."""

import re
from collections.abc import Callable
from typing import Any, NamedTuple

from citronwinch.operators._ini_file import IniFile
from citronwinch.operators._setting_values import SettingValueError

FOUND_LENGTH_LIMIT = 80
"""The most characters of a value that a message shows."""

_KEY_DIGITS = re.compile("[0-9A-Fa-f]{16,}")


class SettingsProblem(NamedTuple):
    """One mistake in a settings file."""

    file: str
    """The file as it was named."""

    line: int
    """The line, 0 when something is missing."""

    place: str
    """Section and key."""

    found: str
    """What stands there."""

    expected: str
    """What should stand there."""

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        return f"{place}: {self.place}: found {self.found!r}, expected {self.expected}"


class SettingSpec(NamedTuple):
    """How one setting is read."""

    section: str
    """Its section."""

    key: str
    """Its key."""

    field: str
    """The attribute of `Settings` that it fills."""

    parse: Callable[[str], Any]
    """Reads the value, or raises with what was expected."""

    default: Any = ...
    """The value when it is absent; an ellipsis when it must be given."""


def list_ini_problems(ini: IniFile, file: str) -> list[SettingsProblem]:
    """Return the mistakes in the form of a file."""
    return [
        SettingsProblem(file, problem.line, "file", problem.found, problem.expected)
        for problem in ini.problems
    ]


def hide_keys(problem: SettingsProblem) -> SettingsProblem:
    """Hide what may be a shared key that stands in a wrong place."""
    hidden = (_KEY_DIGITS.sub("(hidden)", text) for text in problem[2:])
    return SettingsProblem(problem.file, problem.line, *hidden)


def read_setting(
    spec: SettingSpec, ini: IniFile, file: str, problems: list[SettingsProblem]
) -> Any:
    """Return a setting's value, None after a mistake, which is noted."""
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
