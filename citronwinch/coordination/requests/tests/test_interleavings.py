"""Runs every short order of events around one request at one agent.

Guards against two failures: a request that runs twice, and a request reported as
"not run" that runs. Both come about when an event, such as a restart or a late copy,
arrives between the decision about a request and the lookup of its record.
"""

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


class StatelessAgent:
    """Delivers every copy and stores no records."""

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


class Scenario:
    """Applies events to one agent, and counts runs and outcomes of the request."""

    def __init__(self, make_agent):
        self.clock = ManualClock(START_MS)
        self.make_agent = make_agent
        self.agent = make_agent(self.clock)
        if hasattr(self.agent, "completeness"):
            self.agent.completeness.mark_complete_since()
        self.arrived_ms = START_MS
        self.run_count = 0
        self.sent_not_run = False
        self.held = []

    def apply_event(self, event):
        """Apply an event; return False when it is impossible in this state."""
        if event in ("wait", "pause"):
            self.clock.advance(RESENT_AGE_MS if event == "wait" else 7_500)
            if event == "wait":
                self.arrived_ms = self.clock.now_ms()
                self.count_actions(self.agent.advance(self.arrived_ms))
        elif event in ("restart", "transfer"):
            previous_agent, self.agent = self.agent, self.make_agent(self.clock)
            self.held = []
            if event == "transfer" and hasattr(previous_agent, "record_exchange"):
                for message in previous_agent.record_exchange.make_transfer():
                    self.agent.record_exchange.accept_records(message)
        elif event in ("answer", "shed"):
            kind = RequestKind.ANSWER if event == "answer" else RequestKind.SHED
            if not self.run_count:
                return False
            self.run_count -= event == "shed"
            metadata = RequestMetadata(kind, make_arrival(self.clock).key.request_id)
            self.count_actions(self.agent.reply(FLOW, metadata, b"answer"))
        elif event in ("release_held", "refuse_held"):
            return self.release(event)
        else:
            return self.deliver_copy(event)
        return True

    def release(self, event):
        """Deliver or refuse the packets that steering held."""
        held, self.held = self.held, []
        for arrival in held:
            if event == "release_held":
                self.count_actions(self.agent.deliver(arrival))
            else:
                self.count_actions(self.agent.refuse(arrival, "full"))
        return bool(held)

    def deliver_copy(self, event):
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
        self.count_actions(self.agent.advance(self.arrived_ms))
        actions = self.agent.receive(arrival, is_known_flow=False)
        if event == "hold_copy" and not actions:
            self.held.append(arrival)
            return True
        if not actions and event == "refused_copy":
            actions = self.agent.refuse(arrival, "full")
        self.count_actions(actions or self.agent.deliver(arrival))
        return True

    def count_actions(self, actions):
        for action in actions:
            self.run_count += isinstance(action, StartRequest)
            if isinstance(action, SendOutcome):
                self.sent_not_run |= action.kind is RequestKind.NOT_RUN


def count_violations(make_agent, length):
    run_twice, false_not_run, played_count = [], [], 0
    for events in itertools.product(EVENTS, repeat=length):
        scenario = Scenario(make_agent)
        if not all(scenario.apply_event(event) for event in events):
            continue
        played_count += 1
        if scenario.run_count > 1:
            run_twice.append(events)
        if scenario.sent_not_run and scenario.run_count:
            false_not_run.append(events)
    return played_count, run_twice, false_not_run


REGRESSION_ORDERS = (
    ("copy", "restart", "transfer", "copy"),
    ("copy", "copy", "restart", "transfer", "refused_copy"),
    ("copy", "cancel", "restart", "transfer", "copy"),
    ("hold_copy", "hold_copy", "release_held"),
    ("hold_copy", "copy", "release_held"),
    ("hold_copy", "copy", "refuse_held"),
    ("hold_copy", "copy", "pause", "wait", "release_held"),
    ("hold_copy", "copy", "pause", "wait", "refuse_held"),
)
"""Orders of events that once broke a guarantee."""


@pytest.mark.parametrize("events", REGRESSION_ORDERS)
def test_regression_orders_keep_both_guarantees(events):
    scenario = Scenario(make_requests)
    assert all(scenario.apply_event(event) for event in events)
    assert scenario.run_count <= 1
    assert not (scenario.sent_not_run and scenario.run_count)


@pytest.mark.parametrize("length", [1, 2, 3, 4])
def test_no_order_runs_a_request_twice_or_denies_a_run(length):
    played_count, run_twice, false_not_run = count_violations(make_requests, length)
    assert played_count >= 2**length
    assert run_twice == []
    assert false_not_run == []


def test_stateless_agent_breaks_both_guarantees():
    _, run_twice, false_not_run = count_violations(StatelessAgent, 3)
    assert ("copy", "copy", "copy") in run_twice
    assert ("refused_copy", "copy", "wait") in false_not_run
