"""Transfers an agent's flows to its peers, and restores them in its next run."""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.steering._held_transfers import TRANSFER_RETURN_MS
from citronwinch.coordination.steering._messages import (
    FlowsQuery,
    FlowTransfer,
    FlowTransferAck,
    TransferredFlow,
)

TRANSFER_FLOWS = 20
"""The most flows in one part, so that it fits one Ethernet frame with IPv6 keys."""

MESSAGES_PER_TICK = 64
"""The most parts that are sent in one tick, so that no receive buffer overflows."""

TRANSFER_RETRY_MS = 300
"""How soon an unacknowledged part is sent again, in milliseconds."""

RENEWAL_MS = 5_000
"""The age at which an agent that still runs lists its flows again, in milliseconds.

It leaves the next run 15 s of the 20 s in which the peers return a transfer.
"""

QUERY_RETRY_MS = 100
"""How soon the next query is sent, in milliseconds.

An answer has up to 64 parts, so that about 38,000 flows can be restored in time.
"""

RESTORATION_TIMEOUT_MS = 3_000
"""How long a started agent drops packets until a transfer is returned, in milliseconds.

As long as it learns of former members at most: it decides on no flow before that.
"""

LATE_QUERY_RETRY_MS = 500
"""How soon the next query is sent after `RESTORATION_TIMEOUT_MS`, in milliseconds."""


class OutgoingTransfer:
    """The transfer of a stopping agent's flows to its peers.

    A transfer is complete when every receiver has acknowledged every part. The
    receivers are all members that may decide on flows: one without the transfer would
    give the flows to another agent. If they change, the transfer starts anew.

    `pending` has the parts that are not acknowledged, with the time of their last
    sending, None before the first.
    """

    def __init__(self, clock: Clock, agent: str, incarnation: int) -> None:
        self.clock = clock
        self.agent = agent
        self.incarnation = incarnation
        self.number = 0
        self.listed_ms = 0
        self.receivers: dict[str, int] = {}
        self.flows: frozenset[TransferredFlow] = frozenset()
        self.parts: list[FlowTransfer] = []
        self.pending: dict[tuple[str, int], int | None] = {}

    def begin(
        self,
        service: str,
        path: str,
        receivers: Mapping[str, int],
        flows: Sequence[TransferredFlow],
    ) -> None:
        """Start a transfer, which replaces the one before."""
        self.number += 1
        self.listed_ms = self.clock.now_ms()
        self.receivers = dict(receivers)
        self.flows = frozenset(flows)
        groups = [
            tuple(flows[start : start + TRANSFER_FLOWS])
            for start in range(0, len(flows), TRANSFER_FLOWS)
        ]
        self.parts = [
            FlowTransfer(
                self.agent,
                self.incarnation,
                self.number,
                0,
                service,
                path,
                tuple(sorted(receivers.items())),
                part,
                len(groups),
                group,
            )
            for part, group in enumerate(groups)
        ]
        self.pending = {
            (name, part): None for part in range(len(groups)) for name in receivers
        }

    def is_due(self, receivers: Mapping[str, int]) -> bool:
        """Return whether the flows have to be listed again."""
        age_ms = self.clock.now_ms() - self.listed_ms
        return self.receivers != receivers or age_ms >= RENEWAL_MS

    @property
    def is_complete(self) -> bool:
        """Whether all receivers have acknowledged all parts."""
        return bool(self.parts) and not self.pending

    def acknowledge(self, sender: str, ack: FlowTransferAck) -> None:
        """Record an acknowledgement; one of another run of the receiver is ignored."""
        is_same_run = self.receivers.get(sender) == ack.incarnation
        if ack.number == self.number and is_same_run:
            self.pending.pop((sender, ack.part), None)

    def list_due_parts(self) -> list[tuple[str, FlowTransfer]]:
        """Return the parts to send now, with their receivers."""
        now_ms = self.clock.now_ms()
        due = [
            key
            for key, sent_ms in self.pending.items()
            if sent_ms is None or now_ms - sent_ms >= TRANSFER_RETRY_MS
        ][:MESSAGES_PER_TICK]
        for key in due:
            self.pending[key] = now_ms
        age_ms = now_ms - self.listed_ms
        return [(name, self.parts[part]._replace(age_ms=age_ms)) for name, part in due]


class ReturnedTransfer(NamedTuple):
    """A transfer that enough peers have returned."""

    service: str
    """The service of the flows."""

    path: str
    """The addresses of the previous run and of its backend server."""

    flows: tuple[TransferredFlow, ...]
    """The flows."""


class FlowRestoration:
    """Queries the peers of a started agent for the flows of its previous run.

    The flows are restored when a majority of the transfer's receivers has returned it.
    Each peer returns a transfer to one run only, and any two majorities share a peer:
    no run in between can have restored the same transfer, and a peer that was cut off
    cannot bring back an outdated one.

    After `RESTORATION_TIMEOUT_MS` the agent still waits as long as a majority may
    return a transfer, since a peer that is paused or cut off for some seconds still has
    it. Only the flows of a transfer that a receiver has returned wait meanwhile.

    `returned` is the transfer; it is None until then, and stays None without one.
    """

    def __init__(self, clock: Clock, incarnation: int) -> None:
        self.clock = clock
        self.incarnation = incarnation
        self.is_finished = False
        self.returned: ReturnedTransfer | None = None
        self.peers: frozenset[str] = frozenset()
        self.started_ms: int | None = None
        self.queried_ms: int | None = None
        self.is_late = False
        self.answered: set[str] = set()
        self.voters: defaultdict[tuple[int, int], set[str]] = defaultdict(set)
        self.parts: defaultdict[tuple[int, int], dict[int, FlowTransfer]] = defaultdict(
            dict
        )
        self.returned_until_ms: dict[tuple[int, int], int] = {}
        self.awaited_flows: dict[tuple[int, int], set[FlowKey]] = defaultdict(set)

    def list_due_queries(self, peers: Sequence[str]) -> list[tuple[str, FlowsQuery]]:
        """Return the queries to send now; without peers the restoration ends."""
        now_ms = self.clock.now_ms()
        if self.started_ms is None:
            self.started_ms = now_ms
        self.peers = frozenset(peers)
        self.is_late = now_ms - self.started_ms >= RESTORATION_TIMEOUT_MS
        is_over = self.is_late and not self.may_get_majority(now_ms, self.started_ms)
        if is_over or self.peers <= self.answered:
            self.is_finished = True
        retry_ms = LATE_QUERY_RETRY_MS if self.is_late else QUERY_RETRY_MS
        is_waiting = self.queried_ms is not None and now_ms - self.queried_ms < retry_ms
        if self.is_finished or is_waiting:
            return []
        self.queried_ms = now_ms
        query = FlowsQuery(self.incarnation, self.find_missing_part())
        return [(name, query) for name in peers if name not in self.answered]

    def may_get_majority(self, now_ms: int, started_ms: int) -> bool:
        """Return whether a majority may still return a transfer.

        Without any returned transfer, each peer may be a receiver.
        """
        if not self.parts:
            silent = self.peers - self.answered
            is_recent = now_ms - started_ms <= TRANSFER_RETURN_MS
            return is_recent and 2 * len(silent) > len(self.peers)
        version = max(self.parts)
        first_part = next(iter(self.parts[version].values()))
        receivers = {name for name, _ in first_part.receivers}
        voters = self.voters[version] | (receivers - self.answered)
        is_recent = now_ms <= self.returned_until_ms[version]
        return is_recent and 2 * len(voters) > len(receivers)

    @property
    def is_expected(self) -> bool:
        """Whether a transfer may be returned soon, or a peer has returned one."""
        return not self.is_finished and (not self.is_late or bool(self.parts))

    def may_restore(self, flow: FlowKey, *, is_sent_to_owner: bool) -> bool:
        """Return whether a flow may still be restored.

        That is each flow until `RESTORATION_TIMEOUT_MS`, later those of the latest
        transfer that was returned. Without any returned transfer it is each flow whose
        packet another agent sent to this agent as the flow's owner: if this agent
        declined it, that agent would give the flow to another owner.
        """
        if self.is_finished or not self.is_late:
            return not self.is_finished
        if not self.parts:
            return is_sent_to_owner
        version = max(self.parts)
        is_listed = flow in self.awaited_flows[version]
        parts = self.parts[version]
        has_all_parts = len(parts) == next(iter(parts.values())).part_count
        return is_listed or not has_all_parts

    def find_missing_part(self) -> int:
        """Return the first missing part of the latest transfer that was returned."""
        if not self.parts:
            return 0
        parts = self.parts[max(self.parts)]
        last_part = next(iter(parts.values())).part_count - 1
        missing = (part for part in range(last_part) if part not in parts)
        return next(missing, last_part)

    def accept(self, sender: str, message: FlowTransfer) -> None:
        """Record the answer of a peer, or one part of it."""
        if self.is_finished:
            return
        if not message.part_count:
            self.answered.add(sender)
            self.is_finished = self.peers <= self.answered
            return
        receivers = {name for name, _ in message.receivers}
        if sender not in receivers or message.incarnation >= self.incarnation:
            return
        version = (message.incarnation, message.number)
        self.voters[version].add(sender)
        parts = self.parts[version]
        parts[message.part] = message
        self.awaited_flows[version].update(found.flow for found in message.flows)
        self.returned_until_ms[version] = (
            self.clock.now_ms() + TRANSFER_RETURN_MS - message.age_ms
        )
        has_majority = 2 * len(self.voters[version]) > len(receivers)
        if has_majority and len(parts) == message.part_count:
            flows = [flow for _, part in sorted(parts.items()) for flow in part.flows]
            self.returned = ReturnedTransfer(
                message.service, message.path, tuple(flows)
            )
            self.is_finished = True
