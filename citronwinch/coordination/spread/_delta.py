"""Versions of the table and the changes between them."""

import hashlib
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from citronwinch.coordination._table import Table, TableRow, digest_rows

VERSION_DIGEST_BYTES = 8
"""Length in bytes of the digest in a table version, which probes carry.

It is shorter than the digests of rows, from which it is computed.
"""


class TableVersion(NamedTuple):
    """A revision of the whole table, and the digest of the table at that revision.

    An agent, which stores a part of the rows, has the same version as a balancer.
    """

    revision: int
    """The revision."""

    digest: bytes
    """The digest over the digests of all services, as `digest_services` returns it.

    `Table.digest` is another one: it covers the rows that one process stores.
    """


class TableDelta(NamedTuple):
    """The rows that differ between two revisions."""

    since: TableVersion
    """The version that the delta applies to."""

    until: TableVersion
    """The version that the delta leads to."""

    rows: tuple[TableRow, ...]
    """New and changed rows, and all rows of a service that gained a backend server."""

    removed: tuple[str, ...]
    """The backend servers whose rows were removed."""

    service_digests: dict[str, bytes]
    """The digest of the rows of each service that changed; empty if it was removed."""


def digest_services(digests: Mapping[str, bytes]) -> bytes:
    """Return the digest of a table version from the digests of all its services.

    Example::

        >>> digest = digest_services({"dock": b"1", "gallery": b"2"})
        >>> digest == digest_services({"gallery": b"2", "dock": b"1"})
        True
    """
    state = hashlib.blake2b(digest_size=VERSION_DIGEST_BYTES)
    for service in sorted(digests):
        name = service.encode()
        state.update(len(name).to_bytes(2, "big") + name + digests[service])
    return state.digest()


def digest_each_service(table: Table) -> dict[str, bytes]:
    """Return the digest of the rows of each service."""
    return {
        service: digest_rows(rows) for service, rows in table.rows_by_service.items()
    }


def make_delta(
    old: Table,
    old_digests: Mapping[str, bytes],
    new: Table,
    new_digests: Mapping[str, bytes],
) -> TableDelta:
    """Return the delta between two whole tables.

    All rows of a service that gained a backend server are included, so that the agent
    of that backend server has its new service without another pull.
    """
    changed = {
        service: new_digests.get(service, b"")
        for service in {*old_digests, *new_digests}
        if old_digests.get(service) != new_digests.get(service)
    }
    rows: list[TableRow] = []
    for service in sorted(changed):
        before = old.rows_by_service.get(service, ())
        after = new.rows_by_service.get(service, ())
        known = {row.backend_server for row in before}
        gained = any(row.backend_server not in known for row in after)
        unchanged = frozenset() if gained else frozenset(before)
        rows.extend(row for row in after if row not in unchanged)
    removed = old.row_by_backend_server.keys() - new.row_by_backend_server.keys()
    return TableDelta(
        TableVersion(old.revision, digest_services(old_digests)),
        TableVersion(new.revision, digest_services(new_digests)),
        tuple(rows),
        tuple(sorted(removed)),
        dict(sorted(changed.items())),
    )


def apply_delta_rows(
    rows: Iterable[TableRow], delta: TableDelta
) -> dict[str, TableRow]:
    """Return the rows that a delta leads to, by backend server."""
    result = {row.backend_server: row for row in rows}
    for name in delta.removed:
        result.pop(name, None)
    result.update((row.backend_server, row) for row in delta.rows)
    return result
