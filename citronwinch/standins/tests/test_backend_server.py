"""Checks that the stand-in keeps the contract of a backend server.

Tests and the demo draw conclusions from its outcomes, so wrong ones would hide faults.
"""

from typing import cast

import orjson
import pytest
import trio
import trio.testing

from citronwinch.backend_servers import (
    HEADER_BYTES,
    add_request_header,
    read_request_header,
)
from citronwinch.coordination import Endpoint
from citronwinch.coordination.requests import RequestKind, RequestMetadata
from citronwinch.network import Datagram, DatagramSocket, HttpRequest
from citronwinch.standins import BackendServerSettings, BackendServerStandin

SENDER = ("127.0.0.1", 9)
DEFAULT_SETTINGS = BackendServerSettings(
    "g1", "gauging", Endpoint("127.0.0.1", 0), work_ms=10
)


class EventLoopClock:
    """The time of the event loop, which the tests' mock clock advances."""

    def now_ms(self):
        return round(trio.current_time() * 1000)


class RecordingSocket:
    """Records the datagrams that the stand-in sends, each with its time."""

    def __init__(self):
        self.sent = []

    def send(self, data, receiver):
        self.sent.append((EventLoopClock().now_ms(), data))
        return True


class Server:
    """A stand-in whose datagrams are recorded instead of sent."""

    def __init__(self, settings):
        self.standin = BackendServerStandin(settings, EventLoopClock())
        self.standin.datagram_socket.close()
        self.datagram_socket = RecordingSocket()
        self.standin.datagram_socket = cast(DatagramSocket, self.datagram_socket)
        self.started_ms = EventLoopClock().now_ms()
        self.count = 0

    def send_request(self, kind=RequestKind.REQUEST, remaining_ms=0, service="gauging"):
        """Send a request, or the cancellation of the previous one."""
        if kind is RequestKind.REQUEST:
            self.count += 1
        request_id = bytes([self.count]) * 16
        metadata = RequestMetadata(kind, request_id, False, remaining_ms)
        body = f"{service} entry {self.count}".encode()
        data = add_request_header(metadata, body)
        self.standin.receive(Datagram(data, SENDER))

    def outcomes(self):
        """Return time, kind and request number of the first part of each answer."""
        answers = [
            (time, read_request_header(data))
            for time, data in self.datagram_socket.sent
        ]
        return [
            (time - self.started_ms, answer.kind.name, answer.request_id[0])
            for time, answer in answers
            if answer is not None and answer.part == 0
        ]


def run_script(settings, script):
    """Run a script against a stand-in on a clock that skips waiting times."""

    async def run():
        server = Server(settings)
        async with trio.open_nursery() as nursery:
            for _ in range(settings.slots):
                nursery.start_soon(server.standin.work)
            await trio.testing.wait_all_tasks_blocked()
            await script(server)
            await trio.sleep(10)
            nursery.cancel_scope.cancel()
        return server

    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


async def send_three_requests(server):
    for _ in range(3):
        server.send_request()


async def cancel_queued_request(server):
    server.send_request()
    server.send_request()
    server.send_request(RequestKind.CANCEL)


async def send_expiring_request(server):
    server.send_request(remaining_ms=100)
    server.send_request(remaining_ms=9)
    server.send_request(remaining_ms=100)


async def drain_between_requests(server):
    server.send_request()
    await server.standin.handle_http(HttpRequest("GET", "/drain", {}))
    server.send_request()


async def send_after_cold_start(server):
    server.send_request()
    await trio.sleep(0.1)
    server.send_request()


CASES = {
    "one slot runs one request at a time": (
        DEFAULT_SETTINGS,
        send_three_requests,
        [(10, "ANSWER", 1), (20, "ANSWER", 2), (30, "ANSWER", 3)],
    ),
    "two slots run two requests at a time": (
        DEFAULT_SETTINGS._replace(slots=2),
        send_three_requests,
        [(10, "ANSWER", 1), (10, "ANSWER", 2), (20, "ANSWER", 3)],
    ),
    "a full queue sheds": (
        DEFAULT_SETTINGS._replace(queue_limit=1),
        send_three_requests,
        [(0, "SHED", 3), (10, "ANSWER", 1), (20, "ANSWER", 2)],
    ),
    "a queued request is cancelled": (
        DEFAULT_SETTINGS,
        cancel_queued_request,
        [(10, "ANSWER", 1)],
    ),
    "a request past its deadline is not started": (
        DEFAULT_SETTINGS,
        send_expiring_request,
        [(10, "ANSWER", 1), (10, "SHED", 2), (20, "ANSWER", 3)],
    ),
    "draining sheds new requests and completes earlier ones": (
        DEFAULT_SETTINGS,
        drain_between_requests,
        [(0, "SHED", 2), (10, "ANSWER", 1)],
    ),
    "requests are slow during the cold start": (
        DEFAULT_SETTINGS._replace(cold_start_ms=50, cold_start_factor=5),
        send_after_cold_start,
        [(50, "ANSWER", 1), (110, "ANSWER", 2)],
    ),
}


@pytest.mark.parametrize("case", CASES.values(), ids=CASES.keys())
def test_outcome_of_each_request(case):
    settings, script, expected = case
    assert sorted(run_script(settings, script).outcomes()) == sorted(expected)


LOADS = {
    "honest": (DEFAULT_SETTINGS, [(0, 3), (15, 2)]),
    "lagging": (DEFAULT_SETTINGS._replace(load_lag_ms=15), [(0, 0), (15, 3)]),
    "false": (DEFAULT_SETTINGS._replace(false_load=7), [(0, 7), (15, 7)]),
}


@pytest.mark.parametrize("case", LOADS.values(), ids=LOADS.keys())
def test_load_endpoint_reports_late_or_false_load(case):
    settings, expected = case
    reported = []

    async def read_loads(server):
        await send_three_requests(server)
        await trio.testing.wait_all_tasks_blocked()
        server.standin.record_load()
        for wait_ms, _ in expected:
            await trio.sleep(wait_ms / 1000)
            response = await server.standin.handle_http(HttpRequest("GET", "/load", {}))
            reported.append((wait_ms, orjson.loads(response.body)["load"]))

    run_script(settings, read_loads)
    assert reported == expected


def test_parts_make_up_the_complete_answer():
    server = run_script(DEFAULT_SETTINGS, send_three_requests)
    parts = [data[HEADER_BYTES:] for _, data in server.datagram_socket.sent[:2]]
    assert b"".join(parts) == b"g1 gauging entry 1"


def test_stand_in_counts_doubled_and_misdirected_requests():
    async def send_duplicate_and_misdirected(server):
        server.send_request(service="reporting")
        server.count -= 1
        server.send_request()

    backend_server = run_script(
        DEFAULT_SETTINGS, send_duplicate_and_misdirected
    ).standin
    assert backend_server.counters["misdirected"] == 1
    assert max(backend_server.executed.values()) == 2
