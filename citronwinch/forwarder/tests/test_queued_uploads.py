"""What a balancer process does with queued packets of uploads.

Guards against queued packets that wait for the next idle tick, or that are lost when
the process stops.
"""

from citronwinch.coordination.flows._known_flows import KnownFlow
from citronwinch.coordination.flows._upload_pacing import UploadPacing
from citronwinch.coordination.flows.tests.conftest import REPORTING, make_packet
from citronwinch.forwarder.tests.conftest import make_balancer

QUEUED_PACKETS = 4


def queue_packets(process):
    flows = process.flows
    pacing = UploadPacing(process.clock, 5, flows.flows, flows.counters)
    flows.pacing = flows.searches.pacing = pacing
    packet = make_packet(payload=1_200, address=REPORTING)._replace(is_full_size=True)
    known = KnownFlow("10.0.0.4", "reporting", process.clock.now_ms())
    known.has_large_request = True
    flows.flows.store(packet.flow, known)
    flows.uploads.record_data(packet)
    pacing.budget.available_bytes = 0
    for _ in range(QUEUED_PACKETS):
        pacing.budget.refilled_ms = process.clock.now_ms()
        assert pacing.forward(known, packet) == []


def test_a_balancer_ticks_often_while_packets_are_queued(open_sockets):
    process = make_balancer(open_sockets, "127.95.0.12")
    process.has_been_ready = True
    assert not process.has_pending_work()
    queue_packets(process)
    assert process.has_pending_work()
    assert process.compute_tick_ms(is_idle=False) == 20


def test_a_stopping_balancer_forwards_queued_packets(open_sockets, monkeypatch):
    process = make_balancer(open_sockets, "127.95.0.12")
    queue_packets(process)
    sent = []
    monkeypatch.setattr(process, "send", lambda ip, message: sent.append(ip))
    process.begin_stop()
    assert sent.count("10.0.0.4") == QUEUED_PACKETS
    assert not process.flows.pacing.is_active


def test_uploads_are_counted_in_the_metrics(open_sockets, monkeypatch):
    process = make_balancer(open_sockets, "127.95.0.12")
    monkeypatch.setattr(process, "send", lambda ip, message: None)
    # The view is not read from the store without running tasks.
    monkeypatch.setattr(process.view_exchange, "tick", lambda: None)
    queue_packets(process)
    process.tick()
    values = {key.name: value for key, value in process.metrics.gauges.items()}
    values |= {key.name: value for key, value in process.metrics.counters.items()}
    assert values["uploads_in_progress"] == 1
    assert values["upload_packets_paced_total"] == QUEUED_PACKETS
