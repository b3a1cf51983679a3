"""Reads a table key by key, only what the reader lacks, without doing the reads."""

from collections.abc import Sequence
from typing import NamedTuple

import orjson
from expression import Error, Ok, Result

from citronwinch.configuration_service._client import MANIFEST_KEY
from citronwinch.configuration_service._table_keys import (
    BUNDLE_KEY_PREFIX,
    INDEX_KEY_PREFIX,
    SERVICE_KEY_PREFIX,
    Manifest,
    bundle_key,
    digest_index,
    index_key,
    join_table,
    parse_manifest,
)
from citronwinch.coordination import EMPTY_TABLE, Table, TableRow, digest_rows
from citronwinch.coordination.spread import TableVersion, digest_services
from citronwinch.operators import parse_table

BUNDLE_THRESHOLD = 3
"""From how many changed services on their bundle is read in place of their keys."""


class TableRead(NamedTuple):
    """A table that was read whole, or as far as the reader needs it."""

    table: Table
    """The rows that the reader needs."""

    service_digests: dict[str, bytes]
    """The digests of the services in it."""

    digest: bytes
    """The digest of the whole table."""


class TableReader:
    """Decides which key is read next and puts the values together.

    A balancer reads the services whose digests changed. An agent reads the manifest,
    one index key and its own service. The caller reads `next_key` until `is_finished`
    and then takes `finish()`.
    """

    def __init__(self, backend_server: str = "") -> None:
        self.backend_server = backend_server
        self.known: Table = EMPTY_TABLE
        self.known_digests: dict[str, bytes] = {}
        self.known_revision = 0
        self.manifest: Manifest | None = None
        self.wanted: list[str] = []
        self.values: dict[str, str] = {}
        self.bundles: list[str] = []

    def begin(
        self, known: Table, known_digests: dict[str, bytes], known_revision: int
    ) -> None:
        """Start again, given what the reader has."""
        self.known = known
        self.known_digests = known_digests
        self.known_revision = known_revision
        self.manifest = None
        self.wanted = []
        self.values = {}
        self.bundles = []

    @property
    def next_key(self) -> str:
        """The key to read next; the manifest comes first."""
        return self.wanted[0] if self.wanted else MANIFEST_KEY

    @property
    def is_finished(self) -> bool:
        """Whether nothing is left to read."""
        return self.manifest is not None and not self.wanted

    @property
    def version(self) -> TableVersion | None:
        """What the manifest says, None before it was read."""
        if self.manifest is None:
            return None
        digests = {
            name: bytes.fromhex(text) for name, text in self.manifest.digests.items()
        }
        return TableVersion(self.manifest.revision, digest_services(digests))

    def accept(self, key: str, value: bytes) -> Result[None, str]:
        """Take the value of `next_key`; an error means to begin again."""
        if key == MANIFEST_KEY:
            return self._accept_manifest(value)
        self.wanted.remove(key)
        if key.startswith(INDEX_KEY_PREFIX):
            return self._accept_index(key, value)
        if key.startswith(BUNDLE_KEY_PREFIX):
            self.bundles.append(value.decode("utf-8", "replace"))
            return Ok(None)
        service = key.removeprefix(SERVICE_KEY_PREFIX)
        self.values[service] = value.decode("utf-8", "replace")
        return Ok(None)

    def finish(self) -> Result[TableRead | None, str]:
        """Return the table, None when it is not newer; check it as a whole."""
        manifest, version = self.manifest, self.version
        if manifest is None or version is None:
            return Error("no manifest")
        if manifest.revision <= self.known_revision:
            return Ok(None)
        if self.backend_server:
            return self._finish_agent(manifest, version)
        known = self._read_bundles(manifest)
        if known.is_error():
            return Error(known.error)
        joined = join_table(manifest, self.values, known.ok)
        if joined.is_error():
            return Error("; ".join(str(problem) for problem in joined.error[:3]))
        digests = {name: bytes.fromhex(text) for name, text in manifest.digests.items()}
        return Ok(TableRead(joined.ok, digests, version.digest))

    def _accept_manifest(self, value: bytes) -> Result[None, str]:
        parsed = parse_manifest(value)
        if parsed.is_error():
            return Error(parsed.error)
        self.manifest = parsed.ok
        if parsed.ok.revision <= self.known_revision:
            return Ok(None)
        if self.backend_server:
            key = index_key(self.backend_server)
            self.wanted = [key] if key in parsed.ok.index_digests else []
            return Ok(None)
        changed = [
            service
            for service, digest in parsed.ok.digests.items()
            if self.known_digests.get(service, b"").hex() != digest
        ]
        self.wanted = choose_keys(changed, parsed.ok.bundle_count)
        return Ok(None)

    def _read_bundles(self, manifest: Manifest) -> Result[Table, str]:
        """Return the known table with the services that came in bundles."""
        parts: dict[str, tuple[TableRow, ...]] = {}
        for text in self.bundles:
            parsed = parse_table(text, manifest.revision)
            if parsed.is_error():
                return Error(f"bundle: {parsed.error[0]}")
            for service, rows in parsed.ok.rows_by_service.items():
                if digest_rows(rows).hex() != manifest.digests.get(service):
                    return Error(f"the rows of {service} do not match the manifest")
                parts[service] = rows
        if not parts:
            return Ok(self.known)
        kept = [row for row in self.known.rows if row.service not in parts]
        read = [row for members in parts.values() for row in members]
        return Ok(Table(manifest.revision, kept + read))

    def _accept_index(self, key: str, value: bytes) -> Result[None, str]:
        assert self.manifest is not None
        if digest_index(value) != self.manifest.index_digests[key]:
            return Error(f"{key} does not match the manifest")
        try:
            service = orjson.loads(value).get(self.backend_server)
        except (orjson.JSONDecodeError, AttributeError):
            return Error(f"{key} is malformed")
        if service is not None:
            self.wanted = [SERVICE_KEY_PREFIX + str(service)]
        return Ok(None)

    def _finish_agent(
        self, manifest: Manifest, version: TableVersion
    ) -> Result[TableRead | None, str]:
        if not self.values:
            empty = Table(manifest.revision, ())
            return Ok(TableRead(empty, {}, version.digest))
        service, text = next(iter(self.values.items()))
        parsed = parse_table(text, manifest.revision)
        if parsed.is_error():
            return Error("; ".join(str(problem) for problem in parsed.error[:3]))
        digest = digest_rows(parsed.ok.rows)
        if digest.hex() != manifest.digests.get(service):
            return Error(f"the rows of {service} do not match the manifest")
        return Ok(TableRead(parsed.ok, {service: digest}, version.digest))


def choose_keys(services: Sequence[str], bundle_count: int) -> list[str]:
    """Return the keys that hold the rows of services, in as few reads as sensible.

    Example::

        >>> choose_keys(["dock", "gallery"], 1)
        ['table/services/dock', 'table/services/gallery']
        >>> choose_keys(["dock", "gallery", "gauging"], 1)
        ['table/bundles/000']
    """
    groups: dict[str, list[str]] = {}
    for service in services:
        key = bundle_key(service, bundle_count) if bundle_count else ""
        groups.setdefault(key, []).append(service)
    keys: list[str] = []
    for key, members in groups.items():
        if key and len(members) >= BUNDLE_THRESHOLD:
            keys.append(key)
        else:
            keys += [SERVICE_KEY_PREFIX + service for service in members]
    return keys
