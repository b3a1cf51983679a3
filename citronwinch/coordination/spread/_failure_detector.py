"""Finds members that do not answer, without acting on old verdicts after a pause."""

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
"""How often a member probes another one, in milliseconds."""

RESEND_INTERVAL_MS = 400
"""How long a direct probe may take before it is sent again, in milliseconds."""

DIRECT_ATTEMPTS = 2
"""How often a probe is sent before others are asked."""

PROBE_TIMEOUT_MS = 1_600
"""How long a probe may take in all before its target is suspected."""

SUSPICION_TIMEOUT_MS = 4_000
"""How long a suspected member may take to refute that, in milliseconds."""

SUSPECT_PROBE_INTERVAL_MS = 700
"""How often a suspected member is told so and asked again, in milliseconds."""

ISOLATION_TIMEOUT_MS = 3_000
"""After this long without any message the silence is taken as this process's own."""

INDIRECT_PROBE_COUNT = 3
"""How many members are asked to probe one that did not answer."""

RELAYED_PROBE_LIMIT = 128
"""The most probes on behalf of others that are remembered."""

UNREACHABLE_PROBE_PERIOD = 8
"""One in so many probes goes to a member that is held to be unreachable."""

MANY_UNREACHABLE = 8
"""From how many unreachable members on a partition is likely to end some time."""

MANY_UNREACHABLE_PROBE_PERIOD = 2
"""One in so many probes goes to an unreachable member while there are many."""

PAUSE_INTERVALS = 3
"""A tick that comes later than this many probe intervals follows a pause."""

VIEW_PART_SCHEDULE = (0, 0, 1, 0, 0, 2, 0, 1)
"""Which part of the view is probed in turn: 0 own zone, 1 own region, 2 others."""


class PendingProbe(NamedTuple):
    """A probe without an answer so far."""

    target: str
    """The member."""

    sent_ms: int
    """When it was sent."""

    attempts: int = 1
    """How often it was sent."""


class Suspicion(NamedTuple):
    """A member that did not answer and may still refute the suspicion."""

    since_ms: int
    """When it was suspected."""

    probed_ms: int
    """When it was last told and asked again."""


class RelayedProbe(NamedTuple):
    """A probe on behalf of another member."""

    requester: str
    """Who asked."""

    number: int
    """The number that it used."""


class TableState(NamedTuple):
    """What each probe says of the sender's table."""

    digest: bytes
    """Its digest."""

    age_ms: int
    """How long ago it was compared with the service by anyone known."""


class FailureDetector:
    """Probes members in turn, suspects the silent ones and lets them refute it.

    A member is unreachable when it answered neither a direct probe nor those of
    helpers, and did not refute the suspicion. No verdict is passed by a process
    that itself hears nobody, and a pause discards everything that was pending.
    """

    def __init__(
        self, membership: Membership, clock: Clock, source: random.Random
    ) -> None:
        self.membership = membership
        self.clock = clock
        self.source = source
        self.probe_interval_ms = PROBE_INTERVAL_MS
        self.number = 0
        self.turn = 0
        self.positions = [0, 0, 0]
        self.pending: dict[int, PendingProbe] = {}
        self.suspicions: dict[str, Suspicion] = {}
        self.relayed_probes: dict[int, RelayedProbe] = {}
        now_ms = clock.now_ms()
        self.next_probe_ms = now_ms + source.randrange(PROBE_INTERVAL_MS)
        self.last_tick_ms = now_ms
        self.last_received_ms = now_ms
        self.pause_count = 0

    def record_message(self, sender: str) -> None:
        """Note a sign of life, which settles what was pending about the sender."""
        self.last_received_ms = self.clock.now_ms()
        if self.pending:
            for number, probe in list(self.pending.items()):
                if probe.target == sender:
                    del self.pending[number]
        self.suspicions.pop(sender, None)

    def tick(self, state: TableState) -> list[SendMessage]:
        """Return the probes that are due; pass the verdicts that are due."""
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
        """Discard what was pending before a pause of this process."""
        self.pause_count += 1
        self.pending.clear()
        self.suspicions.clear()
        self.relayed_probes.clear()
        self.last_received_ms = self.clock.now_ms()
        self.next_probe_ms = self.clock.now_ms()

    def probe(self, target: str, state: TableState) -> SendMessage:
        """Return a probe of a member and await its answer."""
        self.number += 1
        now_ms = self.clock.now_ms()
        self.pending[self.number] = PendingProbe(target, now_ms)
        return self._send_probe(target, self.number, state)

    def cancel_unsent(self, probe: Probe) -> None:
        """Expect no answer to a probe that the budget did not allow."""
        self.pending.pop(probe.number, None)

    def handle_probe(
        self, sender: str, probe: Probe, state: TableState
    ) -> list[SendMessage]:
        """Answer a probe, or pass it on to the member that it is for."""
        own = self.membership.own.name
        if not probe.target or probe.target == own:
            return [self._answer(sender, probe.number, state)]
        if probe.target not in self.membership.members:
            return []
        self.number += 1
        if len(self.relayed_probes) >= RELAYED_PROBE_LIMIT:
            self.relayed_probes.pop(next(iter(self.relayed_probes)))
        self.relayed_probes[self.number] = RelayedProbe(sender, probe.number)
        return [self._send_probe(probe.target, self.number, state)]

    def handle_answer(
        self, sender: str, answer: ProbeAnswer, state: TableState
    ) -> list[SendMessage]:
        """Settle a probe, or tell the member on whose behalf it was sent."""
        pending = self.pending.pop(answer.number, None)
        if pending is not None:
            self.suspicions.pop(pending.target, None)
        relay = self.relayed_probes.pop(answer.number, None)
        if relay is None:
            return []
        return [self._answer(relay.requester, relay.number, state)]

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
        names = [n for n in (*view.own_zone, *view.own_region) if n != target]
        helpers = self.source.sample(names, min(INDIRECT_PROBE_COUNT, len(names)))
        message = Probe(number, state.digest, state.age_ms, target)
        return [
            SendMessage(helper, message, ControlPriority.MEMBERSHIP)
            for helper in helpers
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
                self.number += 1
                sends.append(self._send_probe(name, self.number, state))
        return sends

    def _set_status(self, name: str, status: MemberStatus) -> None:
        member = self.membership.members[name]
        fact = MemberFact(name, member.incarnation, status)
        self.membership.accept_fact(fact)

    def _choose_target(self) -> str | None:
        self.turn += 1
        membership = self.membership
        many = len(membership.unreachable) >= MANY_UNREACHABLE
        period = MANY_UNREACHABLE_PROBE_PERIOD if many else UNREACHABLE_PROBE_PERIOD
        if membership.unreachable and self.turn % period == 0:
            return self.source.choice(sorted(membership.unreachable))
        view = membership.view
        wanted = VIEW_PART_SCHEDULE[self.turn % len(VIEW_PART_SCHEDULE)]
        for part in (wanted, 0, 1, 2):
            names = view[part]
            if names:
                self.positions[part] += 1
                return names[self.positions[part] % len(names)]
        return None
