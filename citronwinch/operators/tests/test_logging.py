"""Tests that log lines carry exceptions and that a closed stream is tolerated."""

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


def test_json_line_contains_the_exception(capsys):
    configure_logging("json")
    try:
        raise OSError("gone")
    except OSError:
        structlog.get_logger().exception("peer_lost", peer="g1", step="read")
    line = orjson.loads(capsys.readouterr().err)
    assert (line["event"], line["peer"], line["level"]) == ("peer_lost", "g1", "error")
    assert "OSError: gone" in line["exception"]


@pytest.mark.parametrize("log_format", ["json", "console"])
def test_closed_log_stream_is_ignored(monkeypatch, log_format):
    stream = io.StringIO()
    monkeypatch.setattr(sys, "stderr", stream)
    configure_logging(log_format)
    stream.close()
    structlog.get_logger().info("ready")
