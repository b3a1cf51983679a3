"""Tests of requests in an agent's process, from forwarded packet to sent datagram.

They guard against requests that run twice or late, callers without an outcome, and
records that are lost at a restart.
"""

import pytest

from citronwinch.backend_servers import (
    HEADER_BYTES,
    Reply,
    add_request_header,
    read_request_header,
)
from citronwinch.coordination import (
    Endpoint,
    Flow,
    Instance,
    InstanceRole,
    ManualClock,
    Table,
    TableRow,
    TransportProtocol,
)
from citronwinch.coordination.load import LoadReport, LoadState
from citronwinch.coordination.requests import (
    RecordsQuery,
    RequestKind,
    RequestMetadata,
    RequestRecords,
    RetryRequest,
)
from citronwinch.coordination.steering import Deliver, Forward, Refuse
from citronwinch.daemon import AgentProcess
from citronwinch.daemon._events import PeerBatch, ReplyArrived, StopRequested
from citronwinch.fabric import (
    MalformedFrameError,
    build_udp,
    decode_frame,
    parse_udp,
)
from citronwinch.operators import parse_settings
from citronwinch.operators._metrics import MetricKey
from citronwinch.peers import Envelope, decode_envelope

SETTINGS = """
[instance]
name = gauging-1
role = agent
availability_zone = tas-south-a
[listen]
peers = 127.0.0.1:0
http = 127.0.0.1:0
[platform]
configuration = 127.0.0.1:1
instances = 127.0.0.1:1
[fabric]
return = 127.0.0.1:9
[keys]
current = {key}
""".format(key="5a" * 32)

SERVICE = Endpoint("192.0.2.9", 7_000)
FLOW = Flow(TransportProtocol.UDP, Endpoint("192.0.2.1", 40_000), SERVICE)
PEER = Instance(
    "gauging-2", InstanceRole.AGENT, "tas-south-b", Endpoint("127.0.0.1", 8)
)


class FakeDelivery:
    def __init__(self):
        self.sent = []
        self.closed = []
        self.is_working = True

    def send(self, flow, payload):
        if self.is_working:
            self.sent.append(payload)
        return self.is_working

    def close(self, flow):
        self.closed.append(flow)

    def derive_local_port(self, flow):
        return 40_000

    def find_local_port(self, flow):
        return self.derive_local_port(flow) if self.sent else 0


def make_row(name):
    address = Endpoint("127.0.0.1", 10)
    return TableRow(
        "gauging",
        TransportProtocol.UDP,
        SERVICE,
        name,
        address,
        "tas-south-a",
        100,
        10,
    )


class AgentHarness:
    """An agent's process without an event loop; stores the datagrams that it sends."""

    def __init__(self, process):
        self.process = process
        self.clock = process.clock
        self.delivery = process.udp_delivery = FakeDelivery()
        self.datagrams = []
        process.peers.datagram_socket.send = self.record_datagram

    def record_datagram(self, data, receiver):
        self.datagrams.append(data)
        return True

    def forward(
        self,
        kind=RequestKind.REQUEST,
        earliest_arrival_ms=None,
        request_id=bytes(16),
        **fields,
    ):
        fields = {"remaining_ms": 2_000, **fields}
        request = RequestMetadata(kind, request_id, **fields)
        packet = build_udp(FLOW, add_request_header(request, b"x"), to_caller=False)
        forward = Forward(
            FLOW.key, "gauging", packet, "balancer-1", opens=True, request=request
        )
        self.receive(forward, earliest_arrival_ms)

    def receive(self, message, earliest_arrival_ms=None, incarnation=1):
        earliest_arrival_ms = (
            self.clock.now_ms() if earliest_arrival_ms is None else earliest_arrival_ms
        )
        envelope = Envelope("gauging-2", incarnation, 1, 1, message)
        self.process.handle(PeerBatch([envelope], earliest_arrival_ms))

    def reply(self, kind, part=0, part_count=1):
        answer = RequestMetadata(kind, bytes(16), part=part, part_count=part_count)
        payload = add_request_header(answer, b"part")
        self.process.handle(ReplyArrived(Reply(FLOW.key, payload)))

    def pass_time(self, duration_ms):
        self.clock.advance(duration_ms)
        self.process.handle(PeerBatch([], self.clock.now_ms()))

    def sent_kinds(self):
        """Return the kinds of the outcomes and answers that were sent to the caller."""
        kinds = []
        for data in self.datagrams:
            try:
                payload = parse_udp(decode_frame(data).packet).payload
            except MalformedFrameError:
                continue
            if (header := read_request_header(payload)) is not None:
                kinds.append(header.kind.name)
        return kinds

    def sent_messages(self):
        """Return the messages that were sent to other instances."""
        found = []
        for data in self.datagrams:
            opened = self.process.peers.keys.verify(data)
            if opened is not None:
                found.append(decode_envelope(opened).message)
        return found

    def count(self, name, reason=""):
        return self.process.metrics.counters[MetricKey(name, reason)]


@pytest.fixture
def harness(monkeypatch):
    monkeypatch.setattr(
        "citronwinch.daemon._process.MonotonicClock", lambda: ManualClock(100_000)
    )
    process = AgentProcess(parse_settings(SETTINGS, "test.ini").ok)
    process.apply_table(Table(1, [make_row("gauging-1")]))
    harness = AgentHarness(process)
    harness.pass_time(6_000)
    yield harness
    process.peers.datagram_socket.close()


def test_duplicate_requests_and_answer_parts_are_discarded(harness):
    harness.forward()
    harness.forward()
    for part in (1, 1, 0):
        harness.reply(RequestKind.ANSWER, part, 2)
    harness.reply(RequestKind.ANSWER, 0, 2)
    assert [payload[HEADER_BYTES:] for payload in harness.delivery.sent] == [b"x"]
    assert harness.sent_kinds() == ["ANSWER", "ANSWER"]
    assert harness.count("request_packets_discarded_total", "doubled_request") == 1


def test_started_agent_is_not_ready_and_answers_unknown(harness):
    harness.process.request_handler.requests.completeness.mark_incomplete(
        harness.clock.now_ms()
    )
    harness.process.state = "ready"
    harness.forward()
    assert (harness.sent_kinds(), harness.delivery.sent) == (["UNKNOWN"], [])
    assert harness.process.read_status().state == "starting"
    harness.pass_time(5_001)
    assert harness.process.read_status().state == "ready"


def test_request_that_expired_during_a_pause_is_not_delivered(harness):
    harness.forward(request_id=b"opens the flow..")
    before_ms = harness.clock.now_ms()
    harness.clock.advance(3_000)
    harness.forward(earliest_arrival_ms=before_ms)
    harness.forward()
    assert harness.sent_kinds() == ["UNKNOWN", "NOT_RUN", "NOT_RUN"]
    assert len(harness.delivery.sent) == 1


def test_request_that_waited_too_long_is_discarded(harness):
    harness.clock.advance(600)
    harness.forward(earliest_arrival_ms=harness.clock.now_ms() - 600)
    assert (harness.sent_kinds(), harness.delivery.sent) == ([], [])
    assert harness.count("request_packets_discarded_total", "late_request") == 1


def test_request_without_answer_is_unknown_at_its_deadline(harness):
    harness.forward()
    harness.pass_time(1_999)
    assert harness.sent_kinds() == []
    harness.pass_time(1)
    assert harness.sent_kinds() == ["UNKNOWN"]


def test_request_is_not_run_when_its_delivery_fails(harness):
    harness.delivery.is_working = False
    harness.forward()
    harness.delivery.is_working = True
    harness.forward()
    assert (harness.sent_kinds(), harness.delivery.sent) == (["NOT_RUN", "NOT_RUN"], [])


def test_cancellation_of_a_started_request_is_delivered(harness):
    harness.forward()
    harness.forward(RequestKind.CANCEL)
    request, cancel = (read_request_header(sent) for sent in harness.delivery.sent)
    assert request is not None and request.kind is RequestKind.REQUEST
    assert cancel is not None and cancel.kind is RequestKind.CANCEL


def test_shed_request_is_retried_at_another_agent(harness):
    process = harness.process
    process.request_handler.requests.budget.tokens = 1.0
    harness.forward(repeatable=True)
    process.apply_table(Table(2, [make_row("gauging-1"), make_row("gauging-2")]))
    process.instances = {"gauging-2": PEER}
    harness.reply(RequestKind.SHED)
    harness.pass_time(100)
    [retry] = [m for m in harness.sent_messages() if isinstance(m, RetryRequest)]
    assert retry.tried == ("gauging-1",)
    assert 0 < retry.request.remaining_ms <= 2_000
    assert harness.sent_kinds() == []


def test_shed_request_is_not_retried_at_an_overloaded_server(harness):
    process = harness.process
    process.request_handler.requests.budget.tokens = 1.0
    harness.forward(repeatable=True)
    process.apply_table(Table(2, [make_row("gauging-1"), make_row("gauging-2")]))
    process.instances = {"gauging-2": PEER}
    harness.receive(LoadReport("gauging", 1, 10, state=LoadState.OVERLOADED))
    harness.reply(RequestKind.SHED)
    harness.pass_time(100)
    assert not [m for m in harness.sent_messages() if isinstance(m, RetryRequest)]
    assert harness.sent_kinds() == ["NOT_RUN"]


def test_guest_request_counts_against_the_connection_limit(harness):
    metadata = RequestMetadata(RequestKind.REQUEST, bytes(16), True, 2_000)
    retry = RetryRequest(FLOW.key, "gauging", metadata, b"payload", ("gauging-2",))
    harness.receive(retry)
    assert harness.delivery.sent == [b"payload"]
    assert harness.process.steering.guest_count == 1
    harness.reply(RequestKind.ANSWER)
    assert harness.process.steering.guest_count == 0
    assert harness.delivery.closed == [FLOW.key]
    full = make_row("gauging-1")._replace(connection_limit=0)
    harness.process.apply_table(Table(2, [full]))
    other = metadata._replace(request_id=bytes(15) + b"1")
    harness.receive(retry._replace(request=other))
    assert harness.sent_kinds() == ["ANSWER", "NOT_RUN"]


def test_stopping_agent_finishes_requests_and_transfers_records(harness):
    process = harness.process
    harness.forward()
    process.handle(StopRequested())
    assert not process.is_drained()
    process.apply_table(Table(2, [make_row("gauging-1"), make_row("gauging-2")]))
    process.instances = {"gauging-2": PEER}
    process.steering.end_flow(FLOW.key)
    assert not process.is_drained()
    harness.reply(RequestKind.ANSWER)
    assert process.is_drained()
    [records] = [m for m in harness.sent_messages() if isinstance(m, RequestRecords)]
    assert (records.agent, records.total, len(records.records)) == ("gauging-1", 1, 1)
    assert harness.sent_kinds() == ["ANSWER"]


def test_answer_part_that_exceeds_a_packet_is_dropped_and_counted(harness):
    harness.forward()
    answer = RequestMetadata(RequestKind.ANSWER, bytes(16))
    payload = add_request_header(answer, bytes(65_450))
    harness.process.handle(ReplyArrived(Reply(FLOW.key, payload + bytes(30))))
    assert harness.sent_kinds() == []
    assert harness.count("replies_dropped_total", "too_long") == 1


def start_with_peer(harness):
    process = harness.process
    process.apply_table(Table(2, [make_row("gauging-1"), make_row("gauging-2")]))
    process.instances = {"gauging-2": PEER}
    harness.pass_time(1)


def test_started_agent_queries_its_records_and_is_then_settled(harness):
    harness.process.request_handler.requests.completeness.mark_incomplete(
        harness.clock.now_ms()
    )
    start_with_peer(harness)
    start_with_peer(harness)
    queries = [m for m in harness.sent_messages() if isinstance(m, RecordsQuery)]
    assert queries == [RecordsQuery("gauging-1")]
    assert not harness.process.request_handler.requests.covers_new_requests()
    harness.receive(RequestRecords("gauging-1", 66_000, 0, ()))
    assert harness.process.request_handler.requests.covers_new_requests()


@pytest.mark.parametrize(
    ("observed", "wait_ms", "returned_count"),
    [
        ("nothing", 1, 1),
        ("later run", 1, 1),
        ("later run", 3_000, 0),
        ("same run", 3_000, 1),
    ],
)
def test_records_are_returned_once_to_a_restarted_agent(
    harness, observed, wait_ms, returned_count
):
    start_with_peer(harness)
    harness.receive(RequestRecords("gauging-2", 66_000, 0, ()))
    if observed != "nothing":
        run = 2 if observed == "later run" else 1
        harness.receive(LoadReport("gauging", 1, 10), incarnation=run)
    harness.pass_time(wait_ms)
    harness.receive(RecordsQuery("gauging-2"), incarnation=2)
    harness.receive(RecordsQuery("gauging-2"), incarnation=2)
    found = [m for m in harness.sent_messages() if isinstance(m, RequestRecords)]
    assert len(found) == returned_count


def test_request_metadata_on_a_tcp_flow_is_ignored(harness):
    flow = FLOW._replace(protocol=TransportProtocol.TCP).key
    request = RequestMetadata(RequestKind.REQUEST, bytes(16))
    forward = Forward(flow, "gauging", b"segment", "balancer-1", request=request)
    assert not harness.process.request_handler.intercept(forward)
    assert not harness.process.request_handler.deliver(
        Deliver(flow, b"segment", request)
    )
    refusal = Refuse(flow, b"segment", "full", 1_000, request)
    assert not harness.process.request_handler.refuse(refusal)


@pytest.mark.parametrize(
    ("silence_ms", "run", "losses"), [(6_000, 1, 1), (6_000, 2, 0), (1_000, 1, 0)]
)
def test_silent_member_that_returns_without_restart_counts_as_lost(
    harness, silence_ms, run, losses
):
    start_with_peer(harness)
    harness.receive(LoadReport("gauging", 1, 10))
    harness.process.steering.leases_of("gauging").mark_alive("gauging-2")
    harness.pass_time(silence_ms)
    before = len(harness.process.request_handler.requests.completeness.member_losses_ms)
    harness.receive(LoadReport("gauging", 1, 10), incarnation=run)
    assert (
        len(harness.process.request_handler.requests.completeness.member_losses_ms)
        - before
        == losses
    )


@pytest.mark.parametrize(
    "payload",
    [
        b"no header",
        b"CWR1" + bytes(40),
        add_request_header(
            RequestMetadata(RequestKind.REQUEST, b"other request id"), b""
        ),
    ],
    ids=["no header", "malformed header", "another request"],
)
def test_request_without_matching_payload_header_is_dropped(harness, payload):
    request = RequestMetadata(RequestKind.REQUEST, bytes(16), remaining_ms=2_000)
    packet = build_udp(FLOW, payload, to_caller=False)
    forward = Forward(
        FLOW.key, "gauging", packet, "balancer-1", opens=True, request=request
    )
    harness.receive(forward)
    assert (harness.sent_kinds(), harness.delivery.sent) == ([], [])
    assert harness.count("packets_dropped_total", "mismatched_request") == 1
