"""Tests of the daemon's entry point."""

import socket

import pytest
import structlog

from citronwinch.coordination import Endpoint
from citronwinch.daemon import main
from citronwinch.daemon.tests._deployment import Deployment

ANY_PORT = Endpoint("127.0.0.1", 0)


@pytest.fixture
def settings(tmp_path):
    file = tmp_path / "balancer-1.ini"
    deployment = Deployment.__new__(Deployment)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as bound:
        bound.bind(("127.0.0.1", 0))
        address = Endpoint(*bound.getsockname())
        deployment.addresses = {"balancer-1": (address, ANY_PORT, ANY_PORT)}
        deployment.platform_address = deployment.return_address = Endpoint(
            "127.0.0.1", 1
        )
        file.write_text(deployment.make_settings("balancer-1"))
        yield file
    structlog.reset_defaults()


def test_address_in_use_is_reported_without_a_traceback(settings, capsys):
    assert main([str(settings)]) == 1
    message = capsys.readouterr().err
    assert "cannot run" in message and "in use" in message
    assert "Traceback" not in message


INVALID_SETTINGS = {
    "binary": b"\xff\xfe",
    "empty": b"",
    "key twice": b"[keys]\n[keys]\n",
}


@pytest.mark.parametrize("data", INVALID_SETTINGS.values(), ids=INVALID_SETTINGS.keys())
def test_invalid_settings_are_reported_with_their_file(tmp_path, capsys, data):
    file = tmp_path / "agent.ini"
    file.write_bytes(data)
    assert main([str(file)]) == 2
    assert str(file) in capsys.readouterr().err
