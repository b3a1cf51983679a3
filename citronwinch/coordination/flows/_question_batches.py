"""When questions about flows are sent to agents, and which share a message."""

from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._byte_budget import ByteBudget
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._actions import SendMessage
from citronwinch.coordination.flows._messages import (
    FlowAnswer,
    FlowAnswers,
    FlowQuestion,
    FlowQuestions,
    Message,
)

QUESTION_BYTES = 64
"""The size of one question on a link, with its headers, in bytes."""

BATCH_BYTES = 52
"""The size of a batch on a link without its questions, in bytes."""

BATCHED_QUESTION_BYTES = 22
"""The size that each question adds to a batch, in bytes."""

QUESTION_BANDWIDTH_SHARE = 0.3
"""The share of the link's bandwidth that questions may take. Answers return over the
same link, and both must leave room for callers' packets: on a full link no answers
arrive, every search repeats its questions, and the link stays full."""

QUESTION_BURST_S = 0.5
"""The largest burst of questions, in seconds of their permitted rate."""

MESSAGES_PER_S_AND_MBPS = 120
"""The questions and batches per second for each megabit per second of the link. An
instance with a thin link has a small core, and each message takes processor time at
both ends. 50 agents and 5 Mbit/s give one message per agent every 83 ms, so that a
search still ends within 100 ms."""

MIN_MESSAGES_BURST = 256
"""The smallest burst of questions and batches; more than the agents of a large fleet,
so that a single search is not delayed on the thinnest link."""

MESSAGE_COST = 1_000
"""The cost of one message in the message budget, which counts thousandths: at one
message, rates that are not whole numbers per millisecond would be rounded down."""

BATCH_LIMIT = 32
"""The most questions in a batch, which then fits into one packet."""

BATCH_RETRY_QUESTIONS = 2
"""The most questions in the batch that shows whether an agent that has answered
questions, but no batch, answers batches now."""

BATCH_RETRY_MS = 500
"""How long an agent that answers no batches gets single questions before the next
batch, in milliseconds. Its first batch may only have been lost."""

BATCH_RETENTION_MS = 2_000
"""How long an unanswered batch is remembered, in milliseconds; as long as a search."""

REMEMBERED_BATCHES_LIMIT = 1_024
"""The most batches that are remembered."""

AGENT_RETENTION_MS = 60_000
"""How long an agent without questions is remembered, in milliseconds."""

FIRST_NUMBER_STEP = 1_024
"""The distance between the first numbers of balancers that start one millisecond
apart. It exceeds the batches that a balancer sends in a millisecond, so that an answer
to a batch of an earlier run has an unknown number."""

NUMBER_LIMIT = 1 << 32
"""Numbers of batches wrap around at this value."""


class SentBatch(NamedTuple):
    """A batch whose answer has not arrived."""

    agent: str
    """The agent that was asked."""

    questions: tuple[FlowQuestion, ...]
    """The questions."""

    sent_ms: int
    """When the batch was sent."""


class AgentQuestions:
    """The questions to one agent.

    If the agent answers questions, but has never answered a batch and has left one
    unanswered, it is of an earlier version, and gets single questions for some time.
    """

    def __init__(self, answer_timeout_ms: int, now_ms: int) -> None:
        self.answer_timeout_ms = answer_timeout_ms
        self.collected: deque[FlowQuestion] = deque()
        self.awaited: FlowKey | int | None = None
        """The flow of the question or the number of the batch that is unanswered."""
        self.sent_ms = now_ms
        """When the latest question or batch was sent."""
        self.unanswered_since_ms: int | None = None
        """When the first of the latest questions was sent that became overdue without
        any answer since; None after an answer."""
        self.has_answered_batch = False
        self.has_ignored_batch = False
        """Whether a batch was left unanswered, and none has ever been answered."""
        self.answers_questions_only = False
        """Whether it answered a question after it had ignored a batch."""
        self.next_batch_ms = now_ms
        """Until when it gets single questions in this case."""

    def get_batch_limit(self, now_ms: int) -> int:
        """Return how many questions the next message may have."""
        if not self.answers_questions_only:
            return BATCH_LIMIT
        return 1 if now_ms < self.next_batch_ms else BATCH_RETRY_QUESTIONS

    def is_overdue(self, now_ms: int) -> bool:
        """Return whether an answer is awaited and late."""
        is_late = now_ms - self.sent_ms >= self.answer_timeout_ms
        return self.awaited is not None and is_late

    def record_answer(self, answered: FlowKey | int, now_ms: int) -> None:
        """Record an answer about a flow, or to the batch with a number."""
        if self.awaited == answered:
            self.awaited = None
        elif self.is_overdue(now_ms):
            self.give_up_answer()
        if isinstance(answered, int):
            self.has_answered_batch = True
            self.has_ignored_batch = self.answers_questions_only = False
        elif self.has_ignored_batch:
            self.has_ignored_batch, self.answers_questions_only = False, True
            self.next_batch_ms = now_ms + BATCH_RETRY_MS
        self.unanswered_since_ms = None

    def give_up_answer(self) -> None:
        """Stop waiting for an overdue answer."""
        if isinstance(self.awaited, int):
            self.has_ignored_batch = not self.has_answered_batch
        else:
            # A silent agent may have restarted in another version.
            self.answers_questions_only = False
        self.awaited = None
        if self.unanswered_since_ms is None:
            self.unanswered_since_ms = self.sent_ms


class QuestionBatches:
    """Questions that are collected while their agent has not answered the last ones.

    A question to an agent that owes no answer is sent at once. Others are collected
    until the agent's answer arrives or is overdue. All of them wait while the
    bandwidth or the messages of the link's budgets are spent, in the order in which
    their agents came to be due. Messages are counted only for agents that take batches:
    single questions are limited by their bytes.

    `is_wanted` tells whether the question about a flow to an agent still matters when
    it is sent.
    """

    def __init__(
        self,
        clock: Clock,
        link_mbps: int,
        counters: Counter[str],
        is_wanted: Callable[[str, FlowKey], bool],
    ) -> None:
        self.clock = clock
        self.counters = counters
        self.is_wanted = is_wanted
        byte_rate = round(link_mbps * 125_000 * QUESTION_BANDWIDTH_SHARE)
        self.byte_budget = ByteBudget(
            clock, round(byte_rate * QUESTION_BURST_S), byte_rate
        )
        message_rate = link_mbps * MESSAGES_PER_S_AND_MBPS
        burst = max(round(message_rate * QUESTION_BURST_S), MIN_MESSAGES_BURST)
        self.message_budget = ByteBudget(
            clock, burst * MESSAGE_COST, message_rate * MESSAGE_COST
        )
        self.agents: dict[str, AgentQuestions] = {}
        self.due: OrderedDict[str, AgentQuestions] = OrderedDict()
        """The agents with collected questions that owe no answer, in the order of their
        turns."""
        self.blocked: dict[str, AgentQuestions] = {}
        """The agents with collected questions that owe an answer."""
        self.sent: OrderedDict[int, SentBatch] = OrderedDict()
        """The unanswered batches by number."""
        self.next_number = clock.now_ms() * FIRST_NUMBER_STEP % NUMBER_LIMIT

    def ask(self, agent: str, question: FlowQuestion, answer_timeout_ms: int) -> None:
        """Collect a question, which `send_due` sends."""
        state = self.agents.get(agent)
        if state is None:
            state = AgentQuestions(answer_timeout_ms, self.clock.now_ms())
            self.agents[agent] = state
        state.answer_timeout_ms = answer_timeout_ms
        state.collected.append(question)
        if state.awaited is not None and not self._give_up_if_overdue(state):
            self.blocked[agent] = state
        else:
            self.blocked.pop(agent, None)
            self.due.setdefault(agent, state)

    def has_collected(self) -> bool:
        """Return whether questions wait to be sent."""
        return bool(self.due or self.blocked)

    def spend_single_questions(self, count: int) -> bool:
        """Take the bytes of questions outside of batches; return False without them."""
        if not self.byte_budget.try_spend(count * QUESTION_BYTES):
            return False
        self._count_sent(messages=count, questions=count)
        return True

    def send_due(self) -> list[SendMessage]:
        """Return the collected questions that may be sent now, as messages."""
        if not self.due:
            return []
        messages: list[SendMessage] = []
        is_message_budget_spent = False
        now_ms = self.clock.now_ms()
        for agent, state in list(self.due.items()):
            limit = state.get_batch_limit(now_ms)
            cost = MESSAGE_COST if limit > 1 else 0
            if cost and is_message_budget_spent:
                continue
            if not self.message_budget.try_spend(cost):
                is_message_budget_spent = True
                continue
            questions = self._take_wanted(agent, state, limit)
            size = compute_bytes(len(questions))
            if questions and self.byte_budget.try_spend(size):
                messages.append(self._send(agent, state, questions, now_ms))
                continue
            self.message_budget.available_bytes += cost
            state.collected.extendleft(reversed(questions))
            if questions:
                break
            del self.due[agent]
        return messages

    def match_answers(self, agent: str, message: FlowAnswers) -> list[FlowAnswer]:
        """Return the answer to each question of an agent's batch.

        An answer to an unknown or old batch, from another agent or with another number
        of verdicts is ignored.
        """
        batch = self.sent.get(message.number)
        if (
            batch is None
            or batch.agent != agent
            or len(batch.questions) != len(message.verdicts)
            or self.clock.now_ms() - batch.sent_ms > BATCH_RETENTION_MS
        ):
            self.counters["question_answers_ignored"] += 1
            return []
        del self.sent[message.number]
        self._record_answer(agent, message.number)
        return [
            FlowAnswer(question.flow, verdict)
            for question, verdict in zip(batch.questions, message.verdicts, strict=True)
        ]

    def record_answer(self, agent: str, flow: FlowKey) -> None:
        """Record an agent's answer about a single flow."""
        self._record_answer(agent, flow)

    def find_unanswered_since_ms(self, agent: str) -> int | None:
        """Return since when an agent has left all questions unanswered, if it has."""
        state = self.agents.get(agent)
        if state is None:
            return None
        if state.is_overdue(self.clock.now_ms()) and state.unanswered_since_ms is None:
            return state.sent_ms
        return state.unanswered_since_ms

    def expire(self) -> None:
        """Forget old batches, and agents that have not been asked for a long time."""
        now_ms = self.clock.now_ms()
        while self.sent:
            number, batch = next(iter(self.sent.items()))
            if now_ms - batch.sent_ms <= BATCH_RETENTION_MS:
                break
            del self.sent[number]
        for agent, state in list(self.agents.items()):
            is_old = now_ms - state.sent_ms > AGENT_RETENTION_MS
            if is_old and not state.collected:
                del self.agents[agent]

    def give_up_overdue(self) -> None:
        """Stop waiting for overdue answers of agents with collected questions."""
        for agent, state in list(self.blocked.items()):
            if self._give_up_if_overdue(state):
                self._unblock(agent)

    def _give_up_if_overdue(self, state: AgentQuestions) -> bool:
        if not state.is_overdue(self.clock.now_ms()):
            return False
        self.counters["question_messages_unanswered"] += 1
        state.give_up_answer()
        return True

    def _unblock(self, agent: str) -> None:
        state = self.blocked.pop(agent, None)
        if state is not None:
            self.due[agent] = state

    def _take_wanted(
        self, agent: str, state: AgentQuestions, limit: int
    ) -> tuple[FlowQuestion, ...]:
        taken: list[FlowQuestion] = []
        while state.collected and len(taken) < limit:
            question = state.collected.popleft()
            if self.is_wanted(agent, question.flow):
                taken.append(question)
        return tuple(taken)

    def _send(
        self,
        agent: str,
        state: AgentQuestions,
        questions: tuple[FlowQuestion, ...],
        now_ms: int,
    ) -> SendMessage:
        del self.due[agent]
        if state.collected:
            self.blocked[agent] = state
        state.sent_ms = now_ms
        self._count_sent(messages=1, questions=len(questions))
        if len(questions) == 1:
            state.awaited = questions[0].flow
            return SendMessage(agent, questions[0])
        number = state.awaited = self.next_number
        self.next_number = (number + 1) % NUMBER_LIMIT
        self.sent[number] = SentBatch(agent, questions, now_ms)
        if len(self.sent) > REMEMBERED_BATCHES_LIMIT:
            self.sent.popitem(last=False)
        return SendMessage(agent, FlowQuestions(number, questions))

    def _record_answer(self, agent: str, answered: FlowKey | int) -> None:
        state = self.agents.get(agent)
        if state is not None:
            state.record_answer(answered, self.clock.now_ms())
            if state.awaited is None:
                self._unblock(agent)

    def _count_sent(self, *, messages: int, questions: int) -> None:
        self.counters["question_messages"] += messages
        self.counters["questions"] += questions


def list_questions(message: Message) -> tuple[FlowQuestion, ...]:
    """Return the questions of a message, none if it has another content."""
    if isinstance(message, FlowQuestion):
        return (message,)
    return message.questions if isinstance(message, FlowQuestions) else ()


def compute_bytes(questions: int) -> int:
    """Return the size of a message with some questions on a link, in bytes.

    Example::

        >>> compute_bytes(1), compute_bytes(32)
        (64, 756)
    """
    if questions == 1:
        return QUESTION_BYTES
    return BATCH_BYTES + questions * BATCHED_QUESTION_BYTES
