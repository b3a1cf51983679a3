"""The events of which the search over small fleets makes sequences."""

from collections.abc import Callable, Iterable, Sequence
from functools import partial
from typing import NamedTuple

from citronwinch.coordination.flows.tests.small_fleet import (
    BrokenPromiseError,
    Disturbance,
    SmallFleet,
)
from citronwinch.coordination.flows.tests.small_fleet_balancer import BalancerProcess
from citronwinch.coordination.flows.tests.small_fleet_processes import (
    AGENT_STOP_MS,
    BALANCER_STOP_MS,
    AgentProcess,
)

LOSS_MS = 3_000
LATE_MS = 400
START_CHECK_MS = 50
EXPIRY_OF_ENTRY_MS = 3_000
"""How long the listing still has a server that has died, in milliseconds."""

Apply = Callable[[SmallFleet], None]


class FleetEvent(NamedTuple):
    """An event, and how long after the previous one it comes."""

    after_ms: int
    name: str


def play(
    events: Iterable[FleetEvent],
    balancers: int = 2,
    servers: int = 3,
    *,
    has_seeds: bool = True,
) -> str | None:
    """Play events; return which promise was broken and when, None if none was."""
    fleet = SmallFleet(balancers, servers, has_seeds=has_seeds)
    began_ms = fleet.clock.now_ms()
    try:
        for event in events:
            fleet.run(event.after_ms)
            EVENTS[event.name](fleet)
        fleet.run_to_the_end()
    except BrokenPromiseError as error:
        return f"{fleet.clock.now_ms() - began_ms} ms: {error}"
    return None


def describe(events: Sequence[FleetEvent], outcome: str | None) -> str:
    """Return events with their times, and the broken promise, as a short list."""
    lines, at_ms = [], 0
    for event in events:
        at_ms += event.after_ms
        lines.append(f"{at_ms} ms: {event.name}")
    return "\n".join([*lines, outcome or "no promise was broken"])


def _get_spare(fleet: SmallFleet) -> BalancerProcess:
    """Return the balancer to which the flow's packets are not routed."""
    ip = next(ip for ip in fleet.balancers if ip != fleet.routed)
    return _get_balancer(fleet, ip)


def _get_balancer(fleet: SmallFleet, ip: str) -> BalancerProcess:
    balancer = fleet.processes[ip]
    assert isinstance(balancer, BalancerProcess)
    return balancer


def _get_routed(fleet: SmallFleet) -> BalancerProcess:
    return _get_balancer(fleet, fleet.routed)


def _move(fleet: SmallFleet) -> None:
    for ip in fleet.balancers:
        if ip != fleet.routed and fleet.processes[ip].is_running:
            fleet.routed = ip
            return


def _start_balancer(fleet: SmallFleet, balancer: BalancerProcess) -> None:
    """Start a balancer; the routers move the flow to it once it is ready."""
    if balancer.is_stopping and balancer.is_running:
        fleet.schedule(START_CHECK_MS, lambda: _start_balancer(fleet, balancer))
        return
    balancer.start()
    _route_when_ready(fleet, balancer)


def _route_when_ready(fleet: SmallFleet, balancer: BalancerProcess) -> None:
    if not balancer.is_running or balancer.is_stopping:
        return
    if balancer.view.is_complete:
        fleet.routed = balancer.ip
    else:
        fleet.schedule(START_CHECK_MS, lambda: _route_when_ready(fleet, balancer))


def _kill_balancer(get: Callable[[SmallFleet], BalancerProcess], down_ms: int) -> Apply:
    def apply(fleet: SmallFleet) -> None:
        balancer = get(fleet)
        if not balancer.is_running:
            return
        balancer.kill()
        if balancer.ip == fleet.routed:
            _move(fleet)
        fleet.extend_faults(down_ms)
        fleet.schedule(down_ms, lambda: _start_balancer(fleet, balancer))

    return apply


def _is_ready(balancer: BalancerProcess) -> bool:
    is_serving = balancer.is_running and not balancer.is_stopping
    return is_serving and balancer.view.is_complete


def _restart_balancer(get: Callable[[SmallFleet], BalancerProcess]) -> Apply:
    """Return a restart by planned work, which does not stop the last ready balancer."""

    def apply(fleet: SmallFleet) -> None:
        balancer = get(fleet)
        others = [_get_balancer(fleet, ip) for ip in fleet.balancers]
        others.remove(balancer)
        if not balancer.is_running or balancer.is_stopping:
            return
        if not any(_is_ready(other) for other in others):
            return
        balancer.stop(BALANCER_STOP_MS)
        if balancer.ip == fleet.routed:
            fleet.schedule(BALANCER_STOP_MS // 2, lambda: _move(fleet))
        down_ms = BALANCER_STOP_MS + 500
        fleet.extend_faults(down_ms, is_planned=True)
        fleet.schedule(down_ms, lambda: _start_balancer(fleet, balancer))

    return apply


def _pause_balancer(get: Callable[[SmallFleet], BalancerProcess]) -> Apply:
    def apply(fleet: SmallFleet) -> None:
        balancer = get(fleet)
        balancer.paused_until_ms = fleet.clock.now_ms() + LOSS_MS
        fleet.extend_faults(LOSS_MS)
        if balancer.ip == fleet.routed:
            _move(fleet)

    return apply


def _get_holder(fleet: SmallFleet) -> AgentProcess:
    return fleet.holder


def _get_other(fleet: SmallFleet) -> AgentProcess:
    return fleet.other


def _kill_agent(get: Callable[[SmallFleet], AgentProcess], down_ms: int) -> Apply:
    def apply(fleet: SmallFleet) -> None:
        agent = get(fleet)
        if agent.is_running:
            agent.kill()
            agent.record_unplanned(down_ms)
            fleet.extend_faults(down_ms)
            fleet.schedule(down_ms, lambda: _start_agent(fleet, agent))

    return apply


def _restart_agent(get: Callable[[SmallFleet], AgentProcess], down_ms: int) -> Apply:
    def apply(fleet: SmallFleet) -> None:
        agent = get(fleet)
        if agent.is_running and not agent.is_stopping:
            agent.stop(AGENT_STOP_MS)
            fleet.extend_faults(AGENT_STOP_MS + down_ms, is_planned=True)
            fleet.schedule(AGENT_STOP_MS + down_ms, lambda: _start_agent(fleet, agent))

    return apply


def _start_agent(fleet: SmallFleet, agent: AgentProcess) -> None:
    if agent.is_running and agent.is_stopping:
        fleet.schedule(START_CHECK_MS, lambda: _start_agent(fleet, agent))
    elif not agent.is_gone:
        agent.start()


def _pause_agent(fleet: SmallFleet) -> None:
    if not fleet.holder.is_running:
        return
    fleet.holder.paused_until_ms = fleet.clock.now_ms() + 1_500
    fleet.holder.record_unplanned(1_500)
    fleet.extend_faults(1_500)


def _delist(fleet: SmallFleet) -> None:
    if fleet.listed.pop(fleet.holder.server.name, None) is not None:
        fleet.revision += 1


def _list_again(fleet: SmallFleet) -> None:
    server = fleet.holder.server
    if fleet.holder.lives and server.name not in fleet.listed:
        fleet.listed[server.name] = server
        fleet.revision += 1


def _end_server(fleet: SmallFleet) -> None:
    """Let the backend server die; its entry leaves the listing some time later."""
    fleet.holder.lives = fleet.holder.holds_flow = False
    fleet.extend_faults(EXPIRY_OF_ENTRY_MS)
    fleet.schedule(EXPIRY_OF_ENTRY_MS, lambda: _delist(fleet))


def _end_instance(fleet: SmallFleet) -> None:
    _end_server(fleet)
    fleet.holder.is_gone = True
    fleet.holder.kill()


def _end_server_and_agent(fleet: SmallFleet) -> None:
    """Let an instance be removed: its server exits, then its agent is stopped."""
    _end_server(fleet)
    fleet.holder.is_gone = True
    if fleet.holder.is_running:
        fleet.schedule(200, lambda: fleet.holder.stop(AGENT_STOP_MS))


def _disturb(
    kind: str,
    find_ips: Callable[[SmallFleet], tuple[str, str]],
    delay_ms: int = 0,
) -> Apply:
    def apply(fleet: SmallFleet) -> None:
        until_ms = fleet.clock.now_ms() + LOSS_MS
        ips = frozenset(find_ips(fleet))
        fleet.disturbances.append(Disturbance(ips, kind, until_ms, delay_ms))
        fleet.extend_faults(LOSS_MS)

    return apply


def _find_routed_and_holder(fleet: SmallFleet) -> tuple[str, str]:
    return fleet.routed, fleet.holder.ip


def _find_spare_and_holder(fleet: SmallFleet) -> tuple[str, str]:
    return _get_spare(fleet).ip, fleet.holder.ip


def _find_balancers(fleet: SmallFleet) -> tuple[str, str]:
    return fleet.routed, _get_spare(fleet).ip


def _find_routed_and_store(fleet: SmallFleet) -> tuple[str, str]:
    return fleet.routed, fleet.STORE_IP


def _find_spare_and_store(fleet: SmallFleet) -> tuple[str, str]:
    return _get_spare(fleet).ip, fleet.STORE_IP


def _cut_spare_from_views(fleet: SmallFleet) -> None:
    """Let a balancer get no listing, neither from the store nor from the other one."""
    _disturb("listing", _find_spare_and_store)(fleet)
    _disturb("fetch", _find_balancers)(fleet)


def _stop_store(fleet: SmallFleet) -> None:
    """Let no balancer get a listing from the store."""
    _disturb("listing", _find_routed_and_store)(fleet)
    for ip in fleet.balancers:
        if ip != fleet.routed:
            _disturb("listing", partial(_find_ip_and_store, ip))(fleet)


def _find_ip_and_store(ip: str, fleet: SmallFleet) -> tuple[str, str]:
    return ip, fleet.STORE_IP


EVENTS: dict[str, Apply] = {
    "packets move to another balancer": _move,
    "the flow's balancer is killed for 700 ms": _kill_balancer(_get_routed, 700),
    "the other balancer is killed for 700 ms": _kill_balancer(_get_spare, 700),
    "the flow's balancer is restarted in turn": _restart_balancer(_get_routed),
    "the other balancer is restarted in turn": _restart_balancer(_get_spare),
    "the flow's balancer is paused for 3,000 ms": _pause_balancer(_get_routed),
    "the other balancer is paused for 3,000 ms": _pause_balancer(_get_spare),
    "the holder's agent is restarted in turn for 500 ms": _restart_agent(
        _get_holder, 500
    ),
    "the holder's agent is restarted in turn for 3,000 ms": _restart_agent(
        _get_holder, 3_000
    ),
    "the holder's agent is killed for 3,000 ms": _kill_agent(_get_holder, 3_000),
    "the holder's agent is killed for 7,000 ms": _kill_agent(_get_holder, 7_000),
    "the holder's agent is paused for 1,500 ms": _pause_agent,
    "another agent is restarted in turn for 500 ms": _restart_agent(_get_other, 500),
    "another agent is killed for 3,000 ms": _kill_agent(_get_other, 3_000),
    "the holder leaves the listing": _delist,
    "the holder is listed again": _list_again,
    "the holder dies": _end_server,
    "the holder's instance dies": _end_instance,
    "the holder's instance is removed": _end_server_and_agent,
    "questions to the holder's agent are lost": _disturb(
        "questions", _find_routed_and_holder
    ),
    "questions to the holder's agent are late": _disturb(
        "questions", _find_routed_and_holder, LATE_MS
    ),
    "packets to the holder's agent are lost": _disturb(
        "packets", _find_routed_and_holder
    ),
    "heartbeats to the holder's agent are lost": _disturb(
        "heartbeats", _find_routed_and_holder
    ),
    "heartbeats of the other balancer to the holder's agent are lost": _disturb(
        "heartbeats", _find_spare_and_holder
    ),
    "heartbeats between balancers are lost": _disturb("heartbeats", _find_balancers),
    "lookups between balancers are lost": _disturb("lookups", _find_balancers),
    "fetches between balancers fail": _disturb("fetch", _find_balancers),
    "the flow's balancer reads no listing": _disturb("listing", _find_routed_and_store),
    "the store answers nobody": _stop_store,
    "the other balancer gets no listing": _cut_spare_from_views,
}
"""What happens to the fleet, by the text that lists it."""
