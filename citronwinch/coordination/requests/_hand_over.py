"""Records that agents have handed over, and who may have them back."""

from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.requests._actions import RequestArrival
from citronwinch.coordination.requests._eras import ERA_AGE_LIMIT_MS, RequestEras
from citronwinch.coordination.requests._messages import RequestRecords, split_records
from citronwinch.coordination.requests._metadata import RequestKind, RequestMetadata
from citronwinch.coordination.requests._open import OpenRequests
from citronwinch.coordination.requests._records import (
    OPEN_STATES,
    ExportedRecord,
    RequestKey,
)
from citronwinch.coordination.requests._window import RequestWindow

GIVE_BACK_LIMIT_MS = 30_000
"""How long an agent may have its records back, in milliseconds."""


class HandedOver(NamedTuple):
    """A complete hand-over of another agent."""

    keys: frozenset[RequestKey]
    """The requests."""

    era_started_ms: int
    """Since when the former owner's records are complete, by the own clock."""

    received_ms: int
    """When it was complete."""


class RecordExchange:
    """Hands records over, takes them over and gives them back.

    A hand-over is given back once. An agent that has its records back from a
    majority of its peers knows that no run of it in between had them, because that
    run would have taken them from one of these peers.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        window: RequestWindow,
        open_requests: OpenRequests,
        eras: RequestEras,
    ) -> None:
        self.name = name
        self.clock = clock
        self.window = window
        self.open = open_requests
        self.eras = eras
        self.receiving: dict[tuple[str, str], set[RequestKey]] = {}
        self.complete: dict[str, HandedOver] = {}
        self.givers: set[str] = set()

    def hand_over(self, flow: FlowKey | None = None) -> list[RequestRecords]:
        """Return the records of a flow, or all, for its next owner."""
        records = self.window.export_records(flow)
        era_age_ms = self.eras.find_age_ms(self.clock.now_ms())
        return split_records(self.name if flow is None else "", era_age_ms, records)

    def take_over(
        self, message: RequestRecords, sender: str = "", peer_count: int = 1
    ) -> None:
        """Take over records of a former owner.

        With all records of its own former run, given back by a majority of its
        peers, an agent serves at once, from where that run's knowledge began. Records
        that do not fit are as good as lost.
        """
        now_ms = self.clock.now_ms()
        if not self.window.import_records(message.records):
            self.eras.begin(now_ms)
            return
        for item in message.records:
            if item.state in OPEN_STATES and self.open.find(item.key) is None:
                self._reopen(item, now_ms)
        if not message.agent or not self._accept(message, sender):
            return
        if message.agent != self.name:
            self._finish(message, sender, now_ms)
        elif self._has_majority(sender, peer_count):
            self.eras.end_grace(now_ms - message.era_age_ms)

    def give_back(self, agent: str) -> list[RequestRecords]:
        """Return the records of an agent that has started again, once."""
        now_ms = self.clock.now_ms()
        handed_over = self._take(agent, now_ms)
        if handed_over is None:
            return []
        exported = self.window.export_records()
        records = [item for item in exported if item.key in handed_over.keys]
        era_age_ms = min(now_ms - handed_over.era_started_ms, ERA_AGE_LIMIT_MS)
        return split_records(agent, era_age_ms, records)

    def note_member(self, name: str) -> None:
        """Note that a member runs; what it handed over before is of no use to it."""
        self._drop(name)

    def _reopen(self, item: ExportedRecord, now_ms: int) -> None:
        request = RequestMetadata(
            RequestKind.REQUEST, item.key.request_id, item.repeatable, item.remaining_ms
        )
        arrival = RequestArrival(item.key.flow, "", request, b"", now_ms)
        self.open.add(arrival, is_guest=False)
        self.open.add_deadline(item.key, now_ms + item.remaining_ms)

    def _accept(self, message: RequestRecords, sender: str) -> bool:
        """Note a message; return whether its hand-over is complete now."""
        place = (message.agent, sender)
        received = self.receiving.setdefault(place, set())
        received.update(item.key for item in message.records)
        return len(received) >= message.total

    def _finish(self, message: RequestRecords, sender: str, now_ms: int) -> None:
        """Keep a complete hand-over of another agent."""
        keys = frozenset(self.receiving.pop((message.agent, sender)))
        era_started_ms = now_ms - message.era_age_ms
        self.complete[message.agent] = HandedOver(keys, era_started_ms, now_ms)

    def _has_majority(self, sender: str, peer_count: int) -> bool:
        """Note who gave the own records back; return whether that suffices."""
        self.givers.add(sender)
        return 2 * len(self.givers) > peer_count

    def _take(self, agent: str, now_ms: int) -> HandedOver | None:
        """Return a hand-over for the one time that it may be given back."""
        handed_over = self.complete.pop(agent, None)
        if handed_over is None:
            return None
        age_ms = now_ms - handed_over.received_ms
        return handed_over if age_ms <= GIVE_BACK_LIMIT_MS else None

    def _drop(self, agent: str) -> None:
        """Forget the hand-over of an agent that runs again."""
        self.complete.pop(agent, None)
        for place in [place for place in self.receiving if place[0] == agent]:
            del self.receiving[place]
