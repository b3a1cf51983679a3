"""Questions that share messages: when they are sent, and which answers count.

Guards against a message per question in a surge, against questions that are never
sent, against more questions than the link bears, and against verdicts that are taken
for those on another flow.
"""

from collections import Counter

import pytest
from hypothesis import given, settings, strategies as st

from citronwinch.coordination import FlowKey, ManualClock
from citronwinch.coordination.flows import (
    FlowAnswers,
    FlowQuestion,
    FlowQuestions,
    SendMessage,
    Verdict,
)
from citronwinch.coordination.flows._question_batches import (
    BATCH_LIMIT,
    BATCH_RETENTION_MS,
    BATCH_RETRY_MS,
    MESSAGE_COST,
    REMEMBERED_BATCHES_LIMIT,
    QuestionBatches,
    compute_bytes,
    list_questions,
)
from citronwinch.coordination.flows.tests.conftest import make_packet

AGENT, OTHER_AGENT = "10.0.0.1", "10.0.0.2"
TIMEOUT_MS = 15


class Asker:
    """Asks agents about flows and collects what is sent."""

    def __init__(self, clock: ManualClock, link_mbps: int = 100) -> None:
        self.clock = clock
        self.counters: Counter[str] = Counter()
        self.unwanted: set[FlowKey] = set()
        self.batches = QuestionBatches(
            clock, link_mbps, self.counters, lambda _, flow: flow not in self.unwanted
        )

    def ask(self, *ports: int, agent: str = AGENT) -> list[SendMessage]:
        for port in ports:
            self.batches.ask(agent, make_question(port), TIMEOUT_MS)
        return self.batches.send_due()

    def answer(self, sent: SendMessage) -> list[SendMessage]:
        """Let the agent answer a message; return what is sent next."""
        message = sent.message
        if isinstance(message, FlowQuestions):
            assert len(self.match(sent.ip, message.number, len(message.questions)))
        else:
            assert isinstance(message, FlowQuestion)
            self.batches.record_answer(sent.ip, message.flow)
        return self.batches.send_due()

    def match(self, agent: str, number: int, verdicts: int) -> list[FlowKey]:
        """Let an agent send verdicts; return the flows that they count for."""
        message = FlowAnswers(number, (Verdict.ABSENT,) * verdicts)
        return [each.flow for each in self.batches.match_answers(agent, message)]

    def wait(self, duration_ms: int) -> list[SendMessage]:
        self.clock.advance(duration_ms)
        self.batches.give_up_overdue()
        self.batches.expire()
        return self.batches.send_due()


@pytest.fixture
def asker(clock: ManualClock) -> Asker:
    return Asker(clock)


def make_question(port: int) -> FlowQuestion:
    return FlowQuestion(make_packet(port).flow, port)


def list_ports(sent: list[SendMessage]) -> list[list[int]]:
    return [
        [question.acknowledged for question in list_questions(message)]
        for _, message in sent
    ]


def send_batch(asker: Asker) -> FlowQuestions:
    [first] = asker.ask(1)
    asker.ask(2, 3)
    [batch] = asker.answer(first)
    assert isinstance(batch.message, FlowQuestions)
    return batch.message


def test_a_single_question_is_sent_at_once_to_each_agent(asker: Asker) -> None:
    assert asker.ask(1) == [SendMessage(AGENT, make_question(1))]
    sent = asker.ask(1, agent=OTHER_AGENT)
    assert sent == [SendMessage(OTHER_AGENT, make_question(1))]


def test_questions_are_collected_until_the_agent_answers(asker: Asker) -> None:
    [first] = asker.ask(1)
    assert asker.ask(2, 3) == []
    assert list_ports(asker.answer(first)) == [[2, 3]]


def test_a_batch_is_no_longer_than_a_packet(asker: Asker) -> None:
    sent = asker.ask(0)
    asker.ask(*range(1, 50))
    lengths = []
    while sent:
        lengths.append(len(list_ports(sent)[0]))
        sent = asker.answer(sent[0])
    assert lengths == [1, BATCH_LIMIT, 49 - BATCH_LIMIT]


def test_collected_questions_are_sent_when_the_answer_is_overdue(asker: Asker) -> None:
    """Guards against searches that wait for a silent agent one after the other."""
    asker.ask(1)
    asker.ask(2, 3, 4)
    assert asker.wait(TIMEOUT_MS - 1) == []
    assert list_ports(asker.wait(1)) == [[2, 3, 4]]
    assert asker.counters["question_messages_unanswered"] == 1


def test_a_question_after_an_overdue_answer_is_sent_at_once(asker: Asker) -> None:
    """Guards against searches that wait for a tick because an answer was lost."""
    asker.ask(1)
    asker.clock.advance(TIMEOUT_MS)
    assert list_ports(asker.ask(2)) == [[2]]


def test_an_agent_that_ignores_batches_gets_single_questions(asker: Asker) -> None:
    """Guards against searches that no agent of an earlier version answers in time."""
    send_batch(asker)
    asker.wait(TIMEOUT_MS)
    asker.batches.record_answer(AGENT, make_question(2).flow)
    sent = asker.ask(*range(4, 12))
    for port in range(4, 9):
        assert list_ports(sent) == [[port]]
        sent = asker.answer(sent[0])
    asker.clock.advance(BATCH_RETRY_MS)
    asker.batches.record_answer(AGENT, make_question(9).flow)
    assert list_ports(asker.batches.send_due()) == [[10, 11]]


def test_an_agent_that_becomes_silent_gets_batches_again(asker: Asker) -> None:
    """Guards against slow searches while an agent restarts in this version."""
    send_batch(asker)
    asker.wait(TIMEOUT_MS)
    asker.batches.record_answer(AGENT, make_question(2).flow)
    assert list_ports(asker.ask(*range(4, 8))) == [[4]]
    assert list_ports(asker.wait(TIMEOUT_MS)) == [[5, 6, 7]]


def test_a_lost_batch_does_not_end_batches_to_an_agent_that_answers_them(
    asker: Asker,
) -> None:
    number = send_batch(asker).number
    assert asker.match(AGENT, number, 2)
    [first] = asker.ask(4)
    asker.ask(5, 6)
    asker.answer(first)
    asker.wait(TIMEOUT_MS)
    asker.batches.record_answer(AGENT, make_question(5).flow)
    assert list_ports(asker.ask(7, 8)) == [[7, 8]]


def test_questions_of_ended_searches_are_not_sent(asker: Asker) -> None:
    [first] = asker.ask(1)
    asker.ask(2, 3)
    asker.unwanted = {make_question(2).flow, make_question(3).flow}
    assert asker.answer(first) == []
    assert list_ports(asker.ask(4)) == [[4]]


def test_an_answer_counts_once_for_the_flows_of_its_batch(asker: Asker) -> None:
    batch = send_batch(asker)
    flows = [question.flow for question in batch.questions]
    assert asker.match(AGENT, batch.number, 2) == flows
    assert asker.match(AGENT, batch.number, 2) == []


@pytest.mark.parametrize(
    ("agent", "distance", "verdicts", "age_ms"),
    [
        pytest.param(OTHER_AGENT, 0, 2, 0, id="another agent"),
        pytest.param(AGENT, 1, 2, 0, id="unknown number"),
        pytest.param(AGENT, 0, 3, 0, id="another number of verdicts"),
        pytest.param(AGENT, 0, 2, BATCH_RETENTION_MS + 1, id="after a freeze"),
    ],
)
def test_other_answers_are_ignored(
    asker: Asker, agent: str, distance: int, verdicts: int, age_ms: int
) -> None:
    """Guards against a reset because of a verdict on another flow."""
    batch = send_batch(asker)
    asker.clock.advance(age_ms)
    assert asker.match(agent, batch.number + distance, verdicts) == []
    assert asker.counters["question_answers_ignored"] == 1


def test_a_late_answer_counts(asker: Asker) -> None:
    batch = send_batch(asker)
    asker.wait(TIMEOUT_MS + 1)
    assert len(asker.match(AGENT, batch.number, 2)) == 2


def test_old_batches_are_forgotten(asker: Asker) -> None:
    send_batch(asker)
    asker.wait(BATCH_RETENTION_MS + 1)
    assert not asker.batches.sent


def test_a_bounded_number_of_batches_is_remembered(clock: ManualClock) -> None:
    asker = Asker(clock, link_mbps=10_000)
    for number in range(REMEMBERED_BATCHES_LIMIT + 10):
        agent = f"10.1.{number // 250}.{number % 250}"
        [first] = asker.ask(1, agent=agent)
        asker.ask(2, 3, agent=agent)
        asker.answer(first)
    assert len(asker.batches.sent) == REMEMBERED_BATCHES_LIMIT


def test_a_restarted_balancer_uses_other_numbers(clock: ManualClock) -> None:
    """Guards against answers to batches of the run before."""
    earlier = Asker(clock).batches.next_number
    clock.advance(300)
    distance = Asker(clock).batches.next_number - earlier
    assert abs(distance) > 10 * REMEMBERED_BATCHES_LIMIT


Step = tuple[str, int, int]

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["ask", "ask", "answer", "wait"]),
        st.integers(1, 3),
        st.integers(1, 40),
    ),
    max_size=60,
)


@settings(max_examples=60, deadline=None)
@given(STEPS)
def test_every_question_is_sent_once_within_the_budgets(steps: list[Step]) -> None:
    """Any order of questions, answers and pauses on a link of 1 Mbit/s."""
    clock = ManualClock(100_000)
    asker = Asker(clock, link_mbps=1)
    byte_budget = asker.batches.byte_budget
    message_budget = asker.batches.message_budget
    asked: dict[str, list[int]] = {f"10.0.0.{n}": [] for n in range(1, 4)}
    sent: dict[str, list[int]] = {ip: [] for ip in asked}
    open_messages: dict[str, SendMessage] = {}
    sent_bytes = 0

    def record(messages: list[SendMessage]) -> None:
        nonlocal sent_bytes
        for message in messages:
            state = asker.batches.agents[message.ip]
            assert state.sent_ms == clock.now_ms()
            earlier = open_messages.pop(message.ip, None)
            assert earlier is None or state.unanswered_since_ms is not None
            open_messages[message.ip] = message
            ports = list_ports([message])[0]
            assert 1 <= len(ports) <= BATCH_LIMIT
            sent[message.ip] += ports
            sent_bytes += compute_bytes(len(ports))

    for action, number, amount in steps:
        agent = f"10.0.0.{number}"
        if action == "ask":
            ports = [len(asked[agent]) + n for n in range(1, amount + 1)]
            asked[agent] += ports
            record(asker.ask(*ports, agent=agent))
        elif action == "answer" and agent in open_messages:
            record(asker.answer(open_messages.pop(agent)))
        elif action == "wait":
            record(asker.wait(amount))
        elapsed_s = (clock.now_ms() - 100_000) / 1_000
        bytes_per_s = byte_budget.bytes_per_second
        assert sent_bytes <= byte_budget.burst_bytes + bytes_per_s * elapsed_s
        rate = message_budget.bytes_per_second
        spent = asker.counters["question_messages"] * MESSAGE_COST
        assert spent <= message_budget.burst_bytes + rate * elapsed_s
    for _ in range(1_000):
        for agent in list(open_messages):
            record(asker.answer(open_messages.pop(agent)))
        record(asker.wait(10))
    assert sent == asked
