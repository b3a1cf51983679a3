"""INI text with the line of each key, and every mistake in its form."""

import configparser
import re
from typing import NamedTuple

_SECTION = re.compile(r"\[([^\]]*)\]")


class IniProblem(NamedTuple):
    """One mistake in the form of INI text."""

    line: int
    """The line."""

    found: str
    """What stands there; a line that may hold a secret is not shown."""

    expected: str
    """What should stand there."""


class IniFile(NamedTuple):
    """The sections of INI text."""

    values: dict[str, dict[str, str]]
    """The values by section and key."""

    lines: dict[tuple[str, str], int]
    """The line of each section (with an empty key) and each key."""

    problems: list[IniProblem]
    """The mistakes in its form."""

    def find_line(self, section: str, key: str = "") -> int:
        """Return the line of a key or section, 0 when it is absent."""
        return self.lines.get((section, key), 0)


def parse_ini(text: str) -> IniFile:
    """Return the sections of INI text, whatever is wrong with some of its lines."""
    lines, problems, kept = _scan(text)
    parser = configparser.ConfigParser(
        interpolation=None, strict=False, default_section="\0"
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string("\n".join(kept))
    except configparser.ParsingError as error:
        for number, _ in error.errors:
            problems.append(IniProblem(number, "a line without =", "key = value"))
    except configparser.Error:
        problems.append(IniProblem(0, "unreadable text", "well-formed INI"))
    values = {name: dict(parser[name]) for name in parser.sections()}
    return IniFile(values, lines, sorted(problems))


def _scan(
    text: str,
) -> tuple[dict[tuple[str, str], int], list[IniProblem], list[str]]:
    """Return the line numbers, the repetitions, and the lines that are usable."""
    lines: dict[tuple[str, str], int] = {}
    problems: list[IniProblem] = []
    kept: list[str] = []
    section: str | None = None
    for number, line in enumerate(text.split("\n"), 1):
        stripped = line.strip()
        header = _SECTION.match(stripped)
        is_content = bool(stripped) and stripped[0] not in "#;"
        if header is not None:
            section, key = header[1], ""
        elif is_content and section is None:
            problems.append(IniProblem(number, "a line", "a [section] above it"))
            kept.append("")
            continue
        else:
            key = re.split("[=:]", stripped, maxsplit=1)[0].strip()
        kept.append(line)
        is_key = is_content and re.search("[=:]", stripped) and not line[:1].isspace()
        if header is None and not is_key:
            continue
        first = lines.setdefault((section or "", key), number)
        if first != number:
            found = f"[{section}] {key}".strip()
            expected = f"each once (also in line {first})"
            problems.append(IniProblem(number, found, expected))
    return lines, problems, kept
