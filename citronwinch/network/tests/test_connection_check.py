"""The check whether a process listens at an address.

Guards against an agent that takes its own trouble, such as a lack of descriptors, for
the silence of its backend server, whose flows it would reset.
"""

import errno
import socket

import pytest
import trio

from citronwinch.coordination import Endpoint
from citronwinch.coordination.flows import ServerCheck
from citronwinch.network import try_connection

IP = "127.0.0.1"
TIMEOUT_MS = 5_000


def test_a_listening_process_accepts() -> None:
    with socket.create_server((IP, 0)) as server:
        endpoint = Endpoint(IP, server.getsockname()[1])
        assert trio.run(try_connection, endpoint, TIMEOUT_MS) is ServerCheck.ACCEPTED


def test_a_closed_port_refuses() -> None:
    with socket.socket() as unused:
        unused.bind((IP, 0))
        endpoint = Endpoint(IP, unused.getsockname()[1])
        assert trio.run(try_connection, endpoint, TIMEOUT_MS) is ServerCheck.REFUSED


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENETUNREACH, errno.EACCES])
def test_an_error_of_the_own_instance_says_nothing_about_the_server(
    monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    async def fail(*_: object) -> None:
        raise OSError(number, "no connection can be tried")

    monkeypatch.setattr(trio, "open_tcp_stream", fail)
    check = trio.run(try_connection, Endpoint(IP, 9), TIMEOUT_MS)
    assert check is ServerCheck.FAILED


def test_an_answer_that_does_not_come_in_time_is_silence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(trio, "open_tcp_stream", lambda *_: trio.sleep_forever())
    assert trio.run(try_connection, Endpoint(IP, 9), 10) is ServerCheck.SILENT
