"""Keeps the table of one process at the highest revision that its peers know."""

import random
from collections import Counter, OrderedDict
from collections.abc import Mapping, Sequence

from citronwinch.coordination._clock import Clock
from citronwinch.coordination._table import EMPTY_TABLE, Table
from citronwinch.coordination.spread._budget import ControlPriority
from citronwinch.coordination.spread._delta import (
    TableDelta,
    TableVersion,
    digest_each_service,
    digest_services,
    make_delta,
)
from citronwinch.coordination.spread._history import DeltaHistory
from citronwinch.coordination.spread._messages import (
    SendMessage,
    TableChunk,
    TablePull,
)
from citronwinch.coordination.spread._push_rounds import (
    PeerDirectory,
    PushRounds,
)
from citronwinch.coordination.spread._scope import TableScope
from citronwinch.coordination.spread._transfer import (
    MalformedTransferError,
    TableSnapshot,
    TransferAssembly,
    decode_deltas,
    decode_snapshot,
    encode_deltas,
    encode_snapshot,
    split_chunks,
)

PULL_RETRY_MS = 250
"""How long a pull may go without a new chunk, in milliseconds."""

PULL_JITTER_MS = 60
"""The longest wait before the first pull, in which a push often arrives."""

PULL_PEERS = 3
"""The most peers that are asked for parts of one transfer at once."""

CHUNK_WINDOW = 12
"""The most chunks that one pull asks for."""

PEER_REVISION_LIMIT = 256
"""The most peers whose revision is remembered."""

TRANSFER_CACHE_LIMIT = 8
"""The most encoded transfers that are kept for pulls."""


class TableReplica:
    """The table of one process, whole at one revision at any time.

    The highest revision wins, wherever it comes from; a lower one changes nothing
    and is counted. The same revision with another digest changes nothing either and
    raises the counter `digest_conflict`, since the publisher used a revision twice.
    """

    def __init__(
        self,
        scope: TableScope,
        peers: PeerDirectory,
        clock: Clock,
        source: random.Random,
    ) -> None:
        self.scope = scope
        self.peers = peers
        self.clock = clock
        self.source = source
        self.table: Table = EMPTY_TABLE
        self.version = TableVersion(0, digest_services({}))
        self.service_digests: dict[str, bytes] = {}
        self.history = DeltaHistory()
        self.peer_revisions: OrderedDict[str, int] = OrderedDict()
        self.highest_peer_revision = 0
        self.push_rounds = PushRounds(peers, clock)
        self.assembly: TransferAssembly | None = None
        self.pull_due_ms: int | None = None
        self.pull_attempts = 0
        self.encoded_transfers: OrderedDict[tuple[int, str], tuple[TableChunk, ...]] = (
            OrderedDict()
        )
        self.counts: Counter[str] = Counter()

    @property
    def is_behind(self) -> bool:
        """Whether a peer is known to have a higher revision."""
        return self.highest_peer_revision > self.version.revision

    def accept_read(
        self, table: Table, service_digests: Mapping[str, bytes], digest: bytes
    ) -> bool:
        """Take a table that was read from the service; return whether it is newer.

        `service_digests` are those of the services in `table`, which an agent reads
        in part; `digest` is that of the whole table.
        """
        version = TableVersion(table.revision, digest)
        if not self._is_newer(version):
            return False
        if self.scope.is_whole and self.version.revision:
            delta = make_delta(
                self.table, self.service_digests, table, dict(service_digests)
            )
            self._record_deltas([delta])
        self._install_table(table, dict(service_digests), version)
        return True

    def observe_revision(
        self, sender: str, revision: int, digest: bytes | None = None
    ) -> None:
        """Note a peer's revision; plan a pull when it is higher."""
        self.peer_revisions[sender] = revision
        self.peer_revisions.move_to_end(sender)
        if len(self.peer_revisions) > PEER_REVISION_LIMIT:
            self.peer_revisions.popitem(last=False)
        if revision == self.version.revision:
            if digest is not None and digest != self.version.digest:
                self.counts["digest_conflict"] += 1
        elif revision > self.version.revision:
            self.highest_peer_revision = max(revision, self.highest_peer_revision)
            if self.pull_due_ms is None:
                jitter_ms = self.source.randrange(PULL_JITTER_MS)
                self.pull_due_ms = self.clock.now_ms() + jitter_ms

    def tick(self) -> list[SendMessage]:
        """Return the pushes and pulls that are due."""
        sends: list[SendMessage] = []
        now_ms = self.clock.now_ms()
        sends += self.push_rounds.tick(self.peer_revisions)
        if self.pull_due_ms is not None and now_ms >= self.pull_due_ms:
            sends += self._pull(now_ms)
        return sends

    def handle_pull(self, sender: str, pull: TablePull) -> list[SendMessage]:
        """Answer a pull with chunks, as far as this process has what is asked for."""
        if pull.since_revision >= self.version.revision:
            return []
        chunks = self._find_transfer(pull.since_revision, pull.scope)
        if pull.missing and pull.revision == self.version.revision:
            wanted = [chunks[i] for i in pull.missing if i < len(chunks)]
        else:
            wanted = list(chunks)
        return [
            SendMessage(sender, chunk, ControlPriority.EDITS)
            for chunk in wanted[:CHUNK_WINDOW]
        ]

    def handle_chunk(self, chunk: TableChunk) -> list[SendMessage]:
        """Collect a chunk; return the pull for the next ones."""
        if chunk.revision <= self.version.revision:
            if chunk.revision < self.version.revision:
                self.counts["lower_revision"] += 1
            elif chunk.digest != self.version.digest:
                self.counts["digest_conflict"] += 1
            return []
        self.highest_peer_revision = max(self.highest_peer_revision, chunk.revision)
        if not self._is_usable(chunk):
            self._schedule_pull()
            return []
        if self.assembly is None or not self.assembly.fits(chunk):
            if not self._should_replace_assembly(chunk):
                return []
            self.assembly = TransferAssembly(chunk)
        known = len(self.assembly.parts)
        if self.assembly.add(chunk):
            self._finish_transfer(self.assembly)
            return []
        if len(self.assembly.parts) > known:
            now_ms = self.clock.now_ms()
            self.pull_due_ms = now_ms + PULL_RETRY_MS
            if len(self.assembly.parts) % CHUNK_WINDOW == 0:
                return self._pull(now_ms)
        return []

    def discard_table(self) -> None:
        """Forget a table that was never served, to take another from peers."""
        self.table = EMPTY_TABLE
        self.version = TableVersion(0, digest_services({}))
        self.service_digests = {}
        self.push_rounds.chunks = ()
        self.encoded_transfers.clear()
        self._schedule_pull()

    def _is_newer(self, version: TableVersion) -> bool:
        if version.revision < self.version.revision:
            self.counts["lower_revision"] += 1
            return False
        if version.revision == self.version.revision:
            if version.digest != self.version.digest:
                self.counts["digest_conflict"] += 1
            return False
        return True

    def _install_table(
        self, table: Table, service_digests: dict[str, bytes], version: TableVersion
    ) -> None:
        self.table = table
        self.service_digests = service_digests
        self.version = version
        self.assembly = None
        self.pull_attempts = 0
        self.encoded_transfers.clear()
        self.pull_due_ms = None
        self.counts["accepted"] += 1
        if self.is_behind:
            self._schedule_pull()

    def _record_deltas(self, deltas: Sequence[TableDelta]) -> None:
        for delta in deltas:
            self.history.add(delta)
        since, version = deltas[0].since.revision, deltas[-1].until
        chunks = split_chunks(encode_deltas(deltas), since, version, "")
        if len(chunks) <= CHUNK_WINDOW:
            self.push_rounds.start(chunks)

    def _schedule_pull(self) -> None:
        if self.pull_due_ms is None:
            self.pull_due_ms = self.clock.now_ms()

    def _pull(self, now_ms: int) -> list[SendMessage]:
        self.pull_due_ms = now_ms + PULL_RETRY_MS
        self.pull_attempts += 1
        sources = self._choose_pull_peers()
        if not sources:
            return []
        if self.assembly is not None:
            return self._request_missing(self.assembly, sources)
        since = self.version.revision if self.pull_attempts <= 4 else 0
        scope = "" if self.scope.is_whole else self.scope.backend_server
        pull = TablePull(since, scope)
        return [SendMessage(sources[0], pull, ControlPriority.EDITS)]

    def _request_missing(
        self, assembly: TransferAssembly, sources: Sequence[str]
    ) -> list[SendMessage]:
        missing = assembly.missing(CHUNK_WINDOW * len(sources))
        sends: list[SendMessage] = []
        for i, name in enumerate(sources):
            part = missing[i * CHUNK_WINDOW : (i + 1) * CHUNK_WINDOW]
            if part:
                pull = TablePull(
                    assembly.since_revision,
                    assembly.scope,
                    assembly.version.revision,
                    part,
                )
                sends.append(SendMessage(name, pull, ControlPriority.EDITS))
        return sends

    def _choose_pull_peers(self) -> list[str]:
        needs_all = self.version.revision == 0 or self.pull_attempts > 2
        sources = [
            name
            for name, revision in self.peer_revisions.items()
            if revision > self.version.revision
            and (not needs_all or self.peers.keeps_all_rows(name))
        ]
        if needs_all and len(sources) < PULL_PEERS:
            others = self.peers.choose_complete_peers(PULL_PEERS)
            sources += [name for name in others if name not in sources]
        self.source.shuffle(sources)
        return sources[:PULL_PEERS]

    def _find_transfer(self, since: int, scope: str) -> tuple[TableChunk, ...]:
        key = (since, scope)
        if key in self.encoded_transfers:
            return self.encoded_transfers[key]
        chunks = self._encode_transfer(since, scope)
        if len(self.encoded_transfers) >= TRANSFER_CACHE_LIMIT:
            self.encoded_transfers.popitem(last=False)
        self.encoded_transfers[key] = chunks
        return chunks

    def _encode_transfer(self, since: int, scope: str) -> tuple[TableChunk, ...]:
        chain = self.history.find_chain(since, self.version.revision) if since else ()
        if chain:
            return split_chunks(encode_deltas(chain), since, self.version, "")
        snapshot = self.scope.select_rows(self.table, self.service_digests, scope)
        if snapshot is None:
            return ()
        return split_chunks(encode_snapshot(snapshot), 0, self.version, scope)

    def _is_usable(self, chunk: TableChunk) -> bool:
        if chunk.since_revision:
            return chunk.since_revision == self.version.revision
        return chunk.scope == ("" if self.scope.is_whole else self.scope.backend_server)

    def _should_replace_assembly(self, chunk: TableChunk) -> bool:
        held = self.assembly
        return (
            held is None
            or chunk.revision > held.version.revision
            or held.since_revision not in (0, self.version.revision)
            or chunk.chunk_count < held.chunk_count - len(held.parts)
        )

    def _finish_transfer(self, assembly: TransferAssembly) -> None:
        self.assembly = None
        try:
            if assembly.since_revision:
                self._apply_deltas(decode_deltas(assembly.join()), assembly.version)
            else:
                self._apply_snapshot(decode_snapshot(assembly.join()), assembly.version)
        except MalformedTransferError:
            self.counts["transfer_rejected"] += 1
            self._schedule_pull()

    def _apply_deltas(
        self, deltas: Sequence[TableDelta], version: TableVersion
    ) -> None:
        position = self.version
        for delta in deltas:
            if delta.since != position:
                raise MalformedTransferError("deltas do not follow each other")
            position = delta.until
        if position != version:
            raise MalformedTransferError("deltas lead to another version")
        kept = self.scope.apply_deltas(self.table, self.service_digests, deltas)
        self._record_deltas(deltas)
        self._install_table(
            Table(version.revision, kept.rows), kept.service_digests, version
        )

    def _apply_snapshot(self, snapshot: TableSnapshot, version: TableVersion) -> None:
        table = Table(version.revision, snapshot.rows)
        if digest_each_service(table) != snapshot.service_digests:
            raise MalformedTransferError("rows do not match their digests")
        if self.scope.is_whole:
            if digest_services(snapshot.service_digests) != version.digest:
                raise MalformedTransferError("table does not match its digest")
            if self.version.revision:
                self.history.add(
                    make_delta(
                        self.table,
                        self.service_digests,
                        table,
                        snapshot.service_digests,
                    )
                )
        self._install_table(table, snapshot.service_digests, version)
