"""How a table is split over keys of the configuration service.

One key per service holds that service's rows as CSV. Bundle keys hold the rows of
many services each, for a reader that has no table yet. A fixed number of index keys
name the service of each backend server, so that an agent finds its own service
without reading any other. A manifest names the revision and the digests of all other
keys, so that a reader detects a partly written table.
"""

import hashlib
from typing import NamedTuple

import orjson
import xxhash
from expression import Error, Ok, Result

from citronwinch.configuration_service._client import MALFORMED_ERRORS, MANIFEST_KEY
from citronwinch.coordination import EMPTY_TABLE, Table, TableRow, digest_rows
from citronwinch.operators import (
    TableProblem,
    find_conflicts,
    format_table,
    parse_table,
)

REVISION_LIMIT = (1 << 63) - 1
"""The highest revision; as a signed 64-bit integer it fits every message."""

SERVICE_KEY_PREFIX = "table/services/"
"""Prefix of the keys that hold the rows of one service each."""

INDEX_KEY_PREFIX = "table/backend_servers/"
"""Prefix of the keys that name the services of backend servers."""

INDEX_KEY_COUNT = 64
"""The number of keys over which the index of backend servers is split."""

BUNDLE_KEY_PREFIX = "table/bundles/"
"""Prefix of the keys that hold the rows of many services each."""

TARGET_BUNDLE_ROWS = 400
"""The intended mean number of rows in a bundle; it sets the number of bundles."""


class Manifest(NamedTuple):
    """The decoded value of the manifest key."""

    revision: int
    """The table's revision."""

    digests: dict[str, str]
    """The digest of each service's rows, in hexadecimal, by service name."""

    index_digests: dict[str, str] = {}
    """The digest of each index key's value, in hexadecimal, by key."""

    bundle_count: int = 0
    """The number of bundles; 0 when the table was written without bundles."""


def index_key(backend_server: str) -> str:
    """Return the key under which the service of a backend server is found.

    The value of an index key maps the names of some backend servers to their services.

    Example::

        >>> index_key("gauging-1") == index_key("gauging-1")
        True
    """
    number = xxhash.xxh3_64_intdigest(backend_server.encode()) % INDEX_KEY_COUNT
    return f"{INDEX_KEY_PREFIX}{number:02d}"


def bundle_key(service: str, bundle_count: int) -> str:
    """Return the key of the bundle that holds a service's rows."""
    number = xxhash.xxh3_64_intdigest(service.encode()) % bundle_count
    return f"{BUNDLE_KEY_PREFIX}{number:03d}"


def digest_index_value(value: bytes) -> str:
    """Return the digest of an index key's value."""
    return hashlib.blake2b(value, digest_size=8).hexdigest()


def split_table(table: Table) -> dict[str, str]:
    """Return the value of each key that holds part of a table, the manifest last."""
    values = {
        SERVICE_KEY_PREFIX + service: format_table(rows)
        for service, rows in table.rows_by_service.items()
    }
    digests = {
        service: digest_rows(rows).hex()
        for service, rows in table.rows_by_service.items()
    }
    bundle_count = -(-len(table.rows) // TARGET_BUNDLE_ROWS)
    bundles: dict[str, list[TableRow]] = {}
    for service, rows in table.rows_by_service.items():
        bundles.setdefault(bundle_key(service, bundle_count), []).extend(rows)
    values.update((key, format_table(rows)) for key, rows in sorted(bundles.items()))
    index: dict[str, dict[str, str]] = {}
    for row in table.rows:
        entries = index.setdefault(index_key(row.backend_server), {})
        entries[row.backend_server] = row.service
    index_values = {key: orjson.dumps(index[key]) for key in sorted(index)}
    values.update((key, value.decode()) for key, value in index_values.items())
    manifest = {
        "revision": table.revision,
        "services": digests,
        "index": {
            key: digest_index_value(value) for key, value in index_values.items()
        },
        "bundles": bundle_count,
    }
    values[MANIFEST_KEY] = orjson.dumps(manifest).decode()
    return values


def parse_manifest(value: bytes) -> Result[Manifest, str]:
    """Decode a manifest, or return the reason why it is malformed."""
    try:
        body = orjson.loads(value)
        digests = {str(name): str(text) for name, text in body["services"].items()}
        revision = int(body["revision"])
        if not 0 < revision <= REVISION_LIMIT:
            return Error(f"expected a revision from 1 to {REVISION_LIMIT}")
        index = body.get("index", {}).items()
        index_digests = {str(key): str(text) for key, text in index}
        bundle_count = int(body.get("bundles", 0))
        return Ok(Manifest(revision, digests, index_digests, bundle_count))
    except MALFORMED_ERRORS:
        return Error("expected JSON with revision and services")


def join_table(
    manifest: Manifest, values: dict[str, str], known: Table = EMPTY_TABLE
) -> Result[Table, list[TableProblem]]:
    """Return the table that a manifest describes.

    `values` holds the values of service keys, by service. The rows of a service without
    a value are copied from `known`. These rows must already match the manifest: they
    are unchanged since an earlier valid table, or were read from a bundle. All rows are
    checked for conflicts together, across services.
    """
    problems: list[TableProblem] = []
    rows: list[TableRow] = []
    for service, digest in manifest.digests.items():
        service_rows = _find_service_rows(service, manifest.revision, values, known)
        if service_rows.is_error():
            problems.extend(service_rows.error)
            continue
        if service in values and digest_rows(service_rows.ok).hex() != digest:
            found = digest_rows(service_rows.ok).hex()
            problems.append(TableProblem(0, service, found, f"the digest {digest}"))
        rows.extend(service_rows.ok)
    problems = problems or find_conflicts(list(enumerate(rows, 2)))
    return Error(problems) if problems else Ok(Table(manifest.revision, rows))


def _find_service_rows(
    service: str, revision: int, values: dict[str, str], known: Table
) -> Result[tuple[TableRow, ...], list[TableProblem]]:
    if service in values:
        return parse_table(values[service], revision).map(lambda table: table.rows)
    if service in known.rows_by_service:
        return Ok(known.rows_by_service[service])
    return Error([TableProblem(0, service, "no value", "the service's rows")])
