"""The rows that a process stores: a balancer all, an agent those of its services."""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from citronwinch.coordination._table import Table, TableRow, digest_rows
from citronwinch.coordination.spread._delta import (
    TableDelta,
    apply_delta_rows,
    digest_services,
)
from citronwinch.coordination.spread._transfer import (
    MalformedTransferError,
    TableSnapshot,
)

FORMER_SERVICE_LIMIT = 2
"""The number of services whose rows an agent still stores after its backend server has
left them."""


class TableScope(NamedTuple):
    """Selects the rows that a process stores.

    An agent stores the rows of its backend server's service and of the services that
    the backend server has recently left, since flows of those may still be open.
    """

    backend_server: str = ""
    """The backend server of an agent; empty for a balancer, which stores all rows."""

    @property
    def is_whole(self) -> bool:
        """Whether all rows are stored."""
        return not self.backend_server

    def make_snapshot(
        self, table: Table, service_digests: Mapping[str, bytes], scope: str
    ) -> TableSnapshot | None:
        """Return the snapshot that a peer asks for, None if rows may be missing here.

        `scope` names the backend server whose service's rows are wanted; empty for the
        whole table.
        """
        if not self.is_whole:
            return None
        if not scope:
            return TableSnapshot(table.rows, dict(service_digests))
        row = table.row_by_backend_server.get(scope)
        if row is None:
            return TableSnapshot((), {})
        rows = table.rows_by_service[row.service]
        return TableSnapshot(rows, {row.service: service_digests[row.service]})

    def apply_deltas(
        self,
        table: Table,
        service_digests: Mapping[str, bytes],
        deltas: Sequence[TableDelta],
    ) -> TableSnapshot:
        """Return the snapshot that consecutive deltas lead to.

        Raises MalformedTransferError if the rows do not match the digests in the
        deltas.
        """
        rows: Iterable[TableRow] = table.rows
        services = list(service_digests)
        expected: dict[str, bytes] = {}
        for delta in deltas:
            rows_by_server = apply_delta_rows(rows, delta)
            if not self.is_whole:
                services = self._update_services(services, rows_by_server)
            rows = rows_by_server.values()
            expected.update(delta.service_digests)
        wanted = None if self.is_whole else set(services)
        grouped = _group_rows(rows, wanted)
        digests = dict(service_digests)
        for service, digest in expected.items():
            service_rows = grouped.get(service, ())
            if wanted is not None and service not in wanted:
                continue
            if service_rows:
                digests[service] = digest_rows(service_rows)
            else:
                digests.pop(service, None)
            if digests.get(service, b"") != digest:
                raise MalformedTransferError(
                    f"rows of {service} do not match its digest"
                )
        digests = {name: value for name, value in digests.items() if name in grouped}
        if self.is_whole and digest_services(digests) != deltas[-1].until.digest:
            raise MalformedTransferError("table does not match its digest")
        return TableSnapshot(
            tuple(row for service_rows in grouped.values() for row in service_rows),
            digests,
        )

    def _update_services(
        self, services: list[str], rows: Mapping[str, TableRow]
    ) -> list[str]:
        own = rows.get(self.backend_server)
        if own is None:
            return services
        others = [name for name in services if name != own.service]
        return [*others[-FORMER_SERVICE_LIMIT:], own.service]


def _group_rows(
    rows: Iterable[TableRow], wanted: set[str] | None
) -> dict[str, list[TableRow]]:
    groups: dict[str, list[TableRow]] = {}
    for row in sorted(rows, key=lambda row: (row.service, row.backend_server)):
        if wanted is None or row.service in wanted:
            groups.setdefault(row.service, []).append(row)
    return groups
