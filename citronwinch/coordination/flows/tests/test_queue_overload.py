"""When a queue is overloaded, and the order of its requests then.

Guards against a queue that serves each request just past its objective during a surge,
one that changes its order with every request, and one that keeps the order of a surge
after it.
"""

import pytest
from hypothesis import given, strategies as st

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows._caller_shares import CallerShares
from citronwinch.coordination.flows._queue_overload import QueueLength, QueueOverload
from citronwinch.coordination.flows._request_queue import RequestQueue
from citronwinch.coordination.flows._server_slots import ServerSlots
from citronwinch.coordination.flows._service_times import ServiceTimes
from citronwinch.coordination.flows.tests.test_request_queue import hold, take_order

OBJECTIVE_MS = 400
SERVICE_MS = 30


def make_length(requests: int, slots: int = 1) -> QueueLength:
    return QueueLength(requests, OBJECTIVE_MS, SERVICE_MS, slots)


def make_queue(clock: ManualClock, slots: int = 1) -> RequestQueue:
    times = ServiceTimes(clock)
    times.record_answer(SERVICE_MS)
    server_slots = ServerSlots(clock, times)
    server_slots.slots = slots
    return RequestQueue(clock, times, CallerShares(clock), server_slots)


@pytest.mark.parametrize(
    ("requests", "slots", "is_overloaded"),
    [
        pytest.param(1, 1, False, id="one request"),
        pytest.param(14, 1, False, id="the newest served last is just late"),
        pytest.param(26, 1, False, id="780 ms of work for 400 ms"),
        pytest.param(27, 1, True, id="810 ms of work for 400 ms"),
        pytest.param(27, 2, False, id="810 ms of work for two slots"),
        pytest.param(53, 2, True, id="1590 ms of work for two slots"),
    ],
)
def test_a_queue_is_overloaded_by_its_work(
    clock: ManualClock, requests: int, slots: int, is_overloaded: bool
) -> None:
    overload = QueueOverload(clock)
    assert overload.update(1, make_length(requests, slots)) == is_overloaded


def test_nothing_is_overloaded_while_the_service_time_is_unknown(
    clock: ManualClock,
) -> None:
    length = make_length(256)._replace(answer_ms=0)
    assert not QueueOverload(clock).update(1, length)


@given(
    steps=st.lists(
        st.tuples(st.integers(0, 500), st.integers(1, 60)), min_size=1, max_size=40
    )
)
def test_overload_ends_one_objective_after_its_last_sign(
    steps: list[tuple[int, int]],
) -> None:
    clock = ManualClock(10_000)
    overload = QueueOverload(clock)
    last_sign_ms = -OBJECTIVE_MS
    for pause_ms, requests in steps:
        clock.advance(pause_ms)
        if requests >= 27:
            last_sign_ms = clock.now_ms()
        is_overloaded = overload.update(1, make_length(requests))
        assert is_overloaded == (clock.now_ms() - last_sign_ms < OBJECTIVE_MS)


def test_a_request_of_a_shorter_objective_does_not_shorten_an_overload(
    clock: ManualClock,
) -> None:
    # Guards against an order that changes early where routes share a priority.
    overload = QueueOverload(clock)
    assert overload.update(1, make_length(27))
    assert overload.update(1, make_length(27)._replace(objective_ms=100))
    clock.advance(OBJECTIVE_MS - 1)
    assert overload.update(1, make_length(1))
    clock.advance(1)
    assert not overload.update(1, make_length(1))


def test_an_overloaded_queue_delivers_the_newest_first_then_late_ones(
    clock: ManualClock,
) -> None:
    queue = make_queue(clock)
    hold(queue, 100, 900)
    for port in range(1, 31):
        hold(queue, port, 100 - port)
    assert take_order(queue) == [*range(30, 0, -1), 100]


def test_a_queue_that_is_no_longer_overloaded_delivers_the_oldest_first(
    clock: ManualClock,
) -> None:
    queue = make_queue(clock)
    for port in range(1, 31):
        hold(queue, port, 100 - port)
    assert queue.remove_next().flow[5:7] == (30).to_bytes(2, "big")
    clock.advance(OBJECTIVE_MS)
    hold(queue, 41, 20)
    hold(queue, 42, 10)
    assert take_order(queue)[:2] == [41, 42]


def test_a_greedy_caller_overloads_no_queue_of_modest_ones(clock: ManualClock) -> None:
    queue = make_queue(clock)
    for port in range(1, 41):
        hold(queue, port, 100 - port, caller=8)
    hold(queue, 51, 60, caller=9)
    hold(queue, 52, 40, caller=10)
    queue.shares.charge(bytes((100, 64, 0, 8)), 700.0)
    order = take_order(queue)
    # The requests of the greedy caller alone are newest first.
    assert order[:4] == [51, 52, 40, 39]


def test_a_lower_priority_has_its_turns_in_an_overloaded_queue(
    clock: ManualClock,
) -> None:
    queue = make_queue(clock)
    for port in range(1, 31):
        hold(queue, port, 100 - port)
    hold(queue, 51, 300, priority=2)
    hold(queue, 52, 200, priority=2)
    order = take_order(queue)
    assert (order[7], order[15]) == (51, 52)
    assert order[0] == 30
