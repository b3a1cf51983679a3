"""Datagrams are received in order, whether or not they precede the wait for them."""

import socket
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest
import trio
import trio.testing

from citronwinch.coordination import Endpoint
from citronwinch.network import DatagramSocket


@pytest.fixture
def datagram_socket() -> Iterator[DatagramSocket]:
    bound = DatagramSocket(Endpoint("127.0.0.1", 0))
    yield bound
    bound.close()


@pytest.mark.parametrize("method", ["receive", "receive_next"])
def test_datagrams_sent_before_and_during_the_wait_are_received(
    datagram_socket: DatagramSocket, method: str
) -> None:
    receive = getattr(datagram_socket, method)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:

        async def run() -> list[bytes]:
            received: list[bytes] = []
            for number in range(3):
                sender.sendto(b"early %d" % number, datagram_socket.endpoint)
            received += [datagram.data for datagram in await receive()]
            async with trio.open_nursery() as nursery:

                async def wait() -> None:
                    received.extend(datagram.data for datagram in await receive())

                nursery.start_soon(wait)
                await trio.testing.wait_all_tasks_blocked()
                sender.sendto(b"late", datagram_socket.endpoint)
            return received

        assert trio.run(run) == [b"early 0", b"early 1", b"early 2", b"late"]


def test_receive_can_be_cancelled_while_no_datagram_arrives(
    datagram_socket: DatagramSocket,
) -> None:
    async def run() -> bool:
        with trio.move_on_after(0.05) as first_scope:
            await datagram_socket.receive_next()
        with trio.move_on_after(0.05) as second_scope:
            await datagram_socket.receive_next()
        return first_scope.cancelled_caught and second_scope.cancelled_caught

    assert trio.run(run)


def test_datagrams_that_arrive_together_during_the_wait_are_all_received(
    datagram_socket: DatagramSocket,
) -> None:
    expected = [b"%d" % number for number in range(5)]

    async def run() -> list[bytes]:
        received: list[bytes] = []

        async def receive_all() -> None:
            while len(received) < len(expected):
                batch = await datagram_socket.receive_next()
                received.extend(datagram.data for datagram in batch)

        with trio.fail_after(2):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(receive_all)
                await trio.testing.wait_all_tasks_blocked()
                for data in expected:
                    sender.sendto(data, datagram_socket.endpoint)
        return received

    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        assert trio.run(run) == expected


def test_sockets_in_different_threads_do_not_share_a_buffer() -> None:
    # With one buffer for all sockets, a thread's read overwrote another's datagram
    # before it was copied.
    def exchange(byte: bytes) -> set[bytes]:
        receiver = DatagramSocket(Endpoint("127.0.0.1", 0))
        try:
            received: set[bytes] = set()
            for _ in range(300):
                for _ in range(8):
                    receiver.send(byte * 60_000, receiver.endpoint)
                received |= {d.data for d in receiver.receive_nowait()}
            return received
        finally:
            receiver.close()

    contents = [b"a", b"b", b"c", b"d"]
    with ThreadPoolExecutor(len(contents)) as pool:
        results = list(pool.map(exchange, contents))
    assert results == [{byte * 60_000} for byte in contents]
