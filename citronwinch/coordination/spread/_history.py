"""Recent deltas of the table, from which peers that lag behind are updated."""

from collections import OrderedDict

from citronwinch.coordination.spread._delta import TableDelta

HISTORY_DELTA_LIMIT = 512
"""The most deltas that are stored."""

HISTORY_ROW_LIMIT = 4_096
"""The most rows in all stored deltas together."""


class DeltaHistory:
    """The newest deltas, stored by the revision that they apply to."""

    def __init__(
        self, delta_limit: int = HISTORY_DELTA_LIMIT, row_limit: int = HISTORY_ROW_LIMIT
    ) -> None:
        self.delta_limit = delta_limit
        self.row_limit = row_limit
        self.deltas: OrderedDict[int, TableDelta] = OrderedDict()
        self.row_count = 0

    def add(self, delta: TableDelta) -> None:
        """Store a delta; drop the oldest ones beyond the limits."""
        known = self.deltas.pop(delta.since.revision, None)
        if known is not None:
            self.row_count -= len(known.rows)
        self.deltas[delta.since.revision] = delta
        self.row_count += len(delta.rows)
        while len(self.deltas) > self.delta_limit or self.row_count > self.row_limit:
            _, oldest = self.deltas.popitem(last=False)
            self.row_count -= len(oldest.rows)

    def find_chain(self, since: int, until: int) -> tuple[TableDelta, ...]:
        """Return the deltas between two revisions, empty if a delta is missing."""
        chain: list[TableDelta] = []
        revision = since
        while revision < until:
            delta = self.deltas.get(revision)
            if delta is None or delta.until.revision > until:
                return ()
            chain.append(delta)
            revision = delta.until.revision
        return tuple(chain)
