"""Uploads through a balancer on a thin link, without a network.

Guards against a link that is filled by packets which callers send again because the
first copies still wait for the link. Openings of uploads beyond what the link carries
within the callers' resend time are refused, so that their callers go elsewhere.
"""

from collections import deque

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    BalancerFlows,
    DeploymentView,
    ServerSelector,
)
from citronwinch.coordination.flows._upload_admission import (
    CALLER_RESEND_MS,
    CALLER_WINDOW_BYTES,
    UploadAdmission,
)
from citronwinch.coordination.flows.tests.conftest import (
    GAUGING,
    REPORTING,
    has_reset,
    make_configuration,
    make_packet,
    make_route,
)

THIN_LINK_MBPS = 5
UPLOAD_BYTES = 80_000


@pytest.fixture
def thin_balancer(
    view: DeploymentView, selector: ServerSelector, clock: ManualClock
) -> BalancerFlows:
    uploads = make_route("manifests", REPORTING, "reporting")
    view.accept_configuration(
        make_configuration(
            2,
            make_route("boards", GAUGING, "gauging"),
            uploads._replace(has_large_requests=True, latency_objective_ms=1_000),
        )
    )
    return BalancerFlows(view, selector, clock, link_mbps=THIN_LINK_MBPS)


def open_uploads(balancer: BalancerFlows, count: int) -> list[bool]:
    """Open flows on the upload route; return which of them were refused."""
    return [
        has_reset(balancer.handle_packet(make_packet(port, REPORTING, opening=True)))
        for port in range(4_000, 4_000 + count)
    ]


def send_data(balancer: BalancerFlows, port: int, *, is_last: bool) -> None:
    packet = make_packet(port, REPORTING, payload=700 if is_last else 1_200)
    balancer.handle_packet(packet._replace(is_full_size=not is_last))


def test_uploads_beyond_the_link_are_refused_at_once(
    thin_balancer: BalancerFlows,
) -> None:
    assert open_uploads(thin_balancer, 5) == [False] * 3 + [True] * 2


def test_a_finished_upload_makes_room(thin_balancer: BalancerFlows) -> None:
    open_uploads(thin_balancer, 3)
    send_data(thin_balancer, 4_000, is_last=False)
    assert thin_balancer.uploads.is_full()
    send_data(thin_balancer, 4_000, is_last=True)
    assert not thin_balancer.uploads.is_full()


def test_an_upload_that_stops_makes_room(
    thin_balancer: BalancerFlows, clock: ManualClock
) -> None:
    open_uploads(thin_balancer, 3)
    clock.advance(1_000)
    assert not thin_balancer.uploads.is_full()


def test_other_routes_are_placed_while_uploads_fill_the_link(
    thin_balancer: BalancerFlows,
) -> None:
    open_uploads(thin_balancer, 3)
    opening = make_packet(5_000, GAUGING, opening=True)
    assert not has_reset(thin_balancer.handle_packet(opening))


def test_a_copy_of_an_accepted_opening_is_not_refused(
    thin_balancer: BalancerFlows,
) -> None:
    open_uploads(thin_balancer, 3)
    copy = make_packet(4_001, REPORTING, opening=True, acknowledged=1)
    assert not has_reset(thin_balancer.handle_packet(copy))


@pytest.mark.parametrize("link_mbps", [1, 5, 10, 100, 1_000])
def test_windows_of_accepted_uploads_pass_the_link_within_the_resend_time(
    clock: ManualClock, link_mbps: int
) -> None:
    limit = UploadAdmission(clock, link_mbps).limit
    pass_ms = 2 * limit * CALLER_WINDOW_BYTES / (link_mbps * 125)
    assert limit == 1 or pass_ms <= CALLER_RESEND_MS


def transfer(limit: int, arrivals_ms: deque[int]) -> tuple[int, int]:
    """Transfer uploads over a thin link shared by both directions.

    Callers send a window again that is not acknowledged within the resend time.
    Returns the uploads that took less than a second, and the refused ones.
    """
    bytes_per_ms = THIN_LINK_MBPS * 125
    active: dict[int, tuple[int, int]] = {}
    link: deque[tuple[int, int]] = deque()
    in_time = refused = sent_ms = 0
    for now_ms in range(30_000):
        while arrivals_ms and arrivals_ms[0] <= now_ms:
            arrived_ms = arrivals_ms.popleft()
            if len(active) >= limit:
                refused += 1
                continue
            active[arrived_ms] = (UPLOAD_BYTES, now_ms)
            link.append((arrived_ms, 2 * CALLER_WINDOW_BYTES))
        for key, (left, window_ms) in active.items():
            if now_ms - window_ms >= CALLER_RESEND_MS:
                link.append((key, 2 * CALLER_WINDOW_BYTES))
                active[key] = (left, now_ms)
        sent_ms += bytes_per_ms
        while link and sent_ms >= link[0][1]:
            key, size = link.popleft()
            sent_ms -= size
            if key not in active:
                continue
            left = active[key][0] - CALLER_WINDOW_BYTES
            if left > 0:
                active[key] = (left, now_ms)
                link.append((key, 2 * CALLER_WINDOW_BYTES))
                continue
            del active[key]
            in_time += now_ms - key <= 1_000
        sent_ms = min(sent_ms, bytes_per_ms) if not link else sent_ms
    return in_time, refused


def test_the_limit_keeps_a_crowded_thin_link_useful(clock: ManualClock) -> None:
    # Twelve callers come at once, then three a second: 80% of the link.
    def make_arrivals() -> deque[int]:
        crowd = range(12)
        return deque([*crowd, *range(1_000, 25_000, 333)])

    limit = UploadAdmission(clock, THIN_LINK_MBPS).limit
    in_time, refused = transfer(limit, make_arrivals())
    in_time_without, _ = transfer(1_000, make_arrivals())
    assert in_time_without < 0.2 * len(make_arrivals())
    assert in_time > 0.8 * len(make_arrivals())
    assert in_time + refused >= 0.95 * len(make_arrivals())
