"""Replaces backend servers, alone and amid restarts of agents and balancers in turn."""

import random
import signal
import time
from contextlib import suppress
from typing import TYPE_CHECKING

import trio

from citronwinch.coordination import Endpoint
from citronwinch.network import HttpError, fetch
from citronwinch.platform import READY_PATH
from citronwinch.soak._checks import DRAIN_EFFECT_LIMIT_S
from citronwinch.soak._faults import (
    MESSAGE_FAULT_KINDS,
    RECOVERY_PERIOD_S,
    Fault,
)
from citronwinch.soak._faulty_launch import ANY_BALANCER
from citronwinch.soak._fleet import READY_PORT
from citronwinch.soak._message_faults import apply_message_faults, make_message_faults
from citronwinch.soak._probe_flows import open_probe_flows
from citronwinch.soak._services import SERVICES

if TYPE_CHECKING:
    from citronwinch.soak._run import Soak

MIN_KEPT_FLOWS = 12
"""The least number of flows of each service that are opened before a release and used
throughout; one for each two servers if that is more."""

SERVERS_FOR_EACH_LEAVING = 10
"""A release replaces one server, or one of so many at the same time if that is more."""

BALANCER_GROUPS = 3
"""The number of groups in which balancers are stopped one after the other."""

OPENING_TIME_S = 0.5
"""How long before a release these flows are opened, in seconds."""

RELEASE_DRAIN_S = 1.0
"""How long a server of a release drains until its entry is deleted, in seconds."""

SERVING_WITHOUT_ENTRY_S = 8.0
"""How long it serves its open flows after that, in seconds."""

UNDISTURBED_END_S = RECOVERY_PERIOD_S - 2.0
"""How long before the end of the traffic such a server is gone at the latest, in
seconds."""

READY_LIMIT_S = 6.0
"""How long the next stop of a series waits for the process stopped before, in seconds.
"""

READINESS_TIMEOUT_MS = 300
"""How long an agent may take to answer whether it is ready, in milliseconds."""

KILLED_SHARE = 0.3
"""The share of restarts in a release for which an agent is killed."""


async def replace_server(soak: "Soak", fault: Fault) -> None:
    """Start a new backend server, drain an old one, and remove that one afterwards."""
    number = _begin_replacement(soak, fault.target_index)
    await trio.sleep(DRAIN_EFFECT_LIMIT_S + 0.3)
    await open_probe_flows(soak, SERVICES[soak.service_by_server[number]])
    soak.store.delete(f"servers/{soak.servers[number].name}")
    _end_server(soak, number)


def _begin_replacement(soak: "Soak", index: int) -> int:
    """Add a backend server, have another one drain, and return its number."""
    candidates = [
        number
        for number in soak.service_by_server
        if number not in soak.draining_since_s
    ]
    number = candidates[index % len(candidates)]
    soak.add_server(max(soak.servers) + 1, soak.service_by_server[number])
    soak.write_server(number, "draining")
    soak.draining_since_s[number] = time.monotonic()
    return number


def _end_server(soak: "Soak", number: int) -> None:
    """End a backend server, its flows and its agent."""
    soak.server_scopes[number].cancel()
    soak.servers[number].flows.clear()
    soak.gone_servers.add(number)
    soak.fleet.remove(f"agent-{number}")


async def release_in_turn(soak: "Soak", fault: Fault) -> None:
    """Replace servers that serve on without an entry, amid restarts in turn.

    Callers use their flows until a server is gone. Meanwhile balancers and agents are
    stopped one after the other, and messages of the servers' agents are lost or late.
    """
    rng = random.Random(f"{soak.seed} {fault.start_s}")
    servers = len(soak.servers)
    for service in SERVICES:
        soak.start_flows(service, max(MIN_KEPT_FLOWS, servers // 2), are_kept=True)
    await trio.sleep(OPENING_TIME_S)
    leaving = [
        _begin_replacement(soak, fault.target_index)
        for _ in range(max(1, servers // SERVERS_FOR_EACH_LEAVING))
    ]
    await trio.sleep(RELEASE_DRAIN_S)
    for number in leaving:
        soak.store.delete(f"servers/{soak.servers[number].name}")
    end_s = soak.traffic_started_s + soak.options.seconds - UNDISTURBED_END_S
    remaining_s = max(0.0, end_s - time.monotonic())
    with trio.move_on_after(min(SERVING_WITHOUT_ENTRY_S, remaining_s)):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_restart_balancers, soak, rng)
            for number in leaving:
                nursery.start_soon(_restart_agents, soak, number, rng)
                nursery.start_soon(_disturb_agent, soak, number, rng)
    for number in leaving:
        _end_server(soak, number)


async def _restart_balancers(soak: "Soak", rng: random.Random) -> None:
    """Stop one group of balancers after the other, once the last is ready again."""
    names = soak.fleet.list_names("balancer")
    rng.shuffle(names)
    for group in range(BALANCER_GROUPS):
        stopped = {
            name: soak.fleet.processes.get(name)
            for name in names[group::BALANCER_GROUPS]
        }
        for name in stopped:
            soak.fleet.signal(name, signal.SIGTERM)
        with trio.move_on_after(READY_LIMIT_S):
            for name, process in stopped.items():
                while soak.fleet.processes.get(name) in (process, None):
                    await trio.sleep(0.05)
                while not soak.is_in_rotation(name):
                    await trio.sleep(0.05)


async def _restart_agents(soak: "Soak", number: int, rng: random.Random) -> None:
    """Stop or kill agents in turn, every other time that of the leaving server.

    An agent is not stopped again before it has restarted.
    """
    leaving = f"agent-{number}"
    while True:
        others = [name for name in soak.fleet.list_names("agent") if name != leaving]
        for name in (leaving, rng.choice(others)):
            await trio.sleep(rng.uniform(0.2, 1.5))
            await _wait_for_agent(soak, name)
            soak.last_disruption_s = time.monotonic()
            is_killed = rng.random() < KILLED_SHARE
            soak.fleet.signal(name, signal.SIGKILL if is_killed else signal.SIGTERM)


async def _wait_for_agent(soak: "Soak", name: str) -> None:
    """Wait until an agent answers that it is ready, or its instance is removed."""
    status = 0
    while status != 200 and name in soak.fleet.instances:
        address = Endpoint(soak.fleet.instances[name].ip, READY_PORT)
        await trio.sleep(0.05)
        with suppress(HttpError):
            status = (await fetch(address, READY_PATH, READINESS_TIMEOUT_MS)).status


async def _disturb_agent(soak: "Soak", number: int, rng: random.Random) -> None:
    """Disturb the messages between an agent and all balancers, again and again."""
    kinds = list(MESSAGE_FAULT_KINDS)
    while True:
        await trio.sleep(rng.uniform(0.5, 4.0))
        faults = make_message_faults(
            rng.choice(kinds), soak.make_ip(number), ANY_BALANCER, rng
        )
        await apply_message_faults(soak, faults, rng.uniform(0.3, 1.5))
