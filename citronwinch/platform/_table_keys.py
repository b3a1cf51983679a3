"""How a table is split over keys of the configuration service.

One key per service holds that service's rows as CSV. A fixed number of index keys
name the service of each backend server, so that an agent finds its own service
without reading any other. A manifest names the revision and the digests of all other
keys, so that a reader can tell a half-written table from a whole one.
"""

import hashlib
from typing import NamedTuple

import orjson
import xxhash
from expression import Error, Ok, Result

from citronwinch.coordination import Table, digest_rows
from citronwinch.operators import TableProblem, format_table, parse_table
from citronwinch.platform._client import MANIFEST_KEY

SERVICE_KEY_PREFIX = "table/services/"
"""Prefix of the keys that hold the rows of one service each."""

INDEX_KEY_PREFIX = "table/backend_servers/"
"""Prefix of the keys that name the services of backend servers."""

INDEX_KEYS = 64
"""How many keys the index of backend servers is split over."""


class Manifest(NamedTuple):
    """What the manifest key says."""

    revision: int
    """The table's revision."""

    digests: dict[str, str]
    """The digest of each service's rows, in hexadecimal, by service name."""

    index_digests: dict[str, str] = {}
    """The digest of each index key's value, in hexadecimal, by key."""


def index_key(backend_server: str) -> str:
    """Return the index key that names the service of a backend server.

    Example::

        >>> index_key("gauging-1") == index_key("gauging-1")
        True
    """
    number = xxhash.xxh3_64_intdigest(backend_server.encode()) % INDEX_KEYS
    return f"{INDEX_KEY_PREFIX}{number:02d}"


def digest_index(value: bytes) -> str:
    """Return the digest of an index key's value."""
    return hashlib.blake2b(value, digest_size=8).hexdigest()


def split_table(table: Table) -> dict[str, str]:
    """Return the values of all keys for a table, the manifest last."""
    values = {
        SERVICE_KEY_PREFIX + service: format_table(rows)
        for service, rows in table.rows_by_service.items()
    }
    digests = {
        service: digest_rows(rows).hex()
        for service, rows in table.rows_by_service.items()
    }
    index: dict[str, dict[str, str]] = {}
    for row in table.rows:
        entries = index.setdefault(index_key(row.backend_server), {})
        entries[row.backend_server] = row.service
    index_values = {key: orjson.dumps(index[key]) for key in sorted(index)}
    values.update((key, value.decode()) for key, value in index_values.items())
    manifest = {
        "revision": table.revision,
        "services": digests,
        "index": {key: digest_index(value) for key, value in index_values.items()},
    }
    values[MANIFEST_KEY] = orjson.dumps(manifest).decode()
    return values


def parse_manifest(value: bytes) -> Result[Manifest, str]:
    """Return the manifest in a value, or what is wrong with it."""
    try:
        body = orjson.loads(value)
        digests = {str(name): str(text) for name, text in body["services"].items()}
        index = body.get("index", {}).items()
        index_digests = {str(key): str(text) for key, text in index}
        return Ok(Manifest(int(body["revision"]), digests, index_digests))
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, AttributeError):
        return Error("expected JSON with revision and services")


def join_table(
    manifest: Manifest, values: dict[str, str]
) -> Result[Table, list[TableProblem]]:
    """Return the table of a manifest from the values of its service keys.

    Rows are validated as a whole, so that a conflict between two services is found
    however the table was split.
    """
    problems: list[TableProblem] = []
    bodies: list[str] = []
    for service, digest in manifest.digests.items():
        text = values.get(service)
        if text is None:
            problems.append(TableProblem(0, service, "no value", "the service's rows"))
            continue
        header, _, body = text.partition("\n")
        bodies.append(body)
        part = parse_table(text, manifest.revision)
        if part.is_error():
            problems.extend(part.error)
        elif part.ok.digest.hex() != digest:
            found = part.ok.digest.hex()
            problems.append(TableProblem(0, service, found, f"the digest {digest}"))
    if problems:
        return Error(problems)
    if not bodies:
        return Ok(Table(manifest.revision, ()))
    return parse_table(header + "\n" + "".join(bodies), manifest.revision)
