"""Plays the faults of a run: what happens to processes, links, store and servers."""

import signal
import time
from typing import TYPE_CHECKING

import trio

from citronwinch.coordination import Endpoint
from citronwinch.platform.standins import FlowOutcome, StoreFault
from citronwinch.soak._checks import LEAVE_LIMIT_S
from citronwinch.soak._faults import Fault, FaultKind
from citronwinch.soak._link import LinkFault
from citronwinch.soak._services import EDITED_PORT, SERVICES

if TYPE_CHECKING:
    from citronwinch.soak._run import Soak

EDIT_LIMIT_S = 3.0
"""How long after an edit it must be in force everywhere, in seconds."""

PROBES = 15
"""The flows that are opened to see whether a leaving server gets any; three for each
server of the larger service."""

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
    FaultKind.LINK_DOUBLE: LinkFault.DOUBLE,
    FaultKind.LINK_CUT: LinkFault.CUT,
}


async def play_fault(soak: "Soak", fault: Fault) -> None:
    """Let a fault of a run begin at its time, and end."""
    await trio.sleep(fault.at_s)
    kind = fault.kind
    if kind in _STORE_FAULTS:
        await _break_store(soak, fault)
    elif kind in _LINK_FAULTS:
        await _break_link(soak, fault)
    elif kind is FaultKind.EDIT:
        await _edit(soak)
    elif kind is FaultKind.SERVER_LEAVES:
        await _let_server_leave(soak, fault)
    else:
        await _signal(soak, fault)


async def _break_store(soak: "Soak", fault: Fault) -> None:
    soak.store.fault = _STORE_FAULTS[fault.kind]
    with trio.move_on_after(fault.for_s):
        while True:
            soak.store_failed_s = time.monotonic()
            await trio.sleep(0.05)
    soak.store.fault = StoreFault.NONE


async def _break_link(soak: "Soak", fault: Fault) -> None:
    link = soak.links[fault.target % len(soak.links)]
    link.fault = _LINK_FAULTS[fault.kind]
    with trio.move_on_after(fault.for_s):
        while True:
            soak.disturbed_s = time.monotonic()
            await trio.sleep(0.05)
    link.fault = LinkFault.NONE


async def _signal(soak: "Soak", fault: Fault) -> None:
    _, _, target = fault.kind.value.partition(" ")
    roles = ["balancer", "agent"] if target == "all" else [target]
    names = [name for role in roles for name in soak.fleet.list_names(role)]
    if target != "all":
        names = [names[fault.target % len(names)]]
    if fault.kind is not FaultKind.RELOAD_BALANCER:
        soak.disturbed_s = time.monotonic()
    for name in names:
        if "pause" in fault.kind.value:
            soak.fleet.signal(name, signal.SIGSTOP)
        elif "reload" in fault.kind.value:
            soak.fleet.signal(name, signal.SIGHUP)
        else:
            is_stop = "stop" in fault.kind.value
            number = signal.SIGTERM if is_stop else signal.SIGKILL
            soak.fleet.signal(name, number)
    if "pause" in fault.kind.value:
        await trio.sleep(fault.for_s)
        soak.fleet.signal(names[0], signal.SIGCONT)
        soak.disturbed_s = time.monotonic()


async def _edit(soak: "Soak") -> None:
    """Add a route and drop the one that was added before; look at both later."""
    dropped = list(soak.added)
    soak.version += soak.rng.randint(1, 4)
    port = EDITED_PORT + soak.version
    address = Endpoint("198.18.0.3", port)
    soak.added = {address: time.monotonic()}
    soak.write_configuration()
    edited_s = time.monotonic()
    await trio.sleep(EDIT_LIMIT_S)
    is_newest = address in soak.added
    outcome = await soak.caller.open(soak.take_port(), address)
    old = [await soak.caller.open(soak.take_port(), each) for each in dropped]
    if edited_s <= max(soak.store_failed_s, soak.disturbed_s) or not is_newest:
        return
    if outcome is FlowOutcome.RESET:
        soak.seen.stale_refusals.append(f"{address} of version {soak.version}")
    if FlowOutcome.DONE in old:
        soak.seen.stale_service.append(f"{dropped} after version {soak.version}")


async def _let_server_leave(soak: "Soak", fault: Fault) -> None:
    """Start a server, let another one of its service leave, and end that one."""
    staying = [number for number in soak.services if number not in soak.leaving]
    number = staying[fault.target % len(staying)]
    soak.add_server(max(soak.servers) + 1, soak.services[number])
    soak.write_server(number, "draining")
    soak.leaving[number] = time.monotonic()
    await trio.sleep(LEAVE_LIMIT_S + 0.3)
    await _probe(soak, SERVICES[soak.services[number]])
    soak.store.delete(f"servers/{soak.servers[number].name}")
    soak.scopes[number].cancel()
    soak.servers[number].flows.clear()
    soak.fleet.remove(f"agent-{number}")


async def _probe(soak: "Soak", address: Endpoint) -> None:
    """Open flows now, so that a server that should get none is noticed."""
    for _ in range(PROBES):
        port = soak.take_port()
        if await soak.open(port, address) is FlowOutcome.DONE:
            soak.caller.close(port, address)
