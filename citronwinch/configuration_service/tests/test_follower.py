"""Contract tests of the follower against the platform's stand-in on loopback.

Guard against needless reads, against a table read that delays the list of instances,
and against losing a valid table through faults and malformed or old values.
"""

import random
import socket

import pytest
import trio
import trio.testing
from expression import Error, Ok

from citronwinch.configuration_service import (
    MANIFEST_KEY,
    InstanceList,
    KeyRequest,
    KeyValue,
    ListRequest,
    PlatformFollower,
    read_instances,
    read_key,
)
from citronwinch.coordination import (
    Endpoint,
    Instance,
    InstanceRole,
    ManualClock,
    TableRow,
    TransportProtocol,
)
from citronwinch.coordination.spread import GossipNode
from citronwinch.network import serve
from citronwinch.operators import format_table
from citronwinch.standins._platform import PlatformFaults, PlatformStandin


def find_free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


PORT = find_free_port()


def make_rows(weight=100):
    return [
        TableRow(
            f"service-{i % 4}",
            TransportProtocol.UDP,
            Endpoint(f"192.0.2.{i % 4 + 1}", 5_000),
            f"g-{i}",
            Endpoint("198.51.100.1", 1_000 + i),
            "a",
            weight,
            2_000,
        )
        for i in range(12)
    ]


class FollowingProcess:
    """A process that follows the stand-in over HTTP and has its own manual clock."""

    def __init__(self, name="b-1", role=InstanceRole.BALANCER):
        self.clock = ManualClock(1_000)
        own = Instance(name, role, "a", Endpoint("192.0.2.200", 1))
        self.node = GossipNode(own, 1, self.clock, random.Random(1))
        self.follower = PlatformFollower(self.node, self.clock)
        self.keys = []

    async def follow(self, steps=60):
        service = Endpoint("127.0.0.1", PORT)
        for _ in range(steps):
            self.clock.advance(200)
            self.node.tick()
            for request in self.follower.take_requests():
                if isinstance(request, ListRequest):
                    found = await read_instances(service)
                    self.follower.accept_list(found.map_error(lambda e: e.reason))
                    continue
                self.keys.append(request.key)
                value = await read_key(service, request.key)
                result = value.map_error(lambda error: error.reason)
                if self.follower.accept_key(KeyRequest(request.key), result):
                    self.follower.accept_table_read(self.follower.reader.finish())

    @property
    def revision(self):
        return self.node.replica.version.revision


@pytest.fixture
def standin():
    result = PlatformStandin()
    result.publish_table(format_table(make_rows()))
    result.publish_instances(
        [
            {
                "name": "b-1",
                "role": "balancer",
                "availability_zone": "a",
                "address": "192.0.2.200:1",
            }
        ]
    )
    return result


def run_with(standin, action):
    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve, Endpoint("127.0.0.1", PORT), standin.handle)
            await trio.testing.wait_all_tasks_blocked()
            await action()
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_balancer_reads_bundles_first_and_later_only_changed_services(standin):
    process = FollowingProcess()

    async def action():
        await process.follow()
        assert process.revision == 1
        assert process.keys[:2] == [MANIFEST_KEY, "table/bundles/000"]
        process.keys.clear()
        rows = make_rows()
        rows[5] = rows[5]._replace(weight=7)
        standin.publish_table(format_table(rows))
        await process.follow()
        assert process.node.replica.table.row_by_backend_server["g-5"].weight == 7
        assert {key for key in process.keys if key != MANIFEST_KEY} == {
            "table/services/service-1"
        }

    run_with(standin, action)


def test_agent_reads_only_its_own_service(standin):
    process = FollowingProcess("g-6", InstanceRole.AGENT)

    async def action():
        await process.follow()
        assert process.revision == 1
        services = set(process.node.replica.table.rows_by_service)
        assert services == {"service-2"}
        assert len(process.keys) == 3

    run_with(standin, action)


LIST_RETRY_LIMIT_MS = 5_000


@pytest.mark.parametrize("failures", [1, 2])
def test_table_read_does_not_delay_list_of_instances(failures):
    standin, process = PlatformStandin(), FollowingProcess("g-6", InstanceRole.AGENT)
    standin.publish_table(format_table(make_rows()))
    standin.publish_instances([])
    follower, list_reads = process.follower, []
    for _ in range(LIST_RETRY_LIMIT_MS * (failures + 1) // 200):
        process.clock.advance(200)
        process.node.tick()
        for request in follower.take_requests():
            if isinstance(request, ListRequest):
                list_reads.append(process.clock.now_ms())
                is_down = len(list_reads) <= failures
                answer = Error("down") if is_down else Ok(InstanceList(1, ()))
                follower.accept_list(answer)
                continue
            index, value = standin.values[request.key]
            if follower.accept_key(request, Ok(KeyValue(index, value.encode()))):
                follower.accept_table_read(follower.reader.finish())
    assert process.revision == 1
    assert follower.has_list


FAULTS = {
    "down": PlatformFaults(unavailable=True),
    "slow": PlatformFaults(delay_ms=30),
}


@pytest.mark.parametrize("case", FAULTS)
def test_table_is_kept_during_fault_and_updated_afterwards(standin, case):
    process = FollowingProcess()

    async def action():
        await process.follow()
        standin.faults = FAULTS[case]
        standin.publish_table(format_table(make_rows(50)))
        await process.follow(20)
        assert process.revision in ((1,) if case == "down" else (1, 2))
        standin.faults = PlatformFaults()
        await process.follow(120)
        assert process.revision == 2

    run_with(standin, action)


def publish_malformed_manifest(standin):
    standin.publish_key(MANIFEST_KEY, '{"revision": 2')


def publish_malformed_rows(standin):
    standin.publish_table(format_table(make_rows(50)))
    standin.publish_key("table/bundles/000", "no table")
    standin.publish_key("table/services/service-1", "no table")


def publish_only_manifest(standin):
    before = dict(standin.values)
    standin.publish_table(format_table(make_rows(50)))
    manifest = standin.values[MANIFEST_KEY]
    standin.values = {**before, MANIFEST_KEY: manifest}


def restore_old_copy(standin):
    standin.publish_table(format_table(make_rows(50)))
    standin.revision = -1
    standin.publish_table(format_table(make_rows(60)))


INVALID_UPDATES = {
    "malformed manifest": publish_malformed_manifest,
    "malformed rows": publish_malformed_rows,
    "new manifest with old rows": publish_only_manifest,
    "restored with a lower revision": restore_old_copy,
}


@pytest.mark.parametrize("case", INVALID_UPDATES)
def test_malformed_or_older_table_is_not_adopted(standin, case):
    process = FollowingProcess()

    async def action():
        await process.follow()
        before = process.node.replica.table
        assert before.revision == 1
        INVALID_UPDATES[case](standin)
        await process.follow(40)
        assert process.node.replica.table is before

    run_with(standin, action)
