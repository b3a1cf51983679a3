"""Evacuates a zone in a run, and records the openings that reach it nevertheless."""

import time
from typing import TYPE_CHECKING

import trio

from citronwinch.coordination import FlowKey
from citronwinch.soak._checks import EVACUATION_EFFECT_LIMIT_S
from citronwinch.soak._faults import Fault
from citronwinch.soak._probe_flows import open_probe_flows
from citronwinch.soak._services import SERVICES

if TYPE_CHECKING:
    from citronwinch.soak._run import Soak

ZONES = "ab"
"""The availability zones of a run."""

PROBE_DELAY_S = 0.3
"""How long after the limit flows are opened to check the evacuation, in seconds."""


async def evacuate_zone(soak: "Soak", fault: Fault) -> None:
    """Evacuate a zone until the limit has passed and the fault's duration as well.

    While a zone is evacuated a further fault has no effect, since the services would
    have no backend server left.
    """
    if soak.evacuated_since_s:
        return
    zone = ZONES[fault.target_index % len(ZONES)]
    soak.store.evacuate_zone(zone)
    soak.evacuated_since_s[zone] = time.monotonic()
    await trio.sleep(EVACUATION_EFFECT_LIMIT_S + PROBE_DELAY_S)
    for address in SERVICES.values():
        await open_probe_flows(soak, address)
    await trio.sleep(fault.duration_s)
    del soak.evacuated_since_s[zone]
    soak.store.restore_zone(zone)


def rewrite_evacuations(soak: "Soak") -> None:
    """Write the requests again that a restored copy of the store may lack."""
    for zone in ZONES:
        if zone in soak.evacuated_since_s:
            soak.store.evacuate_zone(zone)
        else:
            soak.store.restore_zone(zone)


def record_evacuated_opening(soak: "Soak", key: FlowKey, opened_s: float) -> None:
    """Record a flow that is at a backend server of an evacuated zone."""
    last_disruption_s = max(soak.last_store_fault_s, soak.last_disruption_s)
    for number, server in soak.servers.items():
        requested_s = soak.evacuated_since_s.get(ZONES[number % len(ZONES)])
        if requested_s is None or key not in server.flows:
            continue
        if requested_s > last_disruption_s:
            text = f"{server.name} took the flow {key.hex()}"
            soak.observations.openings_at_evacuated_servers.append(
                (text, opened_s - requested_s)
            )
