"""Selects the keys to read for a newer table and assembles the table from their values.

Only keys whose rows are missing or have changed are selected. The module performs no
I/O: its caller reads the keys.
"""

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
    digest_index_value,
    index_key,
    join_table,
    parse_manifest,
)
from citronwinch.coordination import EMPTY_TABLE, Table, TableRow, digest_rows
from citronwinch.coordination.spread import TableVersion, digest_services
from citronwinch.operators import parse_table

BUNDLE_READ_MIN_CHANGED_SERVICES = 3
"""The smallest number of changed services for which their bundle is read.

With fewer changed services in a bundle, the key of each service is read.
"""


class TableRead(NamedTuple):
    """A table that was read: all of it by a balancer, one service by an agent."""

    table: Table
    """The rows that were read."""

    service_digests: dict[str, bytes]
    """The digest of each service in `table`, by service name."""

    digest: bytes
    """The digest of the whole table, also of services that were not read."""


class TableReader:
    """Selects the next key to read and assembles the table.

    A balancer reads the manifest and the services whose digests changed. An agent
    reads the manifest, one index key and its own service. The caller reads `next_key`
    and calls `accept_value` until `is_finished`, and then calls `finish`.
    """

    def __init__(self, backend_server: str = "") -> None:
        self.backend_server = backend_server
        self.known_table: Table = EMPTY_TABLE
        self.known_service_digests: dict[str, bytes] = {}
        self.known_revision = 0
        self.manifest: Manifest | None = None
        self.pending_keys: list[str] = []
        self.service_values: dict[str, str] = {}
        self.bundle_values: list[str] = []

    def start(
        self,
        known_table: Table,
        known_service_digests: dict[str, bytes],
        known_revision: int,
    ) -> None:
        """Start a new read, given the table that the process already holds."""
        self.known_table = known_table
        self.known_service_digests = known_service_digests
        self.known_revision = known_revision
        self.manifest = None
        self.pending_keys = []
        self.service_values = {}
        self.bundle_values = []

    @property
    def next_key(self) -> str:
        """The key to read next; the manifest comes first."""
        return self.pending_keys[0] if self.pending_keys else MANIFEST_KEY

    @property
    def is_finished(self) -> bool:
        """Whether all selected keys were read."""
        return self.manifest is not None and not self.pending_keys

    @property
    def version(self) -> TableVersion | None:
        """The table version in the manifest, None before the manifest was read."""
        if self.manifest is None:
            return None
        digests = {
            name: bytes.fromhex(text) for name, text in self.manifest.digests.items()
        }
        return TableVersion(self.manifest.revision, digest_services(digests))

    def accept_value(self, key: str, value: bytes) -> Result[None, str]:
        """Store the value of `next_key`; after an error, call `start` again."""
        if key == MANIFEST_KEY:
            return self._accept_manifest(value)
        self.pending_keys.remove(key)
        if key.startswith(INDEX_KEY_PREFIX):
            return self._accept_index(key, value)
        if key.startswith(BUNDLE_KEY_PREFIX):
            self.bundle_values.append(value.decode("utf-8", "replace"))
            return Ok(None)
        service = key.removeprefix(SERVICE_KEY_PREFIX)
        self.service_values[service] = value.decode("utf-8", "replace")
        return Ok(None)

    def finish(self) -> Result[TableRead | None, str]:
        """Assemble and validate the table; return None when it is not newer."""
        manifest, version = self.manifest, self.version
        if manifest is None or version is None:
            return Error("manifest was not read")
        if manifest.revision <= self.known_revision:
            return Ok(None)
        if self.backend_server:
            return self._finish_agent_read(manifest, version)
        merged = self._merge_bundles(manifest)
        if merged.is_error():
            return Error(merged.error)
        joined = join_table(manifest, self.service_values, merged.ok)
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
            self.pending_keys = [key] if key in parsed.ok.index_digests else []
            return Ok(None)
        changed = [
            service
            for service, digest in parsed.ok.digests.items()
            if self.known_service_digests.get(service, b"").hex() != digest
        ]
        self.pending_keys = choose_keys(changed, parsed.ok.bundle_count)
        return Ok(None)

    def _merge_bundles(self, manifest: Manifest) -> Result[Table, str]:
        """Return the known table, updated with the services of the bundles read."""
        bundled_rows: dict[str, tuple[TableRow, ...]] = {}
        for text in self.bundle_values:
            parsed = parse_table(text, manifest.revision)
            if parsed.is_error():
                return Error(f"bundle: {parsed.error[0]}")
            for service, rows in parsed.ok.rows_by_service.items():
                if digest_rows(rows).hex() != manifest.digests.get(service):
                    return Error(
                        f"rows of {service} do not match the digest in the manifest"
                    )
                bundled_rows[service] = rows
        if not bundled_rows:
            return Ok(self.known_table)
        known_rows = [
            row for row in self.known_table.rows if row.service not in bundled_rows
        ]
        new_rows = [
            row for service_rows in bundled_rows.values() for row in service_rows
        ]
        return Ok(Table(manifest.revision, known_rows + new_rows))

    def _accept_index(self, key: str, value: bytes) -> Result[None, str]:
        assert self.manifest is not None
        if digest_index_value(value) != self.manifest.index_digests[key]:
            return Error(f"{key} does not match the digest in the manifest")
        try:
            service = orjson.loads(value).get(self.backend_server)
        except (orjson.JSONDecodeError, AttributeError):
            return Error(f"{key}: expected a JSON object")
        if service is not None:
            self.pending_keys = [SERVICE_KEY_PREFIX + str(service)]
        return Ok(None)

    def _finish_agent_read(
        self, manifest: Manifest, version: TableVersion
    ) -> Result[TableRead | None, str]:
        if not self.service_values:
            empty = Table(manifest.revision, ())
            return Ok(TableRead(empty, {}, version.digest))
        service, text = next(iter(self.service_values.items()))
        parsed = parse_table(text, manifest.revision)
        if parsed.is_error():
            return Error("; ".join(str(problem) for problem in parsed.error[:3]))
        digest = digest_rows(parsed.ok.rows)
        if digest.hex() != manifest.digests.get(service):
            return Error(f"rows of {service} do not match the digest in the manifest")
        return Ok(TableRead(parsed.ok, {service: digest}, version.digest))


def choose_keys(services: Sequence[str], bundle_count: int) -> list[str]:
    """Return the keys to read for the rows of services.

    A bundle replaces the service keys when it holds at least
    `BUNDLE_READ_MIN_CHANGED_SERVICES` of the services.

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
    for key, services_of_key in groups.items():
        if key and len(services_of_key) >= BUNDLE_READ_MIN_CHANGED_SERVICES:
            keys.append(key)
        else:
            keys += [SERVICE_KEY_PREFIX + service for service in services_of_key]
    return keys
