import random

import pytest

from citronwinch.coordination import FlowKey, ManualClock
from citronwinch.coordination.requests import (
    AgentRequests,
    RequestArrival,
    RequestKind,
    RequestMetadata,
    RetryBudget,
)

START_MS = 100_000
FLOW = FlowKey(bytes([17]) + bytes(12))


def make_arrival(
    clock,
    kind=RequestKind.REQUEST,
    number=1,
    arrived_ms=None,
    flow_opened_ms=None,
    **metadata,
):
    fields = {"remaining_ms": 2_000, **metadata}
    request = RequestMetadata(kind, number.to_bytes(16, "big"), **fields)
    arrived_ms = clock.now_ms() if arrived_ms is None else arrived_ms
    return RequestArrival(
        FLOW, "gauging", request, b"payload", arrived_ms, flow_opened_ms=flow_opened_ms
    )


def make_requests(clock, share=0.0, tokens=0.0, name="gauging-1", **parts):
    budget = RetryBudget(share)
    budget.tokens = tokens
    return AgentRequests(name, clock, random.Random(1), budget=budget, **parts)


@pytest.fixture
def clock():
    return ManualClock(START_MS)


@pytest.fixture
def requests(clock):
    """An agent whose records are complete."""
    agent = make_requests(clock)
    agent.completeness.mark_complete_since()
    return agent
