"""Parsing INI text, with the line number of each key and every syntax problem."""

import configparser
import re
from typing import NamedTuple

_SECTION = re.compile(r"\[([^\]]*)\]")


class IniProblem(NamedTuple):
    """A syntax error, or a section or key that occurs twice."""

    line: int
    """The line number, 0 for the whole text."""

    found: str
    """The repeated name, or a description of the line without its text.

    The text may be a secret.
    """

    expected: str
    """A description of the accepted text."""


class IniFile(NamedTuple):
    """The values of INI text with their positions."""

    values: dict[str, dict[str, str]]
    """The text of each value, by section and key."""

    lines: dict[tuple[str, str], int]
    """Line numbers by section and key; the key of a section header is empty."""

    problems: list[IniProblem]
    """All syntax errors and repetitions, in the order of their lines."""

    def find_line(self, section: str, key: str = "") -> int:
        """Return the line number of a key or section, 0 if absent."""
        return self.lines.get((section, key), 0)


def parse_ini(text: str) -> IniFile:
    """Parse INI text; an error in a line does not stop the parsing of other lines."""
    lines, problems, usable_lines = _scan_lines(text)
    parser = configparser.ConfigParser(
        interpolation=None, strict=False, default_section="\0"
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string("\n".join(usable_lines))
    except configparser.ParsingError as error:
        for line_number, _ in error.errors:
            problems.append(IniProblem(line_number, "a line without =", "key = value"))
    except configparser.Error:
        problems.append(IniProblem(0, "unreadable text", "well-formed INI"))
    values = {name: dict(parser[name]) for name in parser.sections()}
    return IniFile(values, lines, sorted(problems))


def _scan_lines(
    text: str,
) -> tuple[dict[tuple[str, str], int], list[IniProblem], list[str]]:
    """Return line numbers, problems, and the lines for the parser.

    The lines for the parser keep their numbers: a line outside all sections is
    replaced by an empty one.
    """
    lines: dict[tuple[str, str], int] = {}
    problems: list[IniProblem] = []
    usable_lines: list[str] = []
    section: str | None = None
    for line_number, line in enumerate(text.split("\n"), 1):
        stripped = line.strip()
        section_match = _SECTION.match(stripped)
        is_content = bool(stripped) and stripped[0] not in "#;"
        if section_match is not None:
            section, key = section_match[1], ""
        elif is_content and section is None:
            problems.append(IniProblem(line_number, "a line", "a [section] above it"))
            usable_lines.append("")
            continue
        else:
            key = re.split("[=:]", stripped, maxsplit=1)[0].strip()
        usable_lines.append(line)
        is_key = is_content and re.search("[=:]", stripped) and not line[:1].isspace()
        if section_match is None and not is_key:
            continue
        first_line = lines.setdefault((section or "", key), line_number)
        if first_line != line_number:
            found = f"[{section}] {key}".strip()
            expected = f"each once (also in line {first_line})"
            problems.append(IniProblem(line_number, found, expected))
    return lines, problems, usable_lines
