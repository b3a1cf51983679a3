"""Pushes a new revision of the table to a few random peers in several rounds."""

from collections.abc import Mapping, Sequence
from typing import Protocol

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.spread._budget import ControlPriority
from citronwinch.coordination.spread._messages import SendMessage, TableChunk

PUSH_DELAYS_MS = (0, 250, 750, 1_500)
"""The delay of each push round after this process got the revision, in milliseconds."""

PUSH_FANOUT = 3
"""The number of peers that a new revision is pushed to in one round."""


class PeerDirectory(Protocol):
    """The peers that the table is pushed to and pulled from."""

    def choose_push_targets(self, count: int) -> Sequence[str]:
        """Return peers to push a new revision to."""
        ...

    def choose_whole_table_peers(self, count: int) -> Sequence[str]:
        """Return peers that store the whole table."""
        ...

    def stores_whole_table(self, name: str) -> bool:
        """Return whether a peer stores the whole table."""
        ...


class PushRounds:
    """Pushes the newest revision; a newer one replaces it."""

    def __init__(self, peers: PeerDirectory, clock: Clock) -> None:
        self.peers = peers
        self.clock = clock
        self.chunks: tuple[TableChunk, ...] = ()
        self.started_ms = 0
        self.round_number = 0

    def start(self, chunks: tuple[TableChunk, ...]) -> None:
        """Start to push a revision that this process has just got."""
        self.chunks = chunks
        self.started_ms = self.clock.now_ms()
        self.round_number = 0

    def tick(self, peer_revisions: Mapping[str, int]) -> list[SendMessage]:
        """Return the pushes that are due; skip peers known to have the revision."""
        if not self.chunks:
            return []
        due_ms = self.started_ms + PUSH_DELAYS_MS[self.round_number]
        if self.clock.now_ms() < due_ms:
            return []
        revision = self.chunks[0].revision
        sends = [
            SendMessage(target, chunk, ControlPriority.EDITS)
            for target in self.peers.choose_push_targets(PUSH_FANOUT)
            if peer_revisions.get(target, 0) < revision
            for chunk in self.chunks
        ]
        self.round_number += 1
        if self.round_number == len(PUSH_DELAYS_MS):
            self.chunks = ()
        return sends
