"""Detects unreachable members by probes, indirect probes and refutable suspicion."""

import random
from typing import NamedTuple

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.spread._budget import ControlPriority
from citronwinch.coordination.spread._membership import Membership
from citronwinch.coordination.spread._messages import (
    MemberFact,
    MemberStatus,
    Probe,
    ProbeAnswer,
    SendMessage,
)

PROBE_INTERVAL_MS = 1_000
"""The interval between the probes that a process starts, in milliseconds."""

RESEND_INTERVAL_MS = 400
"""How long a probe waits for its answer before it is sent again, in milliseconds."""

DIRECT_ATTEMPTS = 2
"""How often a probe is sent before other members are asked for indirect probes."""

PROBE_TIMEOUT_MS = 1_600
"""How long a probe may stay unanswered in all before its target is suspected, in
milliseconds."""

SUSPICION_TIMEOUT_MS = 4_000
"""How long a suspected member has to refute the suspicion, in milliseconds."""

SUSPECT_PROBE_INTERVAL_MS = 700
"""The interval at which a suspected member is probed again, in milliseconds; each of
these probes carries the suspicion, so that the member can refute it."""

ISOLATION_TIMEOUT_MS = 3_000
"""How long a process receives no message from any member before it assumes that its own
connection is down and suspects no member, in milliseconds."""

INDIRECT_PROBE_COUNT = 3
"""The number of members that are asked to probe a member that did not answer."""

INDIRECT_PROBE_LIMIT = 128
"""The most indirect probes that are stored until their answers arrive; the oldest is
dropped first."""

UNREACHABLE_PROBE_PERIOD = 8
"""One in this many probes goes to an unreachable member, to notice its return."""

MANY_UNREACHABLE = 8
"""From this number of unreachable members on, a network partition is the likely cause;
they are then probed more often, to notice its end."""

MANY_UNREACHABLE_PROBE_PERIOD = 2
"""One in this many probes goes to an unreachable member while there are many."""

PAUSE_INTERVALS = 3
"""A gap between two ticks of more than this many probe intervals counts as a pause of
this process."""

VIEW_PART_SCHEDULE = (0, 0, 1, 0, 0, 2, 0, 1)
"""The part of the view that each probe in turn goes to: 0 is the own availability zone,
1 the rest of the own region, 2 other regions."""


class PendingProbe(NamedTuple):
    """A probe that waits for its answer."""

    target: str
    """The probed member."""

    sent_ms: int
    """When the probe was first sent."""

    attempts: int = 1
    """How often the probe has been sent."""


class Suspicion(NamedTuple):
    """The suspicion of a member that did not answer and may still refute it."""

    since_ms: int
    """When the member became suspected."""

    probed_ms: int
    """When the member was last probed again; 0 if it was not."""


class IndirectProbe(NamedTuple):
    """A probe that this process sent because another member asked for it."""

    requester: str
    """The member that asked for the probe."""

    number: int
    """The number that the requester gave the probe, which its answer repeats."""


class TableState(NamedTuple):
    """What a probe or answer states about its sender's table."""

    digest: bytes
    """The digest of the `TableVersion`."""

    age_ms: int
    """The time since any process last compared the table with the configuration
    service, as far as the sender knows, in milliseconds."""


class FailureDetector:
    """Probes members in turn and marks those unreachable that do not answer.

    A member becomes suspected when it answers neither direct nor indirect probes, and
    unreachable when it does not refute the suspicion in time. A process that receives
    no messages at all changes no member's status. After a pause of this process all
    pending probes and suspicions are discarded, since their timers ran while it could
    not receive answers.
    """

    def __init__(
        self, membership: Membership, clock: Clock, rng: random.Random
    ) -> None:
        self.membership = membership
        self.clock = clock
        self.rng = rng
        self.probe_interval_ms = PROBE_INTERVAL_MS
        self.last_probe_number = 0
        self.probe_count = 0
        self.part_positions = [0, 0, 0]
        self.pending: dict[int, PendingProbe] = {}
        self.suspicions: dict[str, Suspicion] = {}
        self.indirect_probes: dict[int, IndirectProbe] = {}
        now_ms = clock.now_ms()
        self.next_probe_ms = now_ms + rng.randrange(PROBE_INTERVAL_MS)
        self.last_tick_ms = now_ms
        self.last_received_ms = now_ms
        self.pause_count = 0

    def record_message(self, sender: str) -> None:
        """Record a member's message, which ends pending probes and suspicion of it."""
        self.last_received_ms = self.clock.now_ms()
        if self.pending:
            for number, probe in list(self.pending.items()):
                if probe.target == sender:
                    del self.pending[number]
        self.suspicions.pop(sender, None)

    def tick(self, state: TableState) -> list[SendMessage]:
        """Mark members whose timeouts have passed; return the probes that are due."""
        now_ms = self.clock.now_ms()
        elapsed_ms, self.last_tick_ms = now_ms - self.last_tick_ms, now_ms
        if elapsed_ms > PAUSE_INTERVALS * self.probe_interval_ms:
            self.reset_after_pause()
        sends: list[SendMessage] = []
        if self.pending:
            sends += self._retry_pending(now_ms, state)
        if self.suspicions:
            sends += self._review_suspicions(now_ms, state)
        if now_ms >= self.next_probe_ms:
            self.next_probe_ms = now_ms + self.probe_interval_ms
            target = self._choose_target()
            if target is not None:
                sends.append(self.probe(target, state))
        return sends

    def reset_after_pause(self) -> None:
        """Discard all pending probes and suspicions after a pause of this process."""
        self.pause_count += 1
        self.pending.clear()
        self.suspicions.clear()
        self.indirect_probes.clear()
        self.last_received_ms = self.clock.now_ms()
        self.next_probe_ms = self.clock.now_ms()

    def probe(self, target: str, state: TableState) -> SendMessage:
        """Return a new probe of a member, whose answer is then awaited."""
        self.last_probe_number += 1
        now_ms = self.clock.now_ms()
        self.pending[self.last_probe_number] = PendingProbe(target, now_ms)
        return self._send_probe(target, self.last_probe_number, state)

    def cancel_unsent(self, probe: Probe) -> None:
        """Stop waiting for the answer to a probe that the control budget refused."""
        self.pending.pop(probe.number, None)

    def handle_probe(
        self, sender: str, probe: Probe, state: TableState
    ) -> list[SendMessage]:
        """Answer a probe, or send an indirect probe to the member that it names."""
        own = self.membership.own.name
        if not probe.target or probe.target == own:
            return [self._answer(sender, probe.number, state)]
        if probe.target not in self.membership.members:
            return []
        self.last_probe_number += 1
        if len(self.indirect_probes) >= INDIRECT_PROBE_LIMIT:
            self.indirect_probes.pop(next(iter(self.indirect_probes)))
        self.indirect_probes[self.last_probe_number] = IndirectProbe(
            sender, probe.number
        )
        return [self._send_probe(probe.target, self.last_probe_number, state)]

    def handle_answer(
        self, sender: str, answer: ProbeAnswer, state: TableState
    ) -> list[SendMessage]:
        """Complete a pending probe; answer the requester if it was an indirect one."""
        pending = self.pending.pop(answer.number, None)
        if pending is not None:
            self.suspicions.pop(pending.target, None)
        indirect = self.indirect_probes.pop(answer.number, None)
        if indirect is None:
            return []
        return [self._answer(indirect.requester, indirect.number, state)]

    def _send_probe(self, target: str, number: int, state: TableState) -> SendMessage:
        facts = self.membership.dequeue_facts(target)
        message = Probe(number, state.digest, state.age_ms, "", facts)
        return SendMessage(target, message, ControlPriority.MEMBERSHIP)

    def _answer(self, receiver: str, number: int, state: TableState) -> SendMessage:
        facts = self.membership.dequeue_facts(receiver)
        message = ProbeAnswer(number, state.digest, state.age_ms, facts)
        return SendMessage(receiver, message, ControlPriority.MEMBERSHIP)

    def _retry_pending(self, now_ms: int, state: TableState) -> list[SendMessage]:
        sends: list[SendMessage] = []
        for number, probe in list(self.pending.items()):
            waited_ms = now_ms - probe.sent_ms
            if waited_ms >= PROBE_TIMEOUT_MS:
                del self.pending[number]
                self._suspect(probe.target)
            elif waited_ms >= RESEND_INTERVAL_MS * probe.attempts:
                self.pending[number] = probe._replace(attempts=probe.attempts + 1)
                sends.append(self._send_probe(probe.target, number, state))
                if probe.attempts == DIRECT_ATTEMPTS:
                    sends += self._request_indirect_probes(number, probe.target, state)
        return sends

    def _request_indirect_probes(
        self, number: int, target: str, state: TableState
    ) -> list[SendMessage]:
        view = self.membership.view
        names = [name for name in (*view.own_zone, *view.own_region) if name != target]
        probers = self.rng.sample(names, min(INDIRECT_PROBE_COUNT, len(names)))
        message = Probe(number, state.digest, state.age_ms, target)
        return [
            SendMessage(prober, message, ControlPriority.MEMBERSHIP)
            for prober in probers
        ]

    def _suspect(self, target: str) -> None:
        now_ms = self.clock.now_ms()
        if now_ms - self.last_received_ms > ISOLATION_TIMEOUT_MS:
            return
        member = self.membership.members.get(target)
        if member is None or member.status is MemberStatus.UNREACHABLE:
            return
        self.suspicions.setdefault(target, Suspicion(now_ms, 0))
        if member.status is MemberStatus.LIVE:
            self._set_status(member.instance.name, MemberStatus.SUSPECT)

    def _review_suspicions(self, now_ms: int, state: TableState) -> list[SendMessage]:
        if now_ms - self.last_received_ms > ISOLATION_TIMEOUT_MS:
            return []
        sends: list[SendMessage] = []
        for name, (since_ms, probed_ms) in list(self.suspicions.items()):
            member = self.membership.members.get(name)
            if member is None or member.status is MemberStatus.LIVE:
                del self.suspicions[name]
            elif now_ms - since_ms >= SUSPICION_TIMEOUT_MS:
                del self.suspicions[name]
                self._set_status(name, MemberStatus.UNREACHABLE)
            elif now_ms - probed_ms >= SUSPECT_PROBE_INTERVAL_MS:
                self.suspicions[name] = Suspicion(since_ms, now_ms)
                self.last_probe_number += 1
                sends.append(self._send_probe(name, self.last_probe_number, state))
        return sends

    def _set_status(self, name: str, status: MemberStatus) -> None:
        member = self.membership.members[name]
        fact = MemberFact(name, member.incarnation, status)
        self.membership.accept_fact(fact)

    def _choose_target(self) -> str | None:
        self.probe_count += 1
        membership = self.membership
        many = len(membership.unreachable) >= MANY_UNREACHABLE
        period = MANY_UNREACHABLE_PROBE_PERIOD if many else UNREACHABLE_PROBE_PERIOD
        if membership.unreachable and self.probe_count % period == 0:
            return self.rng.choice(sorted(membership.unreachable))
        view = membership.view
        wanted = VIEW_PART_SCHEDULE[self.probe_count % len(VIEW_PART_SCHEDULE)]
        for part in (wanted, 0, 1, 2):
            names = view[part]
            if names:
                self.part_positions[part] += 1
                return names[self.part_positions[part] % len(names)]
        return None
