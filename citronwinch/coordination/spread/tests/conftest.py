"""Shared values of the tests of membership and table dissemination."""

import random

import pytest

from citronwinch.coordination import (
    Endpoint,
    Instance,
    InstanceRole,
    ManualClock,
    TableRow,
    TransportProtocol,
)


def make_row(server, service="gauging", weight=100):
    return TableRow(
        service,
        TransportProtocol.UDP,
        Endpoint(f"192.0.2.{sum(service.encode()) % 250 + 1}", 5_000),
        server,
        Endpoint("198.51.100.1", 1_000 + int(server.rpartition("-")[2])),
        "a",
        weight,
        2_000,
    )


def make_instance(name, zone="a", region="r", role=InstanceRole.BALANCER):
    return Instance(name, role, zone, Endpoint("192.0.2.1", 7_000), region=region)


@pytest.fixture
def clock():
    return ManualClock(1_000)


@pytest.fixture
def rng():
    return random.Random(1)
