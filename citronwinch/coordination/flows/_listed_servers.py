"""Which entries of a listing name backend servers to use."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from citronwinch.coordination.flows._deployment import BackendServer, ServerState


class ListedServers(NamedTuple):
    """The entries of a listing, by their use."""

    by_service: dict[str, list[BackendServer]]
    """The backend servers to use, by service."""

    unnamed: tuple[str, ...]
    """The names of the entries whose service the operators do not name. They belong to
    other programs, which may run on the instance of a backend server."""

    superseded: tuple[str, ...]
    """The names of the entries at whose address another server has started later, or
    that are copies of the entry in use."""


NO_LISTED_SERVERS = ListedServers({}, (), ())
"""The servers of an empty listing."""


def group_listed_servers(
    servers: Iterable[BackendServer], is_named: Callable[[str], bool]
) -> ListedServers:
    """Group the servers to use by service; `is_named` tells which services exist.

    An instance runs one backend server. Of several entries with its IP address, only
    the one that started last is live; of entries of the same start, one is a copy, and
    a server that one of them calls leaving is leaving. Entries of services that do not
    exist name no backend server, so that they supersede none.

    Example::

        >>> from citronwinch.coordination import Endpoint
        >>> server = BackendServer(
        ...     "s", "gauging", Endpoint("10.0.0.1", 80), "a", ServerState.READY, 1, 5
        ... )
        >>> metrics = server._replace(name="m", service="metrics", started_ms=9)
        >>> listed = group_listed_servers([server, metrics], {"gauging"}.__contains__)
        >>> list(listed.by_service), listed.unnamed
        (['gauging'], ('m',))
    """
    newest: dict[str, BackendServer] = {}
    unnamed, superseded = [], []
    for server in servers:
        if not is_named(server.service):
            unnamed.append(server.name)
            continue
        other = newest.get(server.address.ip)
        if other is not None and _rank(server) < _rank(other):
            superseded.append(server.name)
            continue
        if other is not None:
            superseded.append(other.name)
        newest[server.address.ip] = server
    by_service: dict[str, list[BackendServer]] = {}
    for server in newest.values():
        by_service.setdefault(server.service, []).append(server)
    return ListedServers(by_service, tuple(sorted(unnamed)), tuple(sorted(superseded)))


def _rank(server: BackendServer) -> tuple[int, ServerState]:
    return server.started_ms, server.state
