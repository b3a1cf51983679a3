"""Corrects a listing that the store serves after it came back from an older copy."""

from collections.abc import Mapping

from citronwinch.coordination.flows._deployment import (
    BackendServer,
    ServerListing,
    ServerState,
)


def correct_restored_listing(
    listing: ServerListing,
    previous: ServerListing,
    former: Mapping[str, BackendServer],
) -> ServerListing:
    """Return the listing without entries that are older than what is known.

    `previous` is the last listing before, and `former` has the servers that had left
    it, by name. A server that had left stays gone, a server that was leaving stays
    leaving, and a restarted server keeps its later incarnation. An entry of a later
    incarnation than the known one was written after the copy and is kept.
    """
    servers = {}
    for name, server in listing.servers.items():
        known = previous.servers.get(name) or former.get(name)
        if known is None or server.started_ms > known.started_ms:
            servers[name] = server
        elif name in previous.servers:
            servers[name] = _choose_later(server, known)
    return listing._replace(servers=servers)


def _choose_later(server: BackendServer, known: BackendServer) -> BackendServer:
    is_earlier_incarnation = server.started_ms < known.started_ms
    reverts_leaving = (
        known.state is ServerState.LEAVING and server.state is ServerState.READY
    )
    return known if is_earlier_incarnation or reverts_leaving else server
