"""Injects the faults of a run into processes, links, the store and backend servers."""

import signal
import time
from typing import TYPE_CHECKING

import trio

from citronwinch.coordination import Endpoint
from citronwinch.platform.standins import DEAF_PERIOD_MS, FlowOutcome, StoreFault
from citronwinch.soak._evacuation import evacuate_zone, rewrite_evacuations
from citronwinch.soak._faults import MESSAGE_FAULT_KINDS, Fault, FaultKind
from citronwinch.soak._foreign_entries import write_foreign_entries
from citronwinch.soak._leaving_servers import release_in_turn, replace_server
from citronwinch.soak._link import LinkFault
from citronwinch.soak._message_faults import disturb_messages
from citronwinch.soak._services import ADDED_ROUTE_BASE_PORT

if TYPE_CHECKING:
    from citronwinch.soak._run import Soak

EDIT_EFFECT_LIMIT_S = 3.0
"""How long balancers may take to apply an edit, in seconds."""

RESTORE_AWAY_S = 0.5
"""How long the store is away before it comes back from a copy, in seconds."""

REWRITE_DELAY_S = 1.0
"""How long after that the lost data is written again, in seconds."""

STORE_AWAY_BEFORE_KILL_S = 0.5
"""How long the store is silent before all balancers are killed, in seconds."""

ENTRY_EXPIRY_S = 2.5
"""How long after that the entries of servers that are gone expire, in seconds."""

_STORE_FAULTS = {
    FaultKind.STORE_BUSY: StoreFault.BUSY,
    FaultKind.STORE_SILENT: StoreFault.SILENT,
    FaultKind.STORE_CUT: StoreFault.CUT,
    FaultKind.STORE_MALFORMED: StoreFault.MALFORMED,
    FaultKind.STORE_FORGETFUL: StoreFault.FORGETFUL,
}


_LINK_FAULTS = {
    FaultKind.LINK_LOSS: LinkFault.LOSS,
    FaultKind.LINK_DELAY: LinkFault.DELAY,
    FaultKind.LINK_DUPLICATE: LinkFault.DUPLICATE,
    FaultKind.LINK_CUT: LinkFault.CUT,
}


async def inject_fault(soak: "Soak", fault: Fault) -> None:
    """Start a fault at its scheduled time, and end it after its duration."""
    await trio.sleep(fault.start_s)
    kind = fault.kind
    if kind in _STORE_FAULTS:
        await _inject_store_fault(soak, fault)
    elif kind in _LINK_FAULTS:
        await _inject_link_fault(soak, fault)
    elif kind is FaultKind.EDIT:
        await _edit_routes(soak)
    elif kind is FaultKind.SERVER_LEAVES:
        await replace_server(soak, fault)
    elif kind is FaultKind.RELEASE_IN_TURN:
        await release_in_turn(soak, fault)
    elif kind in MESSAGE_FAULT_KINDS:
        await disturb_messages(soak, fault)
    elif kind is FaultKind.STORE_RESTORED:
        await _restore_store(soak, fault)
    elif kind is FaultKind.STORE_HISTORY_DROPPED:
        await _drop_store_history(soak)
    elif kind is FaultKind.JOIN_BALANCER:
        soak.add_balancer(max(soak.balancer_numbers) + 1)
    elif kind is FaultKind.EVACUATION:
        await evacuate_zone(soak, fault)
    elif kind is FaultKind.FOREIGN_ENTRIES:
        await write_foreign_entries(soak, fault)
    elif kind is FaultKind.BALANCERS_KILLED_STORE_AWAY:
        await _kill_balancers_without_store(soak, fault)
    else:
        await _signal_instances(soak, fault)


async def _inject_store_fault(soak: "Soak", fault: Fault) -> None:
    """Set the fault of the store, and keep the time of the last fault up to date."""
    await _disrupt_store(soak, _STORE_FAULTS[fault.kind], fault.duration_s)


async def _disrupt_store(soak: "Soak", store_fault: StoreFault, seconds: float) -> None:
    soak.store.fault = store_fault
    with trio.move_on_after(seconds):
        while True:
            soak.last_store_fault_s = time.monotonic()
            await trio.sleep(0.05)
    soak.store.fault = StoreFault.NONE


async def _kill_balancers_without_store(soak: "Soak", fault: Fault) -> None:
    """Kill all balancers while the store is silent; agents and servers live on."""
    seconds = STORE_AWAY_BEFORE_KILL_S + fault.duration_s
    soak.nursery.start_soon(_disrupt_store, soak, StoreFault.SILENT, seconds)
    await trio.sleep(STORE_AWAY_BEFORE_KILL_S)
    soak.last_disruption_s = time.monotonic()
    for name in soak.fleet.list_names("balancer"):
        soak.fleet.signal(name, signal.SIGKILL)


async def _restore_store(soak: "Soak", fault: Fault) -> None:
    """Let the store be away for a moment and come back from a copy some seconds old.

    The copy is older by the fault's duration. The operators and the backend servers
    write again what is lost; entries of servers that are gone expire.
    """
    lasting = soak.nursery.start_soon
    lasting(_mark_store_faulty, soak, RESTORE_AWAY_S + REWRITE_DELAY_S + ENTRY_EXPIRY_S)
    soak.store.fault = StoreFault.SILENT
    await trio.sleep(RESTORE_AWAY_S)
    soak.store.restore_copy(round(fault.duration_s * 1000))
    soak.store.fault = StoreFault.NONE
    await trio.sleep(REWRITE_DELAY_S)
    soak.write_configuration()
    rewrite_evacuations(soak)
    for number in soak.service_by_server:
        if number not in soak.gone_servers:
            is_draining = number in soak.draining_since_s
            soak.write_server(number, "draining" if is_draining else "ready")
    await trio.sleep(ENTRY_EXPIRY_S)
    for number in soak.gone_servers:
        soak.store.delete(f"servers/{soak.servers[number].name}")


async def _mark_store_faulty(soak: "Soak", seconds: float) -> None:
    with trio.move_on_after(seconds):
        while True:
            soak.last_store_fault_s = time.monotonic()
            await trio.sleep(0.05)


async def _drop_store_history(soak: "Soak") -> None:
    """Edit the configuration while watches hear nothing, and drop the history.

    The edit counts as made when the history is gone.
    """
    soak.nursery.start_soon(_mark_store_faulty, soak, DEAF_PERIOD_MS / 1000)
    soak.nursery.start_soon(soak.store.drop_history_after_deaf_period)
    await trio.sleep(DEAF_PERIOD_MS / 2000)
    await _edit_routes(soak)


async def _inject_link_fault(soak: "Soak", fault: Fault) -> None:
    """Set the fault of a link, and keep the time of the last disruption up to date."""
    link = soak.links[fault.target_index % len(soak.links)]
    link.fault = _LINK_FAULTS[fault.kind]
    with trio.move_on_after(fault.duration_s):
        while True:
            soak.last_disruption_s = time.monotonic()
            await trio.sleep(0.05)
    link.fault = LinkFault.NONE


async def _signal_instances(soak: "Soak", fault: Fault) -> None:
    """Pause, reload, stop or kill the process of one instance, or kill all processes.

    The value of such a fault kind is an action and a role, or an action and `all`.
    """
    _, _, role = fault.kind.value.partition(" ")
    roles = ["balancer", "agent"] if role == "all" else [role]
    names = [name for each_role in roles for name in soak.fleet.list_names(each_role)]
    if role != "all":
        names = [names[fault.target_index % len(names)]]
    if fault.kind is not FaultKind.RELOAD_BALANCER:
        soak.last_disruption_s = time.monotonic()
    for name in names:
        if "pause" in fault.kind.value:
            soak.fleet.signal(name, signal.SIGSTOP)
        elif "reload" in fault.kind.value:
            soak.fleet.signal(name, signal.SIGHUP)
        else:
            is_stop = "stop" in fault.kind.value
            signal_number = signal.SIGTERM if is_stop else signal.SIGKILL
            soak.fleet.signal(name, signal_number)
    if "pause" in fault.kind.value:
        await trio.sleep(fault.duration_s)
        soak.fleet.signal(names[0], signal.SIGCONT)
        soak.last_disruption_s = time.monotonic()


async def _edit_routes(soak: "Soak") -> None:
    """Add a route, remove the previously added one, and check that both took effect.

    After EDIT_EFFECT_LIMIT_S, the address of the new route must not reset a flow, and
    that of the removed route must not accept one. Nothing is recorded if the store, a
    link or a process was disrupted after the edit, or if a later edit has removed the
    new route.
    """
    removed_addresses = list(soak.added)
    soak.configuration_version += soak.rng.randint(1, 4)
    port = ADDED_ROUTE_BASE_PORT + soak.configuration_version
    address = Endpoint("198.18.0.3", port)
    soak.added = {address: time.monotonic()}
    soak.write_configuration()
    edited_s = time.monotonic()
    await trio.sleep(EDIT_EFFECT_LIMIT_S)
    is_still_routed = address in soak.added
    added_outcome = await soak.caller.open(soak.allocate_port(), address)
    removed_outcomes = [
        await soak.caller.open(soak.allocate_port(), removed_address)
        for removed_address in removed_addresses
    ]
    if (
        edited_s <= max(soak.last_store_fault_s, soak.last_disruption_s)
        or not is_still_routed
    ):
        return
    if added_outcome is FlowOutcome.RESET:
        soak.observations.refused_new_routes.append(
            f"{address} of version {soak.configuration_version}"
        )
    if FlowOutcome.DONE in removed_outcomes:
        soak.observations.served_removed_routes.append(
            f"{removed_addresses} after version {soak.configuration_version}"
        )
