"""A demo takes free ports, and says which wanted one is taken."""

import socket

import pytest

from citronwinch.demo._ports import PORTS_NEEDED, choose_base_port
from citronwinch.tool import main


def test_two_demos_get_different_free_ports() -> None:
    first = choose_base_port()
    taken = []
    for port in range(first, first + PORTS_NEEDED):
        holder = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        holder.bind(("127.0.3.1", port))
        taken.append(holder)
    assert choose_base_port() not in range(first - 1, first + PORTS_NEEDED)
    for holder in taken:
        holder.close()


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_a_taken_port_is_named_in_one_line(
    kind: socket.SocketKind, capsys: pytest.CaptureFixture[str]
) -> None:
    with socket.socket(socket.AF_INET, kind) as holder:
        holder.bind(("127.0.0.1", 0))
        port = holder.getsockname()[1]
        assert main(["demo", "--base-port", str(port)]) == 2
    error = capsys.readouterr().err
    assert f"port {port} is taken" in error
    assert error.count("\n") == 1
