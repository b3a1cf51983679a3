"""Differences between the log lines of balancers or agents and those of other daemons.

Operators search the lines of all daemons with the same tools. A difference comes about
when only one of the two writers is changed.
"""

import io

import orjson
import pytest
import structlog

from citronwinch.coordination import Endpoint
from citronwinch.operators import configure_logging
from citronwinch.operators._process_log import ProcessLog


@pytest.fixture(autouse=True)
def default_logging():
    yield
    structlog.reset_defaults()


FIELDS = {
    "name": 'agent "1"',
    "address": Endpoint("192.0.2.1", 443),
    "servers": ["ä", 1.5, None],
    "other": {1: object},
}


@pytest.mark.parametrize("method", ["info", "warning", "exception"])
def test_lines_equal_those_of_structlog(method: str) -> None:
    streams = io.StringIO(), io.StringIO()
    configure_logging("json", streams[0])
    process_log = ProcessLog()
    process_log.write_to(streams[1])
    for log in (structlog.get_logger(), process_log):
        try:
            raise OSError("gone")
        except OSError:
            getattr(log, method)("peer_lost", **FIELDS)
    lines = [stream.getvalue() for stream in streams]
    assert [line.count("\n") for line in lines] == [1, 1]
    expected, found = (orjson.loads(line) for line in lines)
    assert len(expected.pop("timestamp")) == len(found.pop("timestamp"))
    assert found == expected


def test_a_closed_stream_is_ignored() -> None:
    stream = io.StringIO()
    process_log = ProcessLog()
    process_log.write_to(stream)
    stream.close()
    process_log.info("ready")
