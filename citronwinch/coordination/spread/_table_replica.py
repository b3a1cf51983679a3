"""One process's copy of the table, kept at the highest revision of its peers."""

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
"""How long a pull waits for a new chunk before it is sent again, in milliseconds."""

PULL_JITTER_MS = 60
"""The random delay before a first pull is below this, in milliseconds.

A push often arrives in this time, which makes the pull unnecessary.
"""

PULL_PEERS = 3
"""The most peers that are pulled from in parallel for one transfer."""

CHUNK_WINDOW = 12
"""The most chunks that one pull asks for."""

PEER_REVISION_LIMIT = 256
"""The most peers whose revision is stored; the least recent one is dropped first."""

TRANSFER_CACHE_LIMIT = 8
"""The most encoded transfers that are cached to answer pulls."""


class TableReplica:
    """The table of one process, which is complete at one revision at any time.

    The highest revision wins, whether a peer or the configuration service sent it; a
    lower one is ignored and counted. The same revision with another digest is ignored
    too and counted as `digest_conflict`, since the publisher used a revision twice.
    """

    def __init__(
        self,
        scope: TableScope,
        peers: PeerDirectory,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.scope = scope
        self.peers = peers
        self.clock = clock
        self.rng = rng
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
        self.counters: Counter[str] = Counter()

    @property
    def is_behind(self) -> bool:
        """Whether a peer is known to have a higher revision."""
        return self.highest_peer_revision > self.version.revision

    def accept_read(
        self, table: Table, service_digests: Mapping[str, bytes], digest: bytes
    ) -> bool:
        """Install a table read from the configuration service if it is newer.

        `service_digests` has the digests of the services in `table`, which for an
        agent is a part of the whole table; `digest` is that of the `TableVersion`.
        Returns whether the table was installed.
        """
        version = TableVersion(table.revision, digest)
        if not self._is_newer(version):
            return False
        if self.scope.is_whole and self.version.revision:
            delta = make_delta(
                self.table, self.service_digests, table, dict(service_digests)
            )
            self._record_and_push_deltas([delta])
        self._install_table(table, dict(service_digests), version)
        return True

    def observe_revision(
        self, sender: str, revision: int, digest: bytes | None = None
    ) -> None:
        """Record a peer's revision; schedule a pull if it is higher."""
        self.peer_revisions[sender] = revision
        self.peer_revisions.move_to_end(sender)
        if len(self.peer_revisions) > PEER_REVISION_LIMIT:
            self.peer_revisions.popitem(last=False)
        if revision == self.version.revision:
            if digest is not None and digest != self.version.digest:
                self.counters["digest_conflict"] += 1
        elif revision > self.version.revision:
            self.highest_peer_revision = max(revision, self.highest_peer_revision)
            if self.pull_due_ms is None:
                jitter_ms = self.rng.randrange(PULL_JITTER_MS)
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
        """Return the requested chunks, at most `CHUNK_WINDOW` of them.

        Returns none if this process has no higher revision, or if it has neither all
        deltas since the revision nor the rows for a snapshot. When the requested chunks
        are those of another revision than the own one, the first chunks of the own
        revision are returned.
        """
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
        """Collect a chunk; return a pull for more chunks once a window has arrived."""
        if chunk.revision <= self.version.revision:
            if chunk.revision < self.version.revision:
                self.counters["lower_revision"] += 1
            elif chunk.digest != self.version.digest:
                self.counters["digest_conflict"] += 1
            return []
        self.highest_peer_revision = max(self.highest_peer_revision, chunk.revision)
        if not self._is_usable(chunk):
            self._schedule_pull()
            return []
        if self.assembly is None or not self.assembly.fits(chunk):
            if not self._should_replace_assembly(chunk):
                return []
            self.assembly = TransferAssembly(chunk)
        part_count = len(self.assembly.parts)
        if self.assembly.add(chunk):
            self._finish_transfer(self.assembly)
            return []
        if len(self.assembly.parts) > part_count:
            now_ms = self.clock.now_ms()
            self.pull_due_ms = now_ms + PULL_RETRY_MS
            if len(self.assembly.parts) % CHUNK_WINDOW == 0:
                return self._pull(now_ms)
        return []

    def discard_table(self) -> None:
        """Discard a table that was never served, to pull another one from peers."""
        self.table = EMPTY_TABLE
        self.version = TableVersion(0, digest_services({}))
        self.service_digests = {}
        self.push_rounds.chunks = ()
        self.encoded_transfers.clear()
        self._schedule_pull()

    def _is_newer(self, version: TableVersion) -> bool:
        if version.revision < self.version.revision:
            self.counters["lower_revision"] += 1
            return False
        if version.revision == self.version.revision:
            if version.digest != self.version.digest:
                self.counters["digest_conflict"] += 1
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
        self.counters["accepted"] += 1
        if self.is_behind:
            self._schedule_pull()

    def _record_and_push_deltas(self, deltas: Sequence[TableDelta]) -> None:
        for delta in deltas:
            self.history.add(delta)
        since, version = deltas[0].since.revision, deltas[-1].until
        chunks = split_chunks(encode_deltas(deltas), since, version, "")
        # A larger edit is left to pulls: one round of pushes would use up most of the
        # control budget's burst.
        if len(chunks) <= CHUNK_WINDOW:
            self.push_rounds.start(chunks)

    def _schedule_pull(self) -> None:
        if self.pull_due_ms is None:
            self.pull_due_ms = self.clock.now_ms()

    def _pull(self, now_ms: int) -> list[SendMessage]:
        self.pull_due_ms = now_ms + PULL_RETRY_MS
        self.pull_attempts += 1
        peers = self._choose_pull_peers()
        if not peers:
            return []
        if self.assembly is not None:
            return self._request_missing(self.assembly, peers)
        # After 4 attempts to pull deltas, a snapshot is pulled.
        since = self.version.revision if self.pull_attempts <= 4 else 0
        scope = "" if self.scope.is_whole else self.scope.backend_server
        pull = TablePull(since, scope)
        return [SendMessage(peers[0], pull, ControlPriority.EDITS)]

    def _request_missing(
        self, assembly: TransferAssembly, peers: Sequence[str]
    ) -> list[SendMessage]:
        missing = assembly.missing(CHUNK_WINDOW * len(peers))
        sends: list[SendMessage] = []
        for i, name in enumerate(peers):
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
        # Peers that store a part of the rows can send deltas, but no snapshot. The
        # first table, and any table from the third attempt on, is therefore pulled
        # from balancers, which store the whole table.
        needs_whole_table = self.version.revision == 0 or self.pull_attempts > 2
        chosen = [
            name
            for name, revision in self.peer_revisions.items()
            if revision > self.version.revision
            and (not needs_whole_table or self.peers.stores_whole_table(name))
        ]
        if needs_whole_table and len(chosen) < PULL_PEERS:
            others = self.peers.choose_whole_table_peers(PULL_PEERS)
            chosen += [name for name in others if name not in chosen]
        self.rng.shuffle(chosen)
        return chosen[:PULL_PEERS]

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
        snapshot = self.scope.make_snapshot(self.table, self.service_digests, scope)
        if snapshot is None:
            return ()
        return split_chunks(encode_snapshot(snapshot), 0, self.version, scope)

    def _is_usable(self, chunk: TableChunk) -> bool:
        if chunk.since_revision:
            return chunk.since_revision == self.version.revision
        return chunk.scope == ("" if self.scope.is_whole else self.scope.backend_server)

    def _should_replace_assembly(self, chunk: TableChunk) -> bool:
        current = self.assembly
        return (
            current is None
            or chunk.revision > current.version.revision
            or current.since_revision not in (0, self.version.revision)
            or chunk.chunk_count < current.chunk_count - len(current.parts)
        )

    def _finish_transfer(self, assembly: TransferAssembly) -> None:
        self.assembly = None
        try:
            if assembly.since_revision:
                self._apply_deltas(decode_deltas(assembly.join()), assembly.version)
            else:
                self._apply_snapshot(decode_snapshot(assembly.join()), assembly.version)
        except MalformedTransferError:
            self.counters["transfer_rejected"] += 1
            self._schedule_pull()

    def _apply_deltas(
        self, deltas: Sequence[TableDelta], version: TableVersion
    ) -> None:
        reached = self.version
        for delta in deltas:
            if delta.since != reached:
                raise MalformedTransferError("deltas are not consecutive")
            reached = delta.until
        if reached != version:
            raise MalformedTransferError("deltas do not end at the announced version")
        snapshot = self.scope.apply_deltas(self.table, self.service_digests, deltas)
        self._record_and_push_deltas(deltas)
        self._install_table(
            Table(version.revision, snapshot.rows), snapshot.service_digests, version
        )

    def _apply_snapshot(self, snapshot: TableSnapshot, version: TableVersion) -> None:
        table = Table(version.revision, snapshot.rows)
        if digest_each_service(table) != snapshot.service_digests:
            raise MalformedTransferError("rows do not match the service digests")
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
