"""The weighing of a server's load by its service time.

Guards against a choice that prefers a slow server for its speed, a server that is full
although another has room, or any server because of a report with unusual values; and
against another choice than before where no service time is known.
"""

import math
import random

import pytest
from hypothesis import given, strategies as st

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    BackendServer,
    ChosenServer,
    LoadReport,
    ServerSelector,
)
from citronwinch.coordination.flows._chosen_server import compute_full_wait_ms
from citronwinch.coordination.flows._messages import UNLIMITED_OPENINGS
from citronwinch.coordination.flows._server_scoring import (
    UNREPORTED_SERVICE_MS,
    ServerLoad,
    ServiceMedians,
    compute_medians,
    compute_remote_cost,
    compute_score,
    find_median_service_ms,
    is_load_full,
    read_load,
)
from citronwinch.coordination.flows.tests.conftest import make_server

MAX_UINT32 = 2**32 - 1
OBJECTIVES_MS = st.integers(1, 20_000)
SHARES = st.integers(0, 1_000).map(lambda thousandths: thousandths / 1_000)
UINT32 = st.integers(0, MAX_UINT32)
ANY_REPORT = st.builds(
    LoadReport,
    service=st.just("gauging"),
    open_flows=UINT32,
    waiting=UINT32,
    latency_ms=UINT32,
    busy_share=st.integers(0, 65_535).map(lambda thousandths: thousandths / 1_000),
    accepts_flows=st.booleans(),
    failed_share=SHARES,
    service_ms=UINT32,
    queued=UINT32,
    opening_room=st.integers(0, UNLIMITED_OPENINGS),
)
"""Any report that the wire format can carry."""

USUAL_REPORT = st.builds(
    LoadReport,
    service=st.just("gauging"),
    open_flows=st.integers(0, 200),
    waiting=st.integers(0, 30),
    latency_ms=st.integers(0, 500),
    busy_share=SHARES,
    accepts_flows=st.just(True),
    failed_share=st.just(0.0),
    service_ms=st.integers(0, 200),
    queued=st.integers(0, 30),
    opening_room=st.just(UNLIMITED_OPENINGS),
)
"""A report of a server that is a candidate for new flows."""


def make_selector(
    reports: list[LoadReport], *, zones: str = "ab", placed: int = 0
) -> tuple[ServerSelector, list[BackendServer]]:
    selector = ServerSelector("a", ManualClock(100_000), random.Random(1))
    servers = [
        make_server(number, zone=zones[number % len(zones)])
        for number in range(1, len(reports) + 1)
    ]
    for server, report in zip(servers, reports, strict=True):
        selector.record_message(server.address.ip, report)
    for _ in range(placed):
        selector.record_placed_flow(servers[0])
    return selector, servers


def read_loads(
    selector: ServerSelector, servers: list[BackendServer]
) -> tuple[list[ServerLoad], ServiceMedians]:
    loads = [
        read_load(selector.agents.get(server.address.ip), server.slots, 100_000)
        for server in servers
    ]
    service_ms = find_median_service_ms([load.service_ms for load in loads])
    return loads, compute_medians(loads, service_ms)


def is_full(load: ServerLoad, medians: ServiceMedians, objective_ms: int) -> bool:
    limit_ms = compute_full_wait_ms(objective_ms)
    return is_load_full(load, medians.service_ms, limit_ms)


def choose(
    selector: ServerSelector, servers: list[BackendServer], objective_ms: int
) -> ChosenServer:
    chosen = selector.choose(servers, (), objective_ms)
    assert chosen is not None
    return chosen


@given(
    report=USUAL_REPORT.filter(lambda report: report.service_ms > 0),
    others=st.lists(USUAL_REPORT, min_size=1, max_size=8),
    faster_ms=st.integers(1, 200),
)
def test_a_faster_server_never_has_a_worse_score_for_the_same_load(
    report: LoadReport, others: list[LoadReport], faster_ms: int
) -> None:
    """Its latency is shorter in proportion, as its queue is the same."""
    faster_ms = min(faster_ms, report.service_ms)
    selector, servers = make_selector([report, *others], zones="a")
    (load, *_), medians = read_loads(selector, servers)
    assert load.latency_ms is not None
    faster = load._replace(
        service_ms=faster_ms,
        latency_ms=load.latency_ms * faster_ms // load.service_ms,
    )
    assert compute_score(faster, medians) <= compute_score(load, medians) + 1e-6
    for objective_ms in (120, 356, 1_093):
        assert is_full(load, medians, objective_ms) or not is_full(
            faster, medians, objective_ms
        )


@given(
    reports=st.lists(USUAL_REPORT, min_size=1, max_size=40),
    placed=st.integers(0, 70),
    objective_ms=OBJECTIVES_MS,
)
def test_a_full_server_is_never_chosen_while_another_has_room(
    reports: list[LoadReport], placed: int, objective_ms: int
) -> None:
    selector, servers = make_selector(reports, placed=placed)
    loads, medians = read_loads(selector, servers)
    if not all(is_full(load, medians, objective_ms) for load in loads):
        chosen = choose(selector, servers, objective_ms)
        assert not chosen.is_full(objective_ms)


@given(
    reports=st.lists(ANY_REPORT, min_size=1, max_size=40), objective_ms=OBJECTIVES_MS
)
def test_scores_are_finite_for_any_report(
    reports: list[LoadReport], objective_ms: int
) -> None:
    selector, servers = make_selector(reports)
    chosen = choose(selector, servers, objective_ms)
    figures = (chosen.score, chosen.expected_wait_ms, chosen.service_ms)
    assert all(math.isfinite(figure) for figure in figures)


@given(
    report=USUAL_REPORT.map(lambda report: report._replace(service_ms=0, queued=0)),
    median_latency_ms=st.integers(1, 500),
    objective_ms=OBJECTIVES_MS,
)
def test_without_service_times_the_score_is_the_earlier_one(
    report: LoadReport, median_latency_ms: int, objective_ms: int
) -> None:
    selector, [server] = make_selector([report], placed=2)
    [load], medians = read_loads(selector, [server])
    medians = medians._replace(latency_ms=median_latency_ms)
    slowness = min(max(report.latency_ms / median_latency_ms, 1.0), 4.0)
    waiting = report.waiting + 2
    flows = report.open_flows + 2
    expected = (flows + 4.0 * waiting + 20.0 * report.busy_share) * slowness
    assert compute_score(load, medians) == pytest.approx(expected)
    remote_cost = compute_remote_cost(medians.service_ms, objective_ms)
    assert remote_cost == pytest.approx(8.0 + objective_ms / 40.0)
    full_pressure = min(max(objective_ms / 35.0, 52 / 17.5), 7.0)
    assert is_full(load, medians, objective_ms) == (waiting >= full_pressure)


REPORT = LoadReport("gauging", 30, 0, 20, 0.5, True)


@pytest.mark.parametrize(
    ("service_ms", "open_flows", "chosen_ip"),
    [
        pytest.param((20, 20), (30, 20), "10.0.0.2", id="same speed: fewer flows"),
        pytest.param((34, 20), (30, 49), "10.0.0.2", id="1.7 times as fast"),
        pytest.param((34, 20), (30, 56), "10.0.0.1", id="far more flows"),
        pytest.param((20, 0), (30, 29), "10.0.0.2", id="unknown: the median"),
        pytest.param((0, 20), (29, 30), "10.0.0.1", id="the other is unknown"),
    ],
)
def test_a_server_holds_flows_in_proportion_to_its_speed(
    service_ms: tuple[int, int], open_flows: tuple[int, int], chosen_ip: str
) -> None:
    reports = [
        REPORT._replace(service_ms=time_ms, open_flows=flows, latency_ms=time_ms or 20)
        for time_ms, flows in zip(service_ms, open_flows, strict=True)
    ]
    selector, servers = make_selector(reports, zones="a")
    assert choose(selector, servers, 356).server.address.ip == chosen_ip


@pytest.mark.parametrize(
    ("service_ms", "waiting", "queued", "objective_ms", "full"),
    [
        pytest.param(53, 4, 3, 448, False, id="212 ms of 448 ms"),
        pytest.param(53, 5, 3, 448, True, id="265 ms of 448 ms"),
        pytest.param(4, 60, 58, 1_089, False, id="many short requests are held"),
        pytest.param(4, 9, 0, 1_089, True, id="the server is about to refuse"),
        pytest.param(4, 9, 0, 40, True, id="the server is about to refuse, tight"),
        pytest.param(17, 3, 2, 40, False, id="work until the next report"),
        pytest.param(17, 4, 3, 40, True, id="more than until the next report"),
    ],
)
def test_a_server_is_full_by_the_time_that_a_request_would_wait(
    service_ms: int, waiting: int, queued: int, objective_ms: int, full: bool
) -> None:
    report = REPORT._replace(service_ms=service_ms, waiting=waiting, queued=queued)
    selector, servers = make_selector([report])
    chosen = choose(selector, servers, objective_ms)
    assert chosen.expected_wait_ms == waiting * service_ms
    assert chosen.is_full(objective_ms) is full


def test_a_server_that_recovers_from_a_hang_still_gets_flows() -> None:
    """Its learned time is long, and only new requests can correct it."""
    reports = [REPORT._replace(service_ms=20) for _ in range(6)]
    reports[0] = REPORT._replace(service_ms=2_000, open_flows=0, busy_share=0.0)
    selector, servers = make_selector(reports, zones="a")
    assert choose(selector, servers, 356).server == servers[0]
    selector.record_placed_flow(servers[0])
    assert choose(selector, servers, 356).server != servers[0]


def test_a_server_without_an_agent_counts_as_idle_with_the_median_service_time() -> (
    None
):
    load = read_load(None, 2, 0)
    assert load == ServerLoad(0.0, 0.0, 0.0, 0.0, None, 0, 2)
    assert find_median_service_ms([load.service_ms]) == UNREPORTED_SERVICE_MS
