"""Finding rows of a table that are right by themselves but not together."""

from typing import NamedTuple

from citronwinch.coordination import Endpoint, TableRow, TransportProtocol


class TableProblem(NamedTuple):
    """One mistake in a table."""

    row: int
    """The line in the CSV, the header being 1; 0 when the whole file is meant."""

    column: str
    """The column, empty when the whole row is meant."""

    found: str
    """What stands there."""

    expected: str
    """What should stand there."""

    def __str__(self) -> str:
        place = f"row {self.row}" if self.row else "table"
        if self.column:
            place += f", column {self.column}"
        return f"{place}: found {self.found!r}, expected {self.expected}"


class _Seen(NamedTuple):
    rows: dict[TableRow, int]
    names: dict[str, int]
    addresses: dict[Endpoint, int]
    services: dict[str, tuple[int, TableRow]]
    endpoints: dict[tuple[TransportProtocol, Endpoint], tuple[int, str]]


def find_conflicts(rows: list[tuple[int, TableRow]]) -> list[TableProblem]:
    """Return the conflicts between rows, each given with its line number.

    A cell that could not be read is None and conflicts with nothing.
    """
    problems: list[TableProblem] = []
    seen = _Seen({}, {}, {}, {}, {})
    for number, row in rows:
        first = seen.rows.setdefault(row, number)
        if first != number:
            expected = f"each row once (the same as row {first})"
            problems.append(TableProblem(number, "", "a repeated row", expected))
            continue
        problems.extend(_find_server_conflicts(number, row, seen))
        problems.extend(_find_service_conflicts(number, row, seen))
        problems.extend(_find_family_conflicts(number, row))
    return problems


def _find_server_conflicts(
    number: int, row: TableRow, seen: _Seen
) -> list[TableProblem]:
    problems: list[TableProblem] = []
    first = seen.names.setdefault(row.backend_server, number)
    if first != number and row.backend_server is not None:
        expected = f"a name used once (also in row {first})"
        problems.append(
            TableProblem(number, "backend_server", row.backend_server, expected)
        )
    first = seen.addresses.setdefault(row.backend_server_address, number)
    if first != number and row.backend_server_address is not None:
        found = str(row.backend_server_address)
        expected = f"an address used once (also in row {first})"
        problems.append(TableProblem(number, "backend_server_address", found, expected))
    return problems


def _find_service_conflicts(
    number: int, row: TableRow, seen: _Seen
) -> list[TableProblem]:
    problems: list[TableProblem] = []
    if row.service is None:
        return problems
    first, sample = seen.services.setdefault(row.service, (number, row))
    if _differ(row.protocol, sample.protocol):
        expected = f"{sample.protocol.name.lower()} as in row {first}"
        found = row.protocol.name.lower()
        problems.append(TableProblem(number, "protocol", found, expected))
    if _differ(row.service_address, sample.service_address):
        expected = f"{sample.service_address} as in row {first}"
        found = str(row.service_address)
        problems.append(TableProblem(number, "service_address", found, expected))
    if row.protocol is None or row.service_address is None:
        return problems
    endpoint = (row.protocol, row.service_address)
    first, owner = seen.endpoints.setdefault(endpoint, (number, row.service))
    if owner != row.service:
        expected = f"an address of its own (row {first} uses it for {owner})"
        found = str(row.service_address)
        problems.append(TableProblem(number, "service_address", found, expected))
    return problems


def _differ(one: object, other: object) -> bool:
    """Return whether two cells differ, as far as both could be read."""
    return one is not None and other is not None and one != other


def _find_family_conflicts(number: int, row: TableRow) -> list[TableProblem]:
    """Find a TCP row whose two addresses are of different IP versions.

    TCP segments reach the backend server as packets of the caller's IP version,
    while UDP payloads travel in datagrams of the agent's own.
    """
    if None in (row.protocol, row.service_address, row.backend_server_address):
        return []
    is_ipv6 = ":" in row.service_address.ip
    if row.protocol is TransportProtocol.UDP or is_ipv6 == (
        ":" in row.backend_server_address.ip
    ):
        return []
    version = "IPv6" if is_ipv6 else "IPv4"
    found = str(row.backend_server_address)
    expected = f"an {version} address, as the service address of a tcp service is"
    return [TableProblem(number, "backend_server_address", found, expected)]
