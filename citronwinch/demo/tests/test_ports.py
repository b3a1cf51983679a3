"""Checks that a demo chooses free ports and reports a requested port in use.

Guards against two demos on one machine that use the same ports.
"""

import socket

import pytest

from citronwinch.demo._ports import PORT_COUNT, choose_base_port
from citronwinch.tool import main


def test_ports_in_use_are_not_chosen(monkeypatch: pytest.MonkeyPatch) -> None:
    first = choose_base_port()
    drawn = [*range(first - PORT_COUNT + 1, first + PORT_COUNT), first + 2 * PORT_COUNT]
    draws = iter(drawn)
    monkeypatch.setattr("random.randrange", lambda *_: next(draws))
    bound_sockets = []
    for port in range(first, first + PORT_COUNT):
        bound_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        bound_socket.bind(("127.0.3.1", port))
        bound_sockets.append(bound_socket)
    assert choose_base_port() == drawn[-1]
    for bound_socket in bound_sockets:
        bound_socket.close()


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_requested_port_in_use_is_reported_in_one_line(
    kind: socket.SocketKind, capsys: pytest.CaptureFixture[str]
) -> None:
    with socket.socket(socket.AF_INET, kind) as bound_socket:
        bound_socket.bind(("127.0.0.1", 0))
        port = bound_socket.getsockname()[1]
        assert main(["demo", "--base-port", str(port)]) == 2
    error = capsys.readouterr().err
    assert f"port {port} is taken" in error
    assert error.count("\n") == 1
