"""Contract tests of reads and watches against the stand-in of the platform.

Guard against faults and malformed responses that raise in place of returning an error,
and against adopting a table that is only partly written.
"""

import orjson
import pytest
import trio

from citronwinch.configuration_service import (
    MANIFEST_KEY,
    SERVICE_KEY_PREFIX,
    join_table,
    parse_manifest,
    read_instances,
    read_key,
    split_table,
)
from citronwinch.coordination import Endpoint
from citronwinch.network import HttpResponse, serve
from citronwinch.standins import PlatformFaults, PlatformStandin

HEADER = (
    "service,protocol,service_address,backend_server,backend_server_address,"
    "availability_zone,weight,connection_limit\n"
)
ROWS = {
    "gauging": "gauging,udp,192.0.2.1:5000,g1,198.51.100.1:6000,a,10,2000\n",
    "reporting": "reporting,udp,192.0.2.2:5000,r1,198.51.100.2:6000,a,10,2000\n",
}
TEXT = HEADER + "".join(ROWS.values())
INSTANCE = {
    "name": "g1",
    "role": "agent",
    "availability_zone": "a",
    "address": "[2001:db8::1]:7000",
    "state": "leaving",
}


def run_with_platform(check, handler=None):
    """Run a check against the platform's stand-in, or against another HTTP handler."""

    async def run():
        standin = PlatformStandin()
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            await listeners[0].aclose()
            endpoint = Endpoint("127.0.0.1", port)
            nursery.start_soon(serve, endpoint, handler or standin.handle)
            await trio.sleep(0.01)
            with trio.fail_after(5):
                await check(standin, endpoint)
            nursery.cancel_scope.cancel()

    trio.run(run)


def test_published_table_is_read_completely():
    async def check(standin, endpoint):
        assert standin.publish_table(TEXT) == []
        manifest = parse_manifest((await read_key(endpoint, MANIFEST_KEY)).ok.value).ok
        values = {
            name: (
                await read_key(endpoint, SERVICE_KEY_PREFIX + name)
            ).ok.value.decode()
            for name in manifest.digests
        }
        table = join_table(manifest, values).ok
        assert (table.revision, len(table.rows)) == (1, 2)
        assert standin.reads == 3

    run_with_platform(check)


def test_watch_waits_for_the_next_change_and_counts_as_one_read():
    async def check(standin, endpoint):
        standin.publish_table(TEXT)
        index = (await read_key(endpoint, MANIFEST_KEY)).ok.change_index
        async with trio.open_nursery() as nursery:

            async def publish_edit():
                while standin.reads < 2:
                    await trio.sleep(0.005)
                standin.publish_table(TEXT.replace(",10,", ",0,"))

            nursery.start_soon(publish_edit)
            value = await read_key(endpoint, MANIFEST_KEY, index, 2_000)
        assert parse_manifest(value.ok.value).ok.revision == 2
        assert standin.reads == 2

    run_with_platform(check)


def test_watch_without_change_returns_current_value():
    async def check(standin, endpoint):
        standin.publish_instances([INSTANCE])
        found = (await read_instances(endpoint, 1, 30)).ok
        assert found.change_index == 1
        assert found.instances[0].address == Endpoint("2001:db8::1", 7000)

    run_with_platform(check)


FAULTS = {
    "unavailable": (PlatformFaults(unavailable=True), "status 503"),
    "too slow": (PlatformFaults(delay_ms=400), "no answer in 50 ms"),
}


@pytest.mark.parametrize("case", FAULTS.values(), ids=FAULTS.keys())
def test_fault_is_an_error_that_names_step_and_peer(monkeypatch, case):
    faults, reason = case
    monkeypatch.setattr("citronwinch.configuration_service._client.READ_TIMEOUT_MS", 50)

    async def check(standin, endpoint):
        standin.publish_table(TEXT)
        standin.faults = faults
        error = (await read_key(endpoint, MANIFEST_KEY)).error
        assert (error.step, error.peer) == (f"read {MANIFEST_KEY}", endpoint)
        assert reason in error.reason

    run_with_platform(check)


def test_unreachable_service_is_an_error():
    async def check(standin, endpoint):
        unreachable = endpoint._replace(port=1)
        assert (await read_instances(unreachable)).is_error()

    run_with_platform(check)


MALFORMED = {
    "no JSON": b"\xff{",
    "list": b"[]",
    "number": b"7",
    "null": b"null",
    "no index": b'{"value":"x","instances":[]}',
    "index is text": b'{"index":"x","value":"x","instances":[]}',
    "index is huge": b'{"index":1e400,"value":"x","instances":[]}',
    "instance is text": b'{"index":1,"instances":["g1"]}',
    "instance without name": b'{"index":1,"instances":[{}]}',
    "unknown role": orjson.dumps(
        {"index": 1, "instances": [INSTANCE | {"role": "router"}]}
    ),
    "unknown state": orjson.dumps(
        {"index": 1, "instances": [INSTANCE | {"state": "odd"}]}
    ),
    "address is a number": orjson.dumps(
        {"index": 1, "instances": [INSTANCE | {"address": 7}]}
    ),
    "deeply nested": b"[" * 5_000,
}


@pytest.mark.parametrize("body", MALFORMED.values(), ids=MALFORMED.keys())
def test_malformed_answer_is_an_error(body):
    async def answer(request):
        return HttpResponse(200, body)

    async def check(standin, endpoint):
        assert (await read_instances(endpoint)).is_error()

    run_with_platform(check, answer)


def replace_in_value(values, key, old, new):
    return values | {key: values[key].replace(old, new)}


PARTLY_WRITTEN = {
    "rows of another revision": lambda v: replace_in_value(
        v, "gauging", ",10,", ",11,"
    ),
    "rows are missing": lambda v: {"reporting": v["reporting"]},
    "rows are malformed": lambda v: replace_in_value(v, "gauging", "udp", "sctp"),
    "header is missing": lambda v: {**v, "gauging": ROWS["gauging"]},
    "empty": lambda v: {**v, "gauging": ""},
}


@pytest.mark.parametrize("corrupt", PARTLY_WRITTEN.values(), ids=PARTLY_WRITTEN.keys())
def test_partly_written_table_is_rejected(corrupt):
    standin = PlatformStandin()
    standin.publish_table(TEXT)
    manifest = parse_manifest(standin.values[MANIFEST_KEY][1].encode()).ok
    values = {name: standin.values[SERVICE_KEY_PREFIX + name][1] for name in ROWS}
    assert join_table(manifest, values).is_ok()
    assert join_table(manifest, corrupt(values)).is_error()


MANIFESTS = {
    "no JSON": b"x",
    "list": b"[]",
    "no services": b'{"revision":1}',
    "services is a list": b'{"revision":1,"services":[]}',
    "revision is text": b'{"revision":"x","services":{}}',
    "revision is negative": b'{"revision":-1,"services":{}}',
    "revision is huge": b'{"revision":99999999999999999999,"services":{}}',
}


@pytest.mark.parametrize("value", MANIFESTS.values(), ids=MANIFESTS.keys())
def test_malformed_manifest_is_an_error(value):
    assert parse_manifest(value).is_error()


def test_invalid_table_is_not_published():
    standin = PlatformStandin()
    assert standin.publish_table(TEXT.replace("udp", "x"))
    assert (standin.revision, standin.values) == (0, {})


def test_joining_a_split_table_restores_it():
    standin = PlatformStandin()
    standin.publish_table(TEXT)
    manifest = parse_manifest(standin.values[MANIFEST_KEY][1].encode()).ok
    values = {name: standin.values[SERVICE_KEY_PREFIX + name][1] for name in ROWS}
    table = join_table(manifest, values).ok
    assert split_table(table) == {
        key: text for key, (_, text) in standin.values.items()
    }
