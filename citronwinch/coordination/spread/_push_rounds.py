"""Tells peers of a new revision, a few at a time."""

from collections.abc import Mapping, Sequence
from typing import Protocol

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.spread._budget import ControlPriority
from citronwinch.coordination.spread._messages import SendMessage, TableChunk

PUSH_DELAYS_MS = (0, 250, 750, 1_500)
"""When a new revision is pushed to peers, in milliseconds after it was learnt."""

PUSH_FANOUT = 3
"""How many peers get a new revision in one round."""


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


class PushRounds:
    """The newest revision that is still pushed; a newer one takes its place."""

    def __init__(self, peers: PeerDirectory, clock: Clock) -> None:
        self.peers = peers
        self.clock = clock
        self.chunks: tuple[TableChunk, ...] = ()
        self.learned_ms = 0
        self.round_number = 0

    def start(self, chunks: tuple[TableChunk, ...]) -> None:
        """Push a revision that was just learnt."""
        self.chunks = chunks
        self.learned_ms = self.clock.now_ms()
        self.round_number = 0

    def tick(self, peer_revisions: Mapping[str, int]) -> list[SendMessage]:
        """Return the pushes that are due, but to peers that are known to have it."""
        if not self.chunks:
            return []
        due_ms = self.learned_ms + PUSH_DELAYS_MS[self.round_number]
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
