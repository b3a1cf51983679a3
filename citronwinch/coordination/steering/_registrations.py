"""Registration of owned flows with their homes, on both sides.

`Registrations` is the side of the owner: it sends the flows that this agent owns to
their homes. `OwnerRegistry` is mainly the side of the home: it stores the owners of
flows that other agents registered with this agent, that this agent assigned to them, or
that the answer to a query named.
"""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._byte_budget import ByteBudget
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.steering._messages import Register

REGISTER_FLOWS = 64
"""The most flows in one registration."""

REGISTER_RETRY_MS = 500
"""How soon an unacknowledged registration is repeated, in milliseconds."""

WITHDRAWAL_DELAY_MS = 5_000
"""How long withdrawals wait to be sent in one message, in milliseconds."""

MOVED_WITHDRAWAL_DELAY_MS = 5_500
"""How long a home keeps a flow after its home has moved, in milliseconds.

It exceeds the validity of a lease: a lease from before the move says that the home
knows all flows, and it may still take itself for the flow's home.
"""

REGISTER_BURST_BYTES = 65_536
"""The burst size of the rate limit on registrations, in bytes."""

REGISTER_BYTES_PER_SECOND = 1_000
"""The sustained rate limit on registrations, in bytes per second."""

REGISTER_OVERHEAD_BYTES = 200
"""The size of a registration without its flows, in bytes."""

REGISTRY_LIMIT = 65_536
"""The most flows of other owners in the owner registry of a home."""


class SentRegistration(NamedTuple):
    """A registration that has not been acknowledged yet."""

    home: str
    """The home that it was sent to."""

    message: Register
    """The message that was sent."""

    sent_ms: int
    """When it was last sent, in milliseconds."""


class Registrations:
    """Registers owned flows with their homes.

    Registrations are sent at a limited rate and repeated until acknowledged. `homes`
    has the home that each flow is registered with, or will be once the messages have
    arrived. `pending` has the flows to send by home and service: true for a flow to
    register, false for a flow to withdraw because this agent no longer owns it or its
    home has moved. `moved` has, by home and service, when to withdraw the flows whose
    home has moved.
    """

    def __init__(self, clock: Clock, first_number: int = 1) -> None:
        self.clock = clock
        self.next_number = first_number
        self.homes: dict[FlowKey, str] = {}
        self.pending: dict[tuple[str, str], dict[FlowKey, bool]] = {}
        self.moved: dict[tuple[str, str], dict[FlowKey, int]] = {}
        self.unacknowledged: dict[int, SentRegistration] = {}
        self.last_sent_ms: dict[str, int] = {}
        self.budget = ByteBudget(clock, REGISTER_BURST_BYTES, REGISTER_BYTES_PER_SECOND)

    def register(self, service: str, flow: FlowKey, home: str) -> None:
        """Register a flow with its home, and withdraw it from its former home.

        A flow that is already registered with that home is not sent again.
        """
        known = self.homes.get(flow)
        if known == home:
            return
        self.withdraw_moved(service, flow)
        self.moved.get((home, service), {}).pop(flow, None)
        self.homes[flow] = home
        self.pending.setdefault((home, service), {})[flow] = True

    def record_home(self, flow: FlowKey, home: str) -> None:
        """Record, without a registration, the home that assigned a flow to this agent.

        That home already knows the owner.
        """
        self.homes[flow] = home

    def withdraw_moved(self, service: str, flow: FlowKey) -> None:
        """Withdraw an owned flow whose home has moved, after a delay."""
        home = self.homes.pop(flow, None)
        if home is not None:
            due_ms = self.clock.now_ms() + MOVED_WITHDRAWAL_DELAY_MS
            flows = self.moved.setdefault((home, service), {})
            flows.pop(flow, None)
            flows[flow] = due_ms

    def withdraw(self, service: str, flow: FlowKey) -> None:
        """Withdraw a flow that this agent no longer owns from its home."""
        home = self.homes.pop(flow, None)
        if home is not None:
            self.pending.setdefault((home, service), {})[flow] = False

    def discard_home(self, home: str) -> None:
        """Discard the registrations at a home that was restarted or is unavailable."""
        for key in [key for key in self.pending if key[0] == home]:
            del self.pending[key]
        for key in [key for key in self.moved if key[0] == home]:
            del self.moved[key]
        for number in [
            number
            for number, registration in self.unacknowledged.items()
            if registration.home == home
        ]:
            del self.unacknowledged[number]
        for flow in [flow for flow, known in self.homes.items() if known == home]:
            del self.homes[flow]

    def is_complete(self, home: str, service: str) -> bool:
        """Return whether a home has acknowledged all registered flows of a service."""
        if any(self.pending.get((home, service), {}).values()):
            return False
        return not any(
            registration.home == home
            and registration.message.service == service
            and registration.message.flows
            for registration in self.unacknowledged.values()
        )

    def has_outstanding(self) -> bool:
        """Return whether any home has not acknowledged a flow yet."""
        return any(any(flows.values()) for flows in self.pending.values()) or any(
            registration.message.flows for registration in self.unacknowledged.values()
        )

    def acknowledge(self, sender: str, number: int) -> None:
        """Record the acknowledgement of a registration."""
        registration = self.unacknowledged.get(number)
        if registration is not None and registration.home == sender:
            del self.unacknowledged[number]

    def due_registrations(self) -> list[tuple[str, Register]]:
        """Return the registrations to send now, with their receivers."""
        now_ms = self.clock.now_ms()
        sending: list[tuple[str, Register]] = []
        for number, registration in list(self.unacknowledged.items()):
            if now_ms - registration.sent_ms >= REGISTER_RETRY_MS and self.spend_budget(
                registration.message
            ):
                self.unacknowledged[number] = registration._replace(sent_ms=now_ms)
                sending.append((registration.home, registration.message))
        self.withdraw_due(now_ms)
        for home, service in list(self.pending):
            sending += self.send_pending(home, service)
        return sending

    def withdraw_due(self, now_ms: int) -> None:
        """Withdraw the flows whose homes moved long ago; the oldest ones are first."""
        for key, flows in list(self.moved.items()):
            for flow, due_ms in list(flows.items()):
                if due_ms > now_ms:
                    break
                del flows[flow]
                self.pending.setdefault(key, {})[flow] = False
            if not flows:
                del self.moved[key]

    def send_pending(self, home: str, service: str) -> list[tuple[str, Register]]:
        """Return the pending registrations for one home, within the rate limit."""
        pending = self.pending[home, service]
        if not self.is_due(home, pending):
            return []
        self.last_sent_ms[home] = self.clock.now_ms()
        sending: list[tuple[str, Register]] = []
        while pending:
            part = list(pending.items())[:REGISTER_FLOWS]
            flows = tuple(flow for flow, is_registered in part if is_registered)
            ended = tuple(flow for flow, is_registered in part if not is_registered)
            message = Register(service, self.next_number, flows, ended)
            if not self.spend_budget(message):
                return sending
            self.next_number += 1
            self.unacknowledged[message.number] = SentRegistration(
                home, message, self.clock.now_ms()
            )
            sending.append((home, message))
            for flow, _ in part:
                del pending[flow]
        del self.pending[home, service]
        return sending

    def is_due(self, home: str, pending: dict[FlowKey, bool]) -> bool:
        """Return whether to send now.

        Withdrawals alone wait until they fill a message, or until the last message to
        the home is `WITHDRAWAL_DELAY_MS` old.
        """
        if len(pending) >= REGISTER_FLOWS or any(pending.values()):
            return True
        return (
            self.clock.now_ms() - self.last_sent_ms.get(home, 0) >= WITHDRAWAL_DELAY_MS
        )

    def spend_budget(self, message: Register) -> bool:
        """Take a message's size from the budget; return False when it does not fit."""
        size = REGISTER_OVERHEAD_BYTES + sum(map(len, message.flows + message.ended))
        return self.budget.try_spend(size)


class Decision(NamedTuple):
    """The assignment of a flow to another agent."""

    number: int
    """Its number at the decider; 0 when the owner registered the flow by itself."""

    revision: int
    """The table revision that it was based on."""


NO_DECISION = Decision(0, 0)
"""Stands for a flow that its owner registered without a decision."""


class OwnerRegistry:
    """The known owners of flows that this agent does not own itself.

    Most are flows of which this agent is the home.
    """

    def __init__(self, limit: int = REGISTRY_LIMIT) -> None:
        self.limit = limit
        self.owners: dict[FlowKey, str] = {}
        self.registration_numbers: dict[FlowKey, int] = {}
        self.decisions: dict[FlowKey, Decision] = {}
        self.flow_counts: Counter[str] = Counter()

    def has_room(self, count: int = 1) -> bool:
        """Return whether there is room for `count` more flows."""
        return len(self.owners) + count <= self.limit

    def record(self, flow: FlowKey, owner: str, number: int = 0) -> None:
        """Record the owner of a flow, and the number of its registration."""
        self.discard(flow)
        self.owners[flow] = owner
        self.registration_numbers[flow] = number
        self.flow_counts[owner] += 1

    def assign(self, flow: FlowKey, owner: str, decision: Decision) -> None:
        """Record the owner that this agent assigned a flow to."""
        self.record(flow, owner)
        self.decisions[flow] = decision

    def find_decision(self, flow: FlowKey) -> Decision:
        """Return the decision that assigned a flow; `NO_DECISION` without one.

        The decision goes with each packet that is forwarded to the owner, because the
        packet that assigned the flow may not have arrived there.
        """
        return self.decisions.get(flow, NO_DECISION)

    def discard(self, flow: FlowKey) -> None:
        """Remove a flow."""
        owner = self.owners.pop(flow, None)
        if owner is not None:
            del self.registration_numbers[flow]
            self.decisions.pop(flow, None)
            self.flow_counts[owner] -= 1

    def accept_registration(self, sender: str, message: Register) -> bool:
        """Apply a registration; return False when there is no room for its flows."""
        new = [flow for flow in message.flows if flow not in self.owners]
        if not self.has_room(len(new)):
            return False
        for flow in message.flows:
            if not self.has_newer_registration(sender, flow, message.number):
                self.record(flow, sender, message.number)
        for flow in message.ended:
            is_same = self.owners.get(flow) == sender
            if is_same and not self.has_newer_registration(
                sender, flow, message.number
            ):
                self.discard(flow)
        return True

    def has_newer_registration(self, sender: str, flow: FlowKey, number: int) -> bool:
        """Return whether a later registration of the same owner has already arrived."""
        return (
            self.owners.get(flow) == sender and self.registration_numbers[flow] > number
        )

    def discard_former_run(self, owner: str, incarnation: int) -> None:
        """Remove the flows that a restarted owner has not registered since its start.

        A run numbers its registrations from its incarnation on.
        """
        for flow in [
            flow
            for flow, known in self.owners.items()
            if known == owner and self.registration_numbers[flow] < incarnation
        ]:
            self.discard(flow)

    def discard_owners(self, gone: Iterable[str]) -> None:
        """Remove the flows of owners that are gone."""
        names = {name for name in gone if self.flow_counts[name]}
        if names:
            for flow in [flow for flow, owner in self.owners.items() if owner in names]:
                self.discard(flow)
