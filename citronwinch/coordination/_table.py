"""The table of services and backend servers, as a value."""

import functools
import hashlib
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import orjson

from citronwinch.coordination._address import (
    Endpoint,
    FlowKey,
    TransportProtocol,
    extract_service_endpoint,
    pack_service_endpoint,
)

ROWS_DIGEST_BYTES = 16
"""Length in bytes of a digest of rows: those of a table or of one service."""


class TableRow(NamedTuple):
    """One backend server's assignment to one service."""

    service: str
    """The service's name."""

    protocol: TransportProtocol
    """The transport protocol of the service."""

    service_address: Endpoint
    """The address that callers send to; the same in all rows of a service."""

    backend_server: str
    """The backend server's name, unique in the table."""

    backend_server_address: Endpoint
    """The address that the backend server listens on."""

    availability_zone: str
    """The availability zone of the backend server."""

    weight: int
    """The share of new flows relative to the other rows; 0 drains the server."""

    connection_limit: int
    """The most flows that the backend server may hold at once."""


class Table:
    """Rows of the table at one revision; immutable.

    A balancer has all rows of the table, an agent those that its `TableScope` selects.
    `digest` covers the rows in this object; the digest of the whole table, which
    processes compare, is that of its `TableVersion`. An edit creates a new table with a
    higher revision. The constructor builds the indexes that packet forwarding uses.
    """

    def __init__(self, revision: int, rows: Iterable[TableRow]) -> None:
        self.revision = revision
        self.rows: tuple[TableRow, ...] = tuple(
            sorted(rows, key=lambda row: (row.service, row.backend_server))
        )
        self.rows_by_service: Mapping[str, tuple[TableRow, ...]] = group_by_service(
            self.rows
        )
        self.row_by_backend_server: Mapping[str, TableRow] = {
            row.backend_server: row for row in self.rows
        }
        self.service_by_endpoint: Mapping[bytes, str] = {
            pack_service_endpoint(row.protocol, row.service_address): row.service
            for row in self.rows
        }

    @functools.cached_property
    def digest(self) -> bytes:
        """The digest of the rows, computed at its first use."""
        return digest_rows(self.rows)

    def find_service(self, key: FlowKey) -> str | None:
        """Return the service that a flow is addressed to, or None if it has none."""
        return self.service_by_endpoint.get(extract_service_endpoint(key))

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Table):
            return NotImplemented
        return self.revision == other.revision and self.rows == other.rows

    def __hash__(self) -> int:
        return hash((self.revision, self.digest))

    def __repr__(self) -> str:
        return f"Table(revision={self.revision}, rows={len(self.rows)})"


def digest_rows(rows: Iterable[TableRow]) -> bytes:
    """Return the digest of rows, `ROWS_DIGEST_BYTES` long, without their revision."""
    encoded = orjson.dumps([row_fields(row) for row in rows])
    return hashlib.blake2b(encoded, digest_size=ROWS_DIGEST_BYTES).digest()


def row_fields(row: TableRow) -> list[str | int]:
    """Return a row as plain values in column order."""
    return [
        row.service,
        row.protocol.name,
        str(row.service_address),
        row.backend_server,
        str(row.backend_server_address),
        row.availability_zone,
        row.weight,
        row.connection_limit,
    ]


def group_by_service(rows: Iterable[TableRow]) -> dict[str, tuple[TableRow, ...]]:
    groups: dict[str, list[TableRow]] = {}
    for row in rows:
        groups.setdefault(row.service, []).append(row)
    return {service: tuple(members) for service, members in groups.items()}


EMPTY_TABLE = Table(0, ())
"""The table of a process that has not read any table yet; revision 0."""
