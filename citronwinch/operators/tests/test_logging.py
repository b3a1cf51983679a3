"""Tests of log lines."""

import io
import sys

import orjson
import pytest
import structlog

from citronwinch.operators import configure_logging


@pytest.fixture(autouse=True)
def default_logging():
    yield
    structlog.reset_defaults()


def test_json_line_carries_the_error_of_its_event(capsys):
    configure_logging("json")
    try:
        raise OSError("gone")
    except OSError:
        structlog.get_logger().exception("peer_lost", peer="g1", step="read")
    line = orjson.loads(capsys.readouterr().err)
    assert (line["event"], line["peer"], line["level"]) == ("peer_lost", "g1", "error")
    assert "OSError: gone" in line["exception"]


@pytest.mark.parametrize("log_format", ["json", "console"])
def test_lost_reader_of_the_log_harms_nothing(monkeypatch, log_format):
    stream = io.StringIO()
    monkeypatch.setattr(sys, "stderr", stream)
    configure_logging(log_format)
    stream.close()
    structlog.get_logger().info("ready")
