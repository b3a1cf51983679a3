"""The action of one agent after a sequence of events.

Guards against running a request twice, and against reporting "not run" for a request
that may have been run.
"""

import pytest

from citronwinch.coordination.requests import (
    PACKET_LIFETIME_MS,
    RECORD_BYTES,
    AnswerCache,
    RequestKind,
    RequestMetadata,
    RequestWindow,
    StartRequest,
)
from citronwinch.coordination.requests._actions import EndGuestFlow, RetryElsewhere
from citronwinch.coordination.requests.tests.conftest import (
    FLOW,
    START_MS,
    make_arrival,
    make_requests,
)

CASES = {
    "a new request starts": ("request", "StartRequest"),
    "a duplicate is dropped": ("request request", "doubled_request"),
    "a tombstone answers a late copy": ("refuse request", "not_run tombstone"),
    "a refusal by an agent that does not decide is unknown": (
        "refuse_elsewhere",
        "unknown full",
    ),
    "an answer goes to the caller": ("request answer", "SendPart"),
    "a duplicate part is dropped": ("request part part", "doubled_part"),
    "a part after the complete answer is dropped": ("request answer part", "late_part"),
    "a part without a request is dropped": ("answer", "foreign_part"),
    "a duplicate of an answered request is dropped": (
        "request answer request",
        "doubled_request",
    ),
    "an answer is sent again after a retransmission": (
        "request answer resent",
        "SendPart",
    ),
    "no answer by the deadline is unknown": ("request deadline", "unknown deadline"),
    "a retransmission after the deadline is unknown": (
        "request deadline resent",
        "unknown given_up",
    ),
    "an answer after the deadline is dropped": (
        "request deadline answer",
        "late_part",
    ),
    "a request that expired during a pause": ("old_request", "not_run expired"),
    "a timeout beyond the limit": ("long_request", "not_run timeout_too_long"),
    "cancelled before the request arrived": ("cancel request", "not_run tombstone"),
    "cancelled in progress": ("request cancel", "DeliverCancel"),
    "cancelled after the answer": ("request answer cancel", "late_cancel"),
    "shed and not repeatable": ("request shed", "not_run shed"),
    "shed after a part of the answer is dropped": ("request part shed", "late_part"),
    "a lost connection is unknown": ("request lost", "unknown connection_lost"),
    "the kernel refused to send": ("request unsent", "not_run undeliverable"),
    "a stopping agent starts a request that can finish": (
        "stop short_request",
        "StartRequest",
    ),
    "a stopping agent refuses a request that cannot finish": (
        "stop request",
        "not_run stopping",
    ),
    "a stopping agent finishes open requests": ("request stop answer", "SendPart"),
    "a restarted agent reports unknown for a request": (
        "fresh request",
        "unknown former_run",
    ),
    "a restarted agent reports unknown for a refusal": ("fresh refuse", "unknown full"),
    "a flow adopted without records": ("flow request", "unknown former_run"),
    "a new flow after the loss of a member": ("loss request", "unknown former_run"),
    "a flow opened before the loss of a member": ("loss open_request", "StartRequest"),
}


class AgentScenario:
    def __init__(self, clock, agent):
        self.clock, self.agent = clock, agent

    def apply_event(self, event):
        agent, clock = self.agent, self.clock
        match event:
            case "request":
                return self.send_request()
            case "resent":
                return self.send_request(age_ms=1_000, remaining_ms=1_000)
            case "old_request":
                return self.send_request(arrived_ms=START_MS - 2_000)
            case "long_request":
                return self.send_request(remaining_ms=90_000)
            case "short_request":
                return self.send_request(remaining_ms=1_500)
            case "cancel":
                return self.send_request(kind=RequestKind.CANCEL)
            case "refuse" | "refuse_elsewhere":
                arrival = make_arrival(clock)
                return agent.refuse(arrival, "full", is_certain=event == "refuse")
            case "answer" | "part" | "shed":
                kind = RequestKind.SHED if event == "shed" else RequestKind.ANSWER
                count = 2 if event == "part" else 1
                answer = RequestMetadata(kind, make_arrival(clock).key.request_id)
                return agent.reply(FLOW, answer._replace(part_count=count), b"body")
            case "deadline":
                clock.advance(2_000)
                return agent.advance(clock.now_ms())
            case "lost":
                return agent.fail_flow(FLOW)
            case "unsent":
                return agent.fail_delivery(make_arrival(clock).key)
            case "stop":
                return agent.begin_stop(START_MS + 1_999)
            case "fresh":
                return agent.completeness.mark_incomplete(clock.now_ms())
            case "loss":
                return agent.mark_member_lost()
            case "open_request":
                return self.send_request(flow_opened_ms=START_MS - 10_000)
            case "flow":
                return agent.mark_flow_incomplete(FLOW)
        raise AssertionError(event)

    def send_request(self, **fields):
        arrival = make_arrival(self.clock, **fields)
        return self.agent.receive(arrival, False) or self.agent.deliver(arrival)


def describe(action):
    kind = f"{action.kind.name.lower()} " if hasattr(action, "kind") else ""
    return kind + getattr(action, "reason", type(action).__name__)


@pytest.mark.parametrize("name", CASES)
def test_agent_action(name, clock, requests):
    events, expected = CASES[name]
    scenario = AgentScenario(clock, requests)
    actions = [scenario.apply_event(event) for event in events.split()][-1]
    assert describe(actions[0]) == expected


def test_full_window_refuses_and_then_reports_unknown(clock):
    agent = make_requests(clock, window=RequestWindow(clock, 8 * RECORD_BYTES))
    agent.completeness.mark_complete_since()
    agent.refusals.refusals_limit = 2
    outcomes = []
    for number in range(12):
        arrival = make_arrival(clock, number=number)
        outcomes.append(describe(agent.deliver(arrival)[0]))
    assert outcomes[:6] == ["StartRequest"] * 6
    assert outcomes[6:10] == ["not_run window_full"] * 4
    assert outcomes[10:] == ["unknown no_tombstone"] * 2
    clock.advance(2_000 + PACKET_LIFETIME_MS)
    agent.advance(clock.now_ms())
    late_copies = [make_arrival(clock, number=number) for number in (0, 7, 9)]
    late_outcomes = [
        describe(agent.receive(arrival, False)[0]) for arrival in late_copies
    ]
    assert late_outcomes == [
        "doubled_request",
        "not_run tombstone",
        "not_run tombstone",
    ]
    clock.advance(1)
    agent.advance(clock.now_ms())
    assert agent.window.used_bytes == 0


def test_shed_request_is_retried_within_the_budget(clock):
    agent = make_requests(clock, tokens=1.0)
    agent.completeness.mark_complete_since()
    outcomes = []
    for number in (1, 2):
        arrival = make_arrival(clock, number=number, repeatable=True)
        agent.deliver(arrival, is_guest=True)
        shed = RequestMetadata(RequestKind.SHED, arrival.key.request_id)
        outcomes.append([describe(action) for action in agent.reply(FLOW, shed, b"")])
    assert outcomes == [[], ["not_run shed"]]
    clock.advance(20)
    retry, ended = agent.advance(clock.now_ms())
    assert isinstance(retry, RetryElsewhere)
    assert retry.arrival.request.remaining_ms <= 2_000
    assert ended == EndGuestFlow(FLOW)
    assert describe(agent.fail_retry(retry.arrival.key)[0]) == "not_run shed"


def test_retry_is_never_due_after_the_deadline(clock):
    agent = make_requests(clock, tokens=5.0)
    agent.completeness.mark_complete_since()
    arrival = make_arrival(clock, repeatable=True, remaining_ms=1)
    agent.rng.randrange = lambda _: 1
    agent.deliver(arrival)
    shed = RequestMetadata(RequestKind.SHED, arrival.key.request_id)
    assert describe(agent.reply(FLOW, shed, b"")[0]) == "not_run shed"
    assert agent.budget.tokens == 5.0


def test_answer_cache_is_bounded_and_eviction_runs_no_request_again(clock):
    agent = make_requests(clock, answer_cache=AnswerCache(limit_bytes=1_000))
    agent.completeness.mark_complete_since()
    for number in range(8):
        arrival = make_arrival(clock, number=number)
        assert isinstance(agent.deliver(arrival)[0], StartRequest)
        answer = RequestMetadata(RequestKind.ANSWER, arrival.key.request_id)
        agent.reply(FLOW, answer, bytes(200))
        assert agent.answer_cache.cached_bytes <= 1_000
    resent = make_arrival(clock, number=0, age_ms=500)
    assert describe(agent.receive(resent, True)[0]) == "doubled_request"


def test_only_a_complete_transfer_makes_records_complete(clock, requests):
    for number in range(250):
        requests.deliver(make_arrival(clock, number=number))
    first, *others = requests.record_exchange.make_transfer()
    successor = make_requests(clock)
    for message in (first, first, *others[:-1]):
        successor.record_exchange.accept_records(message)
    new = make_arrival(clock, number=999)
    assert describe(successor.deliver(new)[0]) == "unknown former_run"
    successor.record_exchange.accept_records(others[-1])
    assert describe(successor.deliver(new)[0]) == "StartRequest"
    late_copies = make_arrival(clock, number=7)
    assert describe(successor.receive(late_copies, True)[0]) == "doubled_request"
    answer = RequestMetadata(RequestKind.ANSWER, late_copies.key.request_id)
    assert describe(successor.reply(FLOW, answer, b"body")[0]) == "SendPart"
