"""Tests that the platform's templates are valid and that problems name their place."""

import re
from pathlib import Path
from typing import Any

import pytest

from citronwinch.coordination import Endpoint, InstanceRole
from citronwinch.forwarder import parse_forwarder_settings
from citronwinch.forwarder.tests.conftest import make_balancer
from citronwinch.launch import bind_early

TEMPLATES = Path(__file__).parents[2] / "platform"

VALUES = {
    "node_name": "edge-a-1",
    "zone": "tas-south-a",
    "bootstrap": "true",
    "ip": "10.1.0.10",
    "port_range": "7720,7735",
    "listen_addrs.ready": "10.1.0.10:8167",
    "listen_addrs.datagram_addr": "10.1.0.10:8172",
    "listen_addrs.outbound": "10.1.0.10:8162",
    "seed_nodes": "10.1.0.10:8166,10.2.0.40:8166",
    "platform.address": "10.200.1.7:8169",
    "bounds.grace_s": "6",
    "limits.bandwidth_mbps": "5.2",
    "service": "huvo11a",
    "app": "10.1.0.10:8165",
}


def fill_template(name: str) -> str:
    template = (TEMPLATES / f"{name}.ini.template").read_text()
    return re.sub(r"{{([a-z_.]+)}}", lambda match: VALUES[match[1]], template)


@pytest.mark.parametrize("role", ["balancer", "agent"])
def test_a_filled_template_is_valid(role: str) -> None:
    settings = parse_forwarder_settings(fill_template(role), "local.ini").ok
    assert settings.role is InstanceRole(role)
    assert settings.peer_port == 7720
    assert settings.is_first_start


def test_balancer_settings_have_the_seeds_and_the_store() -> None:
    settings = parse_forwarder_settings(fill_template("balancer"), "local.ini").ok
    assert [seed.ip for seed in settings.seeds] == ["10.1.0.10", "10.2.0.40"]
    assert settings.store_address == Endpoint("10.200.1.7", 8169)


@pytest.mark.parametrize(
    ("role", "old", "new", "place"),
    [
        ("balancer", "ip = 10.1.0.10", "ip = here", "[listen] ip"),
        ("balancer", "peer_ports = 7720,7735", "peer_ports = x", "[listen] peer_ports"),
        ("balancer", "first_start = true", "first_start = 1", "[instance] first_start"),
        ("balancer", "address = 10.200.1.7:8169", "", "[store] address"),
        ("balancer", "link_mbps = 5.2", "link_mbps = fast", "[limits] link_mbps"),
        ("balancer", "link_mbps = 5.2", "link_mbps = nan", "[limits] link_mbps"),
        ("balancer", "link_mbps = 5.2", "link_mbps = -1", "[limits] link_mbps"),
        ("balancer", "timeout_s = 6", "timeout_s = soon", "[stop] timeout_s"),
        ("balancer", "timeout_s = 6", "timeout_s = -1", "[stop] timeout_s"),
        ("agent", "timeout_s = 6", "timeout_s = nan", "[stop] timeout_s"),
        ("agent", "timeout_s = 6", "timeout_s = inf", "[stop] timeout_s"),
        ("agent", "service = huvo11a", "", "[server] service"),
        ("agent", "role = agent", "role = judge", "[instance] role"),
        ("agent", "timeout_s = 6", "timeout_s = 6\nspeed = 9", "[stop] speed"),
    ],
)
def test_a_problem_is_reported_with_its_place(
    role: str, old: str, new: str, place: str
) -> None:
    text = fill_template(role)
    assert old in text
    problems = parse_forwarder_settings(text.replace(old, new), "local.ini").error
    assert [problem.place for problem in problems] == [place]
    assert problems[0].expected


def test_sockets_are_bound_before_the_settings_are_validated() -> None:
    text = fill_template("agent").replace("10.1.0.10", "127.111.0.9")
    sockets = bind_early(text)
    assert set(sockets) == {("127.111.0.9", 7720), ("127.111.0.9", 8162)}
    for bound in sockets.values():
        bound.close()


@pytest.mark.parametrize(
    ("stated", "link_mbps"), [("5.2", 5), ("0.3", 1), ("1000.0", 1_000), ("", 1_000)]
)
def test_link_bandwidth_is_rounded_to_whole_megabits(
    stated: str, link_mbps: int
) -> None:
    text = fill_template("balancer").replace("link_mbps = 5.2", f"link_mbps = {stated}")
    assert parse_forwarder_settings(text, "local.ini").ok.link_mbps == link_mbps


# With 6.5 seconds, which the platform may state, no process started any more.
@pytest.mark.parametrize("role", ["balancer", "agent"])
@pytest.mark.parametrize(
    ("stated", "timeout_ms"),
    [
        ("6", 6_000),
        ("6.0", 6_000),
        ("6.5", 6_500),
        ("0.25", 250),
        ("1e1", 10_000),
        ("0", 0),
        ("86400", 3_600_000),
    ],
)
def test_the_stop_timeout_may_be_any_number_of_seconds(
    role: str, stated: str, timeout_ms: int
) -> None:
    text = fill_template(role).replace("timeout_s = 6", f"timeout_s = {stated}")
    settings = parse_forwarder_settings(text, "local.ini").ok
    assert settings.stop_timeout_ms == timeout_ms


def test_a_changed_stop_timeout_bounds_how_long_silent_agents_are_waited_for(
    open_sockets: Any,
) -> None:
    process = make_balancer(open_sockets, "127.95.0.12")
    before_ms = process.view.former.agent_restart_ms
    longer_ms = process.settings.stop_timeout_ms + 3_500
    process.apply_settings(process.settings._replace(stop_timeout_ms=longer_ms))
    assert process.view.former.agent_restart_ms == before_ms + 3_500


@pytest.mark.parametrize(
    "text",
    [
        "",
        "no section",
        "[listen]\nip = x\npeer_ports = 1",
        "[listen]\nip = x\npeer_ports = 1\npackets = x:2",
        "[listen]\nip = 127.0.0.1\npeer_ports = 70000\npackets = 127.0.0.1:70000",
        "; [listen]\n[listen]\n# ip = 127.0.0.1\npeer_ports = 1\npackets = x:1",
    ],
)
def test_invalid_settings_bind_no_sockets(text: str) -> None:
    assert bind_early(text) == {}
