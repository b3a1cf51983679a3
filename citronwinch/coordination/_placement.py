"""Weighted rendezvous hashing: the order of a flow's candidate backend servers."""

import functools
import math
from collections.abc import Iterable

import xxhash

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._table import TableRow

_HASH_RANGE = float(1 << 64)


@functools.lru_cache(maxsize=65536)
def hash_seed(name: str) -> int:
    """Return the hash seed for a name; every process computes the same one."""
    return xxhash.xxh3_64_intdigest(name.encode())


def rank_candidates(key: FlowKey, rows: Iterable[TableRow]) -> list[TableRow]:
    """Return the rows with a weight above 0, in rendezvous order for the flow.

    Weighted rendezvous hashing: the score of a row is `-log(u) / weight`, where `u`
    in (0, 1] is a hash of the flow and the backend server. Rows are sorted by score,
    lowest first. Each row is first for a share of the flows in proportion to its
    weight, and a change to one row moves only flows to or from that row.
    """
    usable = [row for row in rows if row.weight > 0]
    return sorted(usable, key=lambda row: score_candidate(key, row))


def score_candidate(key: FlowKey, row: TableRow) -> float:
    """Return the row's score for the flow; the row with the lowest score is first."""
    digest = xxhash.xxh3_64_intdigest(key, hash_seed(row.backend_server))
    return -math.log((digest + 1) / _HASH_RANGE) / row.weight


def find_home(key: FlowKey, rows: Iterable[TableRow]) -> str | None:
    """Return the backend server whose agent is the flow's home, None without rows.

    The home decides where the flow goes; it is the first candidate's agent. When all
    rows have weight 0, established flows still need a home that knows their owners,
    so all rows then count as having the same weight.
    """
    members = [row for row in rows if row.weight > 0]
    if not members:
        members = [row._replace(weight=1) for row in rows]
    if not members:
        return None
    return min(members, key=lambda row: score_candidate(key, row)).backend_server
