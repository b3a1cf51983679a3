"""Tests of the earliest arrival time of datagrams, after a pause and under load.

A wrong time lets an expired copy of a request run, or drops requests that are in time.
"""

import socket

import pytest
import trio
import trio.testing

from citronwinch.coordination import Endpoint, ManualClock
from citronwinch.daemon._arrivals import (
    WAIT_LIMIT_MS,
    ArrivalWatch,
    compute_arrival_ms,
)
from citronwinch.network import BATCH_LIMIT, DatagramSocket


@pytest.fixture
def datagram_socket():
    datagram_socket = DatagramSocket(Endpoint("127.0.0.1", 0))
    yield datagram_socket
    datagram_socket.close()


@pytest.fixture
def sender(datagram_socket):
    connected = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    connected.connect(datagram_socket.endpoint)
    yield connected
    connected.close()


def test_datagrams_buffered_during_a_pause_have_a_time_before_it(
    datagram_socket, sender
):
    async def run():
        clock = ManualClock(1_000)
        watch = ArrivalWatch(datagram_socket, clock)
        assert await watch.receive(datagram_socket.receive) == ([], 1_000)
        for _ in range(BATCH_LIMIT + 1):
            sender.send(b"late copy")
        clock.advance(9_000)
        first, first_ms = await watch.receive(datagram_socket.receive)
        second, second_ms = await watch.receive(datagram_socket.receive)
        assert (len(first), first_ms) == (BATCH_LIMIT, 1_000)
        assert (len(second), second_ms) == (1, 1_000)
        sender.send(b"new")
        assert (await watch.receive(datagram_socket.receive))[1] == 10_000

    trio.run(run)


def test_arrival_time_advances_while_the_socket_is_busy(datagram_socket, sender):
    async def run():
        clock = ManualClock(1_000)
        watch = ArrivalWatch(datagram_socket, clock)
        watch.buffer_capacity = 2 * BATCH_LIMIT
        times = []
        for _ in range(10):
            for _ in range(BATCH_LIMIT):
                sender.send(b"packet")
            clock.advance(10)
            _, earliest_arrival_ms = await watch.receive(datagram_socket.receive)
            times.append(clock.now_ms() - earliest_arrival_ms)
        assert max(times) <= 10 * 2 * (watch.buffer_capacity // BATCH_LIMIT + 2)

    trio.run(run)


def test_full_batches_after_idle_times_are_not_late(datagram_socket, sender):
    async def run():
        clock = ManualClock(1_000)
        watch = ArrivalWatch(datagram_socket, clock)
        watch.buffer_capacity = 1_000_000
        times = []

        async def receive_batch():
            items, earliest_arrival_ms = await watch.receive(datagram_socket.receive)
            assert len(items) == BATCH_LIMIT
            times.append(clock.now_ms() - earliest_arrival_ms)

        for _ in range(100):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(receive_batch)
                await trio.testing.wait_all_tasks_blocked()
                clock.advance(20)
                for _ in range(2 * BATCH_LIMIT):
                    sender.send(b"packet")
            await receive_batch()
        assert max(times) == 20

    trio.run(run)


@pytest.mark.parametrize(
    ("wait_ms", "expected_ms"),
    [(0, 10_000), (WAIT_LIMIT_MS, 10_000), (WAIT_LIMIT_MS + 1, 9_499)],
)
def test_arrival_time_is_now_unless_the_wait_exceeds_the_limit(wait_ms, expected_ms):
    assert compute_arrival_ms(10_000 - wait_ms, 10_000) == expected_ms
