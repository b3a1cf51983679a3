"""The order in which the backend servers of a service are candidates for a flow."""

import functools
import math
from collections.abc import Iterable

import xxhash

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._table import TableRow

_HASH_RANGE = float(1 << 64)


@functools.lru_cache(maxsize=65536)
def hash_seed(name: str) -> int:
    """Return the hash seed that stands for a name, the same in every process."""
    return xxhash.xxh3_64_intdigest(name.encode())


def rank_candidates(key: FlowKey, rows: Iterable[TableRow]) -> list[TableRow]:
    """Return the rows with a weight above 0, most suitable for the flow first.

    Weighted rendezvous hashing: each row scores `-log(u) / weight`, where `u` is a
    hash of flow and backend server in (0, 1]. The lowest score wins, so that a row
    is first for a share of the flows that is proportional to its weight, and a
    change to one row moves only flows to or from that row.
    """
    usable = [row for row in rows if row.weight > 0]
    return sorted(usable, key=lambda row: score_candidate(key, row))


def score_candidate(key: FlowKey, row: TableRow) -> float:
    """Return the row's score for the flow; the lowest wins."""
    digest = xxhash.xxh3_64_intdigest(key, hash_seed(row.backend_server))
    return -math.log((digest + 1) / _HASH_RANGE) / row.weight


def find_home(key: FlowKey, rows: Iterable[TableRow]) -> str | None:
    """Return the backend server whose agent decides for a flow, None without rows.

    It is the first candidate. When no row has a weight, some row still has to know
    where the established flows are, so that all of them count the same.
    """
    members = [row for row in rows if row.weight > 0]
    if not members:
        members = [row._replace(weight=1) for row in rows]
    if not members:
        return None
    return min(members, key=lambda row: score_candidate(key, row)).backend_server
