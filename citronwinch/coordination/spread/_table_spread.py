"""Keeps the table of one process at the highest revision that its peers know."""

import random
from collections import Counter, OrderedDict
from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol

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
from citronwinch.coordination.spread._scope import TableScope
from citronwinch.coordination.spread._transfer import (
    Assembly,
    MalformedTransferError,
    TableImage,
    cut_chunks,
    decode_deltas,
    decode_image,
    encode_deltas,
    encode_image,
)

PUSH_ROUNDS_MS = (0, 250, 750, 1_500)
"""When a new revision is pushed to peers, in milliseconds after it was learnt."""

PUSH_TARGETS = 3
"""How many peers get a new revision in one round."""

PULL_RETRY_MS = 250
"""How long a pull may go without a new chunk, in milliseconds."""

PULL_JITTER_MS = 60
"""The longest wait before the first pull, in which a push often arrives."""

PULL_SOURCES = 3
"""The most peers that are asked for parts of one transfer at once."""

CHUNK_WINDOW = 12
"""The most chunks that one pull asks for."""

HEARD_LIMIT = 256
"""The most peers whose revision is remembered."""

TRANSFER_CACHE_LIMIT = 8
"""The most encoded transfers that are kept for pulls."""


class PeerDirectory(Protocol):
    """What the spread of the table needs to know about its peers."""

    def choose_push_targets(self, count: int) -> Sequence[str]:
        """Return peers to tell of a new revision."""
        ...

    def choose_complete_peers(self, count: int) -> Sequence[str]:
        """Return peers that keep all rows."""
        ...

    def keeps_all_rows(self, name: str) -> bool:
        """Return whether a peer keeps all rows."""
        ...


class Rumor(NamedTuple):
    """A new revision that is still pushed to peers."""

    chunks: tuple[TableChunk, ...]
    """What is pushed."""

    learnt_ms: int
    """When the revision was learnt."""

    round_number: int
    """The next round."""


class TableSpread:
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
        self.heard: OrderedDict[str, int] = OrderedDict()
        self.highest_heard = 0
        self.rumors: list[Rumor] = []
        self.assembly: Assembly | None = None
        self.pull_due_ms: int | None = None
        self.pull_attempts = 0
        self.transfers: OrderedDict[tuple[int, str], tuple[TableChunk, ...]] = (
            OrderedDict()
        )
        self.counts: Counter[str] = Counter()

    @property
    def is_behind(self) -> bool:
        """Whether a peer is known to have a higher revision."""
        return self.highest_heard > self.version.revision

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
            self._remember([delta])
        self._put_in_force(table, dict(service_digests), version)
        return True

    def hear(self, sender: str, revision: int, digest: bytes | None = None) -> None:
        """Note a peer's revision; plan a pull when it is higher."""
        self.heard[sender] = revision
        self.heard.move_to_end(sender)
        if len(self.heard) > HEARD_LIMIT:
            self.heard.popitem(last=False)
        if revision == self.version.revision:
            if digest is not None and digest != self.version.digest:
                self.counts["digest_conflict"] += 1
        elif revision > self.version.revision:
            self.highest_heard = max(revision, self.highest_heard)
            if self.pull_due_ms is None:
                jitter_ms = self.source.randrange(PULL_JITTER_MS)
                self.pull_due_ms = self.clock.now_ms() + jitter_ms

    def tick(self) -> list[SendMessage]:
        """Return the pushes and pulls that are due."""
        sends: list[SendMessage] = []
        now_ms = self.clock.now_ms()
        if self.rumors:
            sends += self._push(now_ms)
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
        self.highest_heard = max(self.highest_heard, chunk.revision)
        if not self._is_usable(chunk):
            self._plan_pull()
            return []
        if self.assembly is None or not self.assembly.fits(chunk):
            if not self._replaces_assembly(chunk):
                return []
            self.assembly = Assembly(chunk)
        known = len(self.assembly.parts)
        if self.assembly.add(chunk):
            self._finish(self.assembly)
            return []
        if len(self.assembly.parts) > known:
            now_ms = self.clock.now_ms()
            self.pull_due_ms = now_ms + PULL_RETRY_MS
            if len(self.assembly.parts) % CHUNK_WINDOW == 0:
                return self._pull(now_ms)
        return []

    def discard(self) -> None:
        """Forget a table that was never served, to take another from peers."""
        self.table = EMPTY_TABLE
        self.version = TableVersion(0, digest_services({}))
        self.service_digests = {}
        self.rumors.clear()
        self.transfers.clear()
        self._plan_pull()

    def _is_newer(self, version: TableVersion) -> bool:
        if version.revision < self.version.revision:
            self.counts["lower_revision"] += 1
            return False
        if version.revision == self.version.revision:
            if version.digest != self.version.digest:
                self.counts["digest_conflict"] += 1
            return False
        return True

    def _put_in_force(
        self, table: Table, service_digests: dict[str, bytes], version: TableVersion
    ) -> None:
        self.table = table
        self.service_digests = service_digests
        self.version = version
        self.assembly = None
        self.pull_attempts = 0
        self.transfers.clear()
        self.pull_due_ms = None
        self.counts["accepted"] += 1
        if self.is_behind:
            self._plan_pull()

    def _remember(self, deltas: Sequence[TableDelta]) -> None:
        for delta in deltas:
            self.history.add(delta)
        since, version = deltas[0].since.revision, deltas[-1].until
        chunks = cut_chunks(encode_deltas(deltas), since, version, "")
        if len(chunks) <= CHUNK_WINDOW:
            self.rumors = [Rumor(chunks, self.clock.now_ms(), 0)]

    def _push(self, now_ms: int) -> list[SendMessage]:
        sends: list[SendMessage] = []
        kept: list[Rumor] = []
        for rumor in self.rumors:
            if now_ms < rumor.learnt_ms + PUSH_ROUNDS_MS[rumor.round_number]:
                kept.append(rumor)
                continue
            for target in self.peers.choose_push_targets(PUSH_TARGETS):
                if self.heard.get(target, 0) >= rumor.chunks[0].revision:
                    continue
                sends += [
                    SendMessage(target, chunk, ControlPriority.EDITS)
                    for chunk in rumor.chunks
                ]
            if rumor.round_number + 1 < len(PUSH_ROUNDS_MS):
                kept.append(rumor._replace(round_number=rumor.round_number + 1))
        self.rumors = kept
        return sends

    def _plan_pull(self) -> None:
        if self.pull_due_ms is None:
            self.pull_due_ms = self.clock.now_ms()

    def _pull(self, now_ms: int) -> list[SendMessage]:
        self.pull_due_ms = now_ms + PULL_RETRY_MS
        self.pull_attempts += 1
        sources = self._choose_sources()
        if not sources:
            return []
        if self.assembly is not None:
            return self._pull_missing(self.assembly, sources)
        since = self.version.revision if self.pull_attempts <= 4 else 0
        scope = "" if self.scope.is_whole else self.scope.backend_server
        pull = TablePull(since, scope)
        return [SendMessage(sources[0], pull, ControlPriority.EDITS)]

    def _pull_missing(
        self, assembly: Assembly, sources: Sequence[str]
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

    def _choose_sources(self) -> list[str]:
        needs_all = self.version.revision == 0 or self.pull_attempts > 2
        sources = [
            name
            for name, revision in self.heard.items()
            if revision > self.version.revision
            and (not needs_all or self.peers.keeps_all_rows(name))
        ]
        if needs_all and len(sources) < PULL_SOURCES:
            others = self.peers.choose_complete_peers(PULL_SOURCES)
            sources += [name for name in others if name not in sources]
        self.source.shuffle(sources)
        return sources[:PULL_SOURCES]

    def _find_transfer(self, since: int, scope: str) -> tuple[TableChunk, ...]:
        key = (since, scope)
        if key in self.transfers:
            return self.transfers[key]
        chunks = self._encode_transfer(since, scope)
        if len(self.transfers) >= TRANSFER_CACHE_LIMIT:
            self.transfers.popitem(last=False)
        self.transfers[key] = chunks
        return chunks

    def _encode_transfer(self, since: int, scope: str) -> tuple[TableChunk, ...]:
        chain = self.history.find_chain(since, self.version.revision) if since else ()
        if chain:
            return cut_chunks(encode_deltas(chain), since, self.version, "")
        image = self.scope.cut_image(self.table, self.service_digests, scope)
        if image is None:
            return ()
        return cut_chunks(encode_image(image), 0, self.version, scope)

    def _is_usable(self, chunk: TableChunk) -> bool:
        if chunk.since_revision:
            return chunk.since_revision == self.version.revision
        return chunk.scope == ("" if self.scope.is_whole else self.scope.backend_server)

    def _replaces_assembly(self, chunk: TableChunk) -> bool:
        held = self.assembly
        return (
            held is None
            or chunk.revision > held.version.revision
            or held.since_revision not in (0, self.version.revision)
            or chunk.chunk_count < held.chunk_count - len(held.parts)
        )

    def _finish(self, assembly: Assembly) -> None:
        self.assembly = None
        try:
            if assembly.since_revision:
                self._apply_deltas(decode_deltas(assembly.join()), assembly.version)
            else:
                self._apply_image(decode_image(assembly.join()), assembly.version)
        except MalformedTransferError:
            self.counts["transfer_rejected"] += 1
            self._plan_pull()

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
        self._remember(deltas)
        self._put_in_force(
            Table(version.revision, kept.rows), kept.service_digests, version
        )

    def _apply_image(self, image: TableImage, version: TableVersion) -> None:
        table = Table(version.revision, image.rows)
        if digest_each_service(table) != image.service_digests:
            raise MalformedTransferError("rows do not match their digests")
        if self.scope.is_whole:
            if digest_services(image.service_digests) != version.digest:
                raise MalformedTransferError("table does not match its digest")
            if self.version.revision:
                self.history.add(
                    make_delta(
                        self.table, self.service_digests, table, image.service_digests
                    )
                )
        self._put_in_force(table, image.service_digests, version)
