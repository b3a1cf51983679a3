"""The backend servers that have left the listing and may still hold flows."""

from collections import Counter, deque
from collections.abc import Collection, Iterable
from enum import Enum
from typing import NamedTuple

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._deployment import BackendServer
from citronwinch.coordination.flows._former_knowledge import FORMER_RETENTION_MS
from citronwinch.coordination.flows._messages import DepartedServer

REMEMBERED_REMOVALS = 16
"""How many of the latest removals are kept for logs."""

MAX_CHECK_GAP_MS = 1_000
"""The longest time between two checks of the former servers in normal operation, in
milliseconds. After a longer gap this process has been paused itself, and the silence of
agents in that time says nothing about them."""

AGENT_START_MS = 4_000
"""How long the start of an agent may take, in milliseconds, also on a slow instance."""

DEFAULT_STOP_TIMEOUT_MS = 6_000
"""How long an agent that is stopped may go on, in milliseconds, if the settings do not
state it."""


STATED_SILENCE_MARGIN_MS = 500
"""How long the agent of a server that another balancer has stated as lost may still
answer this one, in milliseconds: a heartbeat to it, and a repeated one."""


class RemovalReason(Enum):
    """Why a former server is no longer a possible holder of flows."""

    AGENT_SILENT = "agent_silent"
    """Its agent has been silent for longer than a restart takes."""

    SERVER_ENDED = "server_ended"
    """Its agent said at its stop that the server had ended."""

    SERVER_UNREACHABLE = "server_unreachable"
    """Its agent does not reach the server either."""

    EXPIRED = "expired"
    """It left longer ago than a flow may last."""


class FormerServer(NamedTuple):
    """A backend server that is no longer listed."""

    server: BackendServer
    """Its last entry in the listing."""

    missing_since_ms: int
    """When the listing first lacked it."""

    probed_since_ms: int
    """From when on a silence of its agent counts, in milliseconds: since the agent was
    last heard, or since this process could have heard it. A balancer that has told of
    the server may have seen the silence begin before this process started."""


REVOCABLE_REASONS = (RemovalReason.AGENT_SILENT, RemovalReason.SERVER_UNREACHABLE)
"""The reasons that end when the agent is back, or reaches its server again."""


class LostServer(NamedTuple):
    """A former server that counts as lost."""

    former: FormerServer
    """The server as it was known before."""

    lost_ms: int
    """Since when it counts as lost, in milliseconds."""


class FormerRemoval(NamedTuple):
    """A former server that is not asked about flows any more."""

    server: BackendServer
    """Its last entry in the listing."""

    reason: RemovalReason
    """Why it was removed."""

    removed_ms: int
    """When it was removed, in milliseconds."""


class FormerServers(dict[str, FormerServer]):
    """The servers that have left the listing, by name.

    Example::

        >>> from citronwinch.coordination import Endpoint, ManualClock
        >>> from citronwinch.coordination.flows import ServerState
        >>> address = Endpoint("10.0.0.9", 8080)
        >>> server = BackendServer(
        ...     "s9", "gauging", address, "a", ServerState.READY, 1, 0
        ... )
        >>> former = FormerServers(ManualClock())
        >>> former.record_missing([server])
        >>> former.remove(["s9"], RemovalReason.EXPIRED)
        >>> len(former), former.latest_removals[0].reason.value
        (0, 'expired')
    """

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self.clock = clock
        self.removal_counts: Counter[RemovalReason] = Counter()
        self.lost: dict[str, LostServer] = {}
        """The servers that were removed although they may come back, by name."""
        self.latest_removals: deque[FormerRemoval] = deque(maxlen=REMEMBERED_REMOVALS)
        self.unreported_removals: deque[FormerRemoval] = deque(
            maxlen=REMEMBERED_REMOVALS
        )
        """Those that `take_unreported_removals` has not returned yet."""
        self.agent_restart_ms = 0
        """How long a restart of an agent may take, in milliseconds."""
        self.set_stop_timeout(DEFAULT_STOP_TIMEOUT_MS)
        self.checked_ms = clock.now_ms()
        """When the agents' silence was last checked."""
        self.source = ""
        """The balancer from which this one has learned former servers, if any."""

    def record_missing(self, servers: Iterable[BackendServer]) -> None:
        """Record that the listing lacks some servers, unless that is known."""
        now_ms = self.clock.now_ms()
        for server in servers:
            self.setdefault(server.name, FormerServer(server, now_ms, now_ms))

    def record_learned(self, departed: Iterable[DepartedServer]) -> None:
        """Record servers that have left according to another balancer.

        The other balancer may have been cut off from an agent that this one reaches. No
        silence that it states is long enough for a loss, therefore, before the agent
        has had the time to answer this balancer.
        """
        now_ms = self.clock.now_ms()
        longest_ms = self.agent_restart_ms - STATED_SILENCE_MARGIN_MS
        for server, missing_ms, silent_ms in departed:
            silent_since_ms = now_ms - max(0, min(silent_ms, longest_ms))
            former = FormerServer(server, now_ms - missing_ms, silent_since_ms)
            self.setdefault(server.name, former)

    def list_departed(self) -> tuple[DepartedServer, ...]:
        """Return the servers that have left, for another balancer.

        Each is stated with the silence of its agent, so that the other balancer does
        not wait anew for agents that are lost.
        """
        now_ms = self.clock.now_ms()
        known = [*self.values(), *(lost.former for lost in self.lost.values())]
        return tuple(
            DepartedServer(
                former.server,
                now_ms - former.missing_since_ms,
                now_ms - former.probed_since_ms,
            )
            for former in known
        )

    def find_silence_start_ms(self, address: str) -> int | None:
        """Return from when on the silence of the agent at an address counts, in ms.

        None if no former server was at that address.
        """
        return max(
            (
                former.probed_since_ms
                for former in self.values()
                if former.server.address.ip == address
            ),
            default=None,
        )

    def record_sign(self, name: str, heard_ms: int) -> None:
        """Record when the agent of a server was last heard."""
        former = self[name]
        if heard_ms > former.probed_since_ms:
            self[name] = former._replace(probed_since_ms=heard_ms)

    def set_stop_timeout(self, timeout_ms: int) -> None:
        """Set how long an agent that is stopped may go on, in milliseconds."""
        self.agent_restart_ms = timeout_ms + AGENT_START_MS

    def restart_probes(self) -> None:
        """Disregard the silence of agents until now."""
        now_ms = self.clock.now_ms()
        for name, former in self.items():
            self[name] = former._replace(probed_since_ms=now_ms)

    def record_check(self) -> None:
        """Record that the agents' silence is checked now.

        After a pause of this process it counts from now on.
        """
        now_ms = self.clock.now_ms()
        if now_ms - self.checked_ms > MAX_CHECK_GAP_MS:
            self.restart_probes()
        self.checked_ms = now_ms

    def record_listed(self, names: Iterable[str]) -> None:
        """Remove the servers that are listed again."""
        for name in names:
            self.pop(name, None)
            self.lost.pop(name, None)

    def remove(self, names: Iterable[str], reason: RemovalReason) -> None:
        """Remove servers that cannot hold flows any more, and record why."""
        now_ms = self.clock.now_ms()
        for name in names:
            former = self.pop(name)
            if reason in REVOCABLE_REASONS:
                self.lost[name] = LostServer(former, now_ms)
            removal = FormerRemoval(former.server, reason, now_ms)
            self.latest_removals.append(removal)
            self.unreported_removals.append(removal)
            self.removal_counts[reason] += 1

    def is_lost(self, address: str) -> bool:
        """Return whether the last server known at an address counts as lost."""
        latest_ms = self.clock.now_ms() - FORMER_RETENTION_MS
        return any(
            lost.former.server.address.ip == address
            for lost in self.lost.values()
            if lost.former.missing_since_ms >= latest_ms
        )

    def readmit(self, name: str) -> None:
        """Let a server that counted as lost hold flows again."""
        self[name] = self.lost.pop(name).former

    def list_outdated(self) -> list[FormerServer]:
        """Return the servers that left longer ago than a flow may last."""
        latest_ms = self.clock.now_ms() - FORMER_RETENTION_MS
        self.lost = {
            name: lost
            for name, lost in self.lost.items()
            if lost.former.missing_since_ms >= latest_ms
        }
        return [each for each in self.values() if each.missing_since_ms < latest_ms]

    def list_elsewhere(self, addresses: Collection[str]) -> list[BackendServer]:
        """Return the servers, also lost ones, that are not at some addresses."""
        known = [*self.values(), *(lost.former for lost in self.lost.values())]
        return [
            former.server
            for former in known
            if former.server.address.ip not in addresses
        ]

    def take_unreported_removals(self) -> list[FormerRemoval]:
        """Return the removals since the last call, the latest ones if they are many."""
        removals = list(self.unreported_removals)
        self.unreported_removals.clear()
        return removals

    def describe_removals(self, services: Iterable[str], limit: int) -> list[str]:
        """Return the latest removals of servers of some services, for a log line.

        Each is the address of the agent, the reason and how long ago that was, in ms.
        """
        wanted = set(services)
        now_ms = self.clock.now_ms()
        described = [
            f"{removal.server.address.ip} {removal.reason.value} "
            f"{now_ms - removal.removed_ms}"
            for removal in reversed(self.latest_removals)
            if removal.server.service in wanted
        ]
        return described[:limit]
