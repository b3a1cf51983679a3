"""How a table is split over keys of the configuration service.

One key per service holds that service's rows as CSV. A manifest names the revision
and the digest of every service's rows, so that a reader can tell a half-written
table from a whole one and an agent can read its own service only.
"""

from typing import NamedTuple

import orjson
from expression import Error, Ok, Result

from citronwinch.coordination import Table, digest_rows
from citronwinch.operators import TableProblem, format_table, parse_table
from citronwinch.platform._client import MALFORMED_ERRORS, MANIFEST_KEY

REVISION_LIMIT = (1 << 63) - 1
"""The highest revision, so that it fits every message."""

SERVICE_KEY_PREFIX = "table/services/"
"""Prefix of the keys that hold the rows of one service each."""


class Manifest(NamedTuple):
    """What the manifest key says."""

    revision: int
    """The table's revision."""

    digests: dict[str, str]
    """The digest of each service's rows, in hexadecimal, by service name."""


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
    manifest = {"revision": table.revision, "services": digests}
    values[MANIFEST_KEY] = orjson.dumps(manifest).decode()
    return values


def parse_manifest(value: bytes) -> Result[Manifest, str]:
    """Return the manifest in a value, or what is wrong with it."""
    try:
        body = orjson.loads(value)
        digests = {str(name): str(text) for name, text in body["services"].items()}
        revision = int(body["revision"])
        if not 0 < revision <= REVISION_LIMIT:
            return Error(f"expected a revision from 1 to {REVISION_LIMIT}")
        return Ok(Manifest(revision, digests))
    except MALFORMED_ERRORS:
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
