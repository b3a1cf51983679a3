"""Checks that a launched process loses and delays the messages that the faults name.

Guards against a soak that passes because its faults have no effect.
"""

import socket
from pathlib import Path

import pytest
import trio
import trio.testing

from citronwinch.coordination import Endpoint
from citronwinch.network import DatagramSocket, HttpError, HttpResponse, fetch, serve
from citronwinch.soak import _faulty_launch
from citronwinch.soak._faulty_launch import (
    ANY_BALANCER,
    CurrentFaults,
    MessageFault,
    disturb_connections,
    format_faults,
    make_socket,
)

OWN, PEER, OTHER = "127.0.0.1", "127.0.0.2", "127.0.0.3"


@pytest.fixture
def faults(tmp_path: Path) -> CurrentFaults:
    return CurrentFaults(str(tmp_path / "faults"), OWN)


def write(faults: CurrentFaults, *current: MessageFault) -> None:
    Path(faults.file).write_text(format_faults(list(current)))
    faults.checked_s = 0.0


FAULTS = {
    "to the peer": (MessageFault(OWN, PEER, 1.0, 0.0), True, False),
    "from the peer": (MessageFault(PEER, OWN, 1.0, 0.0), False, True),
    "to all balancers": (MessageFault(OWN, ANY_BALANCER, 1.0, 0.0), True, False),
    "of another instance": (MessageFault(OTHER, PEER, 1.0, 0.0), False, False),
    "to another instance": (MessageFault(OWN, OTHER, 1.0, 0.0), False, False),
}
"""A fault, whether it loses the messages to the peer, and those from it."""


@pytest.mark.parametrize("case", FAULTS)
def test_lost_messages(faults: CurrentFaults, case: str) -> None:
    fault, is_lost_to_peer, is_lost_from_peer = FAULTS[case]
    write(faults, fault)
    assert (faults.draw_delay_s(OWN, PEER) is None) == is_lost_to_peer
    assert (faults.draw_delay_s(PEER, OWN) is None) == is_lost_from_peer


def test_faults_end_with_the_file_that_names_them(faults: CurrentFaults) -> None:
    write(faults, MessageFault(OWN, PEER, 1.0, 0.0))
    assert faults.draw_delay_s(OWN, PEER) is None
    Path(faults.file).unlink()
    faults.checked_s = 0.0
    assert faults.draw_delay_s(OWN, PEER) == 0.0


def test_a_socket_loses_messages_to_instances_only(faults: CurrentFaults) -> None:
    write(faults, MessageFault(OWN, OWN, 1.0, 0.0))
    peer, caller = DatagramSocket(Endpoint(OWN, 0)), DatagramSocket(Endpoint(OWN, 0))
    plain = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    disturbed = make_socket(plain, faults, peer.endpoint.port)
    with disturbed, peer.socket, caller.socket:
        disturbed.sendto(b"message", peer.endpoint)
        disturbed.sendto(b"packet", caller.endpoint)
        assert [datagram.data for datagram in caller.receive_nowait()] == [b"packet"]
        assert peer.receive_nowait() == []


def test_a_socket_sends_late_messages_later(faults: CurrentFaults) -> None:
    write(faults, MessageFault(OWN, OWN, 0.0, 0.05))
    peer = DatagramSocket(Endpoint(OWN, 0))
    plain = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    async def send_and_receive() -> None:
        with make_socket(plain, faults, peer.endpoint.port) as disturbed:
            disturbed.sendto(b"message", peer.endpoint)
            assert peer.receive_nowait() == []
            with trio.fail_after(5):
                assert [datagram.data for datagram in await peer.receive()] == [
                    b"message"
                ]

    trio.run(send_and_receive)
    peer.close()


@pytest.mark.parametrize("ends", [(OWN, OWN), ("127.0.0.9", OWN)])
def test_a_request_with_a_lost_message_has_no_answer(
    faults: CurrentFaults, monkeypatch: pytest.MonkeyPatch, ends: tuple[str, str]
) -> None:
    write(faults, MessageFault(*ends, 1.0, 0.0))
    is_lost = ends[0] == OWN
    connect = disturb_connections(trio.open_tcp_stream, faults)
    monkeypatch.setattr(trio, "open_tcp_stream", connect)
    with socket.socket() as free:
        free.bind((OWN, 0))
        endpoint = Endpoint(*free.getsockname())
    monkeypatch.setattr(_faulty_launch, "PEER_PORT", endpoint.port)

    async def fetch_page() -> None:
        async def answer(request: object) -> HttpResponse:
            return HttpResponse(200, b"page")

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve, endpoint, answer)
            await trio.testing.wait_all_tasks_blocked()
            if is_lost:
                with pytest.raises(HttpError, match="no answer"):
                    await fetch(endpoint, "/", 50)
            else:
                assert (await fetch(endpoint, "/", 5_000)).body == b"page"
            nursery.cancel_scope.cancel()

    trio.run(fetch_page)
