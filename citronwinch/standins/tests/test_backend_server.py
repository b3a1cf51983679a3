"""Contract of a backend server, kept by its stand-in."""

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
from citronwinch.network import Datagram, DatagramPort, HttpRequest
from citronwinch.standins import BackendServerSettings, BackendServerStandin

SENDER = ("127.0.0.1", 9)
BASE = BackendServerSettings("g1", "gauging", Endpoint("127.0.0.1", 0), work_ms=10)


class EventLoopClock:
    """The event loop's time, which a test moves."""

    def now_ms(self):
        return round(trio.current_time() * 1000)


class RecordingPort:
    """Takes what the stand-in sends, with the time."""

    def __init__(self):
        self.sent = []

    def send(self, data, receiver):
        self.sent.append((EventLoopClock().now_ms(), data))
        return True


class Server:
    """A stand-in with a recording port."""

    def __init__(self, settings):
        self.standin = BackendServerStandin(settings, EventLoopClock())
        self.standin.port.close()
        self.port = RecordingPort()
        self.standin.port = cast(DatagramPort, self.port)
        self.started_ms = EventLoopClock().now_ms()
        self.count = 0

    def ask(self, kind=RequestKind.REQUEST, remaining_ms=0, service="gauging"):
        """Send a request, or the cancellation of the last one."""
        if kind is RequestKind.REQUEST:
            self.count += 1
        request_id = bytes([self.count]) * 16
        metadata = RequestMetadata(kind, request_id, False, remaining_ms)
        body = f"{service} entry {self.count}".encode()
        data = add_request_header(metadata, body)
        self.standin.receive(Datagram(data, SENDER))

    def outcomes(self):
        """Return time, kind and request of each first part that was sent."""
        answers = [(time, read_request_header(data)) for time, data in self.port.sent]
        return [
            (time - self.started_ms, answer.kind.name, answer.request_id[0])
            for time, answer in answers
            if answer is not None and answer.part == 0
        ]


def play(settings, script):
    """Run a script of calls on a stand-in while its clock jumps ahead."""

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


async def ask_three(server):
    for _ in range(3):
        server.ask()


async def cancel_waiting(server):
    server.ask()
    server.ask()
    server.ask(RequestKind.CANCEL)


async def let_deadline_pass(server):
    server.ask(remaining_ms=100)
    server.ask(remaining_ms=9)
    server.ask(remaining_ms=100)


async def drain(server):
    server.ask()
    await server.standin.handle_http(HttpRequest("GET", "/drain", {}))
    server.ask()


async def ask_after_cold_start(server):
    server.ask()
    await trio.sleep(0.1)
    server.ask()


CASES = {
    "one slot works on one request at a time": (
        BASE,
        ask_three,
        [(10, "ANSWER", 1), (20, "ANSWER", 2), (30, "ANSWER", 3)],
    ),
    "two slots work on two": (
        BASE._replace(slots=2),
        ask_three,
        [(10, "ANSWER", 1), (10, "ANSWER", 2), (20, "ANSWER", 3)],
    ),
    "a full queue sheds": (
        BASE._replace(queue_limit=1),
        ask_three,
        [(0, "SHED", 3), (10, "ANSWER", 1), (20, "ANSWER", 2)],
    ),
    "a waiting request is cancelled": (BASE, cancel_waiting, [(10, "ANSWER", 1)]),
    "a request is not begun after its deadline": (
        BASE,
        let_deadline_pass,
        [(10, "ANSWER", 1), (10, "SHED", 2), (20, "ANSWER", 3)],
    ),
    "draining sheds new requests and ends the old": (
        BASE,
        drain,
        [(0, "SHED", 2), (10, "ANSWER", 1)],
    ),
    "a cold start is slow at first": (
        BASE._replace(cold_start_ms=50, cold_start_factor=5),
        ask_after_cold_start,
        [(50, "ANSWER", 1), (110, "ANSWER", 2)],
    ),
}


@pytest.mark.parametrize("case", CASES.values(), ids=CASES.keys())
def test_outcome_of_each_request(case):
    settings, script, expected = case
    assert sorted(play(settings, script).outcomes()) == sorted(expected)


LOADS = {
    "honest": (BASE, [(0, 3), (15, 2)]),
    "lagging": (BASE._replace(load_lag_ms=15), [(0, 0), (15, 3)]),
    "false": (BASE._replace(false_load=7), [(0, 7), (15, 7)]),
}


@pytest.mark.parametrize("case", LOADS.values(), ids=LOADS.keys())
def test_load_endpoint_may_lag_or_mislead(case):
    settings, expected = case
    told = []

    async def read_loads(server):
        await ask_three(server)
        await trio.testing.wait_all_tasks_blocked()
        server.standin.note_load()
        for wait_ms, _ in expected:
            await trio.sleep(wait_ms / 1000)
            response = await server.standin.handle_http(HttpRequest("GET", "/load", {}))
            told.append((wait_ms, orjson.loads(response.body)["load"]))

    play(settings, read_loads)
    assert told == expected


def test_answer_comes_in_parts_that_make_the_whole():
    server = play(BASE, ask_three)
    parts = [data[HEADER_BYTES:] for _, data in server.port.sent[:2]]
    assert b"".join(parts) == b"g1 gauging entry 1"


def test_stand_in_counts_doubled_and_misdirected_requests():
    async def misuse(server):
        server.ask(service="reporting")
        server.count -= 1
        server.ask()

    counters = play(BASE, misuse).standin
    assert counters.counters["misdirected"] == 1
    assert max(counters.executed.values()) == 2
