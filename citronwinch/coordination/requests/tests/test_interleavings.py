"""Every order of copies, refusals, answers, restarts and pauses of one request."""

import itertools

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.requests import (
    PACKET_LIFETIME_MS,
    RequestKind,
    RequestMetadata,
    SendOutcome,
    StartRequest,
)
from citronwinch.coordination.requests.tests.conftest import (
    FLOW,
    START_MS,
    make_arrival,
    make_requests,
)

RESENT_AGE_MS = 1_500
EVENTS = (
    "copy",
    "resent_copy",
    "refused_copy",
    "cancel",
    "answer",
    "shed",
    "wait",
    "pause",
    "restart",
    "transfer",
    "hold_copy",
    "release_held",
    "refuse_held",
)


class ThinAgent:
    """Delivers every copy, passes outcomes on and remembers nothing."""

    def __init__(self, clock):
        self.clock = clock

    def receive(self, arrival, is_known_flow):
        return []

    def deliver(self, arrival):
        if arrival.request.kind is RequestKind.CANCEL:
            return self.refuse(arrival, "cancelled")
        return [StartRequest(arrival.key, arrival.payload)]

    def refuse(self, arrival, reason):
        return [SendOutcome(arrival.key, RequestKind.NOT_RUN, reason, 0)]

    def reply(self, flow, answer, payload):
        return []

    def advance(self, arrived_ms):
        return []


class Run:
    """One order of events at one agent, with what became of the request."""

    def __init__(self, make_agent):
        self.clock = ManualClock(START_MS)
        self.make_agent = make_agent
        self.agent = make_agent(self.clock)
        if hasattr(self.agent, "completeness"):
            self.agent.completeness.mark_complete_since()
        self.arrived_ms = START_MS
        self.runs = 0
        self.told_not_run = False
        self.held = []

    def play(self, event):
        """Let one event happen; return False when it cannot happen now."""
        if event in ("wait", "pause"):
            self.clock.advance(RESENT_AGE_MS if event == "wait" else 7_500)
            if event == "wait":
                self.arrived_ms = self.clock.now_ms()
                self.note(self.agent.advance(self.arrived_ms))
        elif event in ("restart", "transfer"):
            old, self.agent = self.agent, self.make_agent(self.clock)
            self.held = []
            if event == "transfer" and hasattr(old, "records"):
                for message in old.records.make_transfer():
                    self.agent.records.accept_records(message)
        elif event in ("answer", "shed"):
            kind = RequestKind.ANSWER if event == "answer" else RequestKind.SHED
            if not self.runs:
                return False
            self.runs -= event == "shed"
            metadata = RequestMetadata(kind, make_arrival(self.clock).key.request_id)
            self.note(self.agent.reply(FLOW, metadata, b"answer"))
        elif event in ("release_held", "refuse_held"):
            return self.release(event)
        else:
            return self.arrive(event)
        return True

    def release(self, event):
        """Let steering decide about what it held."""
        held, self.held = self.held, []
        for arrival in held:
            if event == "release_held":
                self.note(self.agent.deliver(arrival))
            else:
                self.note(self.agent.refuse(arrival, "full"))
        return bool(held)

    def arrive(self, event):
        sent_ms = START_MS + (RESENT_AGE_MS if event == "resent_copy" else 0)
        latest_ms = sent_ms + PACKET_LIFETIME_MS
        if self.clock.now_ms() < sent_ms or self.arrived_ms > latest_ms:
            return False
        kind = RequestKind.CANCEL if event == "cancel" else RequestKind.REQUEST
        age_ms = sent_ms - START_MS
        arrival = make_arrival(
            self.clock,
            kind,
            arrived_ms=self.arrived_ms,
            age_ms=age_ms,
            remaining_ms=2_000 - age_ms,
        )
        self.note(self.agent.advance(self.arrived_ms))
        actions = self.agent.receive(arrival, is_known_flow=False)
        if event == "hold_copy" and not actions:
            self.held.append(arrival)
            return True
        if not actions and event == "refused_copy":
            actions = self.agent.refuse(arrival, "full")
        self.note(actions or self.agent.deliver(arrival))
        return True

    def note(self, actions):
        for action in actions:
            self.runs += isinstance(action, StartRequest)
            if isinstance(action, SendOutcome):
                self.told_not_run |= action.kind is RequestKind.NOT_RUN


def count_violations(make_agent, length):
    doubled, false_not_run, played = [], [], 0
    for order in itertools.product(EVENTS, repeat=length):
        run = Run(make_agent)
        if not all(run.play(event) for event in order):
            continue
        played += 1
        if run.runs > 1:
            doubled.append(order)
        if run.told_not_run and run.runs:
            false_not_run.append(order)
    return played, doubled, false_not_run


FOUND_ORDERS = (
    ("copy", "restart", "transfer", "copy"),
    ("copy", "copy", "restart", "transfer", "refused_copy"),
    ("copy", "cancel", "restart", "transfer", "copy"),
    ("hold_copy", "hold_copy", "release_held"),
    ("hold_copy", "copy", "release_held"),
    ("hold_copy", "copy", "refuse_held"),
    ("hold_copy", "copy", "pause", "wait", "release_held"),
    ("hold_copy", "copy", "pause", "wait", "refuse_held"),
)
"""Orders that once broke a promise."""


@pytest.mark.parametrize("order", FOUND_ORDERS)
def test_an_order_that_was_found_stays_mended(order):
    run = Run(make_requests)
    assert all(run.play(event) for event in order)
    assert run.runs <= 1
    assert not (run.told_not_run and run.runs)


@pytest.mark.parametrize("length", [1, 2, 3, 4])
def test_no_order_doubles_a_request_or_denies_a_run(length):
    played, doubled, false_not_run = count_violations(make_requests, length)
    assert played >= 2**length
    assert doubled == []
    assert false_not_run == []


def test_an_agent_without_memory_breaks_both_promises():
    _, doubled, false_not_run = count_violations(ThinAgent, 3)
    assert ("copy", "copy", "copy") in doubled
    assert ("refused_copy", "copy", "wait") in false_not_run
