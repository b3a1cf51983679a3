"""Encodes snapshots and deltas of the table, in chunks that fit a datagram."""

import zlib
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

import orjson

from citronwinch.coordination._address import Endpoint, TransportProtocol
from citronwinch.coordination._table import TableRow, row_fields
from citronwinch.coordination.spread._delta import TableDelta, TableVersion
from citronwinch.coordination.spread._messages import TableChunk

CHUNK_BYTES = 1_100
"""The most data bytes of one chunk; its datagram must not be fragmented."""

DECODED_LIMIT_BYTES = 16_000_000
"""The most bytes that a transfer may have when decompressed."""


class MalformedTransferError(Exception):
    """A transfer cannot be decoded, or does not match its digests."""


class TableSnapshot(NamedTuple):
    """The rows that one process stores, at one revision."""

    rows: tuple[TableRow, ...]
    """All rows of the table, or those of some services."""

    service_digests: dict[str, bytes]
    """The digest of each service in the rows."""


def encode_snapshot(snapshot: TableSnapshot) -> bytes:
    """Return the encoding of a snapshot."""
    digests = {name: digest.hex() for name, digest in snapshot.service_digests.items()}
    return _pack([[row_fields(row) for row in snapshot.rows], digests])


def decode_snapshot(data: bytes) -> TableSnapshot:
    """Decode a snapshot; raise MalformedTransferError if that fails."""
    try:
        rows, digests = _unpack(data)
        return TableSnapshot(_read_rows(rows), _read_digests(digests))
    except (TypeError, ValueError, KeyError, AttributeError) as error:
        raise MalformedTransferError(f"malformed snapshot: {error!r}") from error


def encode_deltas(deltas: Iterable[TableDelta]) -> bytes:
    """Return the encoding of consecutive deltas."""
    return _pack([_delta_fields(delta) for delta in deltas])


def decode_deltas(data: bytes) -> tuple[TableDelta, ...]:
    """Decode deltas; raise MalformedTransferError if that fails."""
    try:
        return tuple(_read_delta(fields) for fields in _unpack(data))
    except (TypeError, ValueError, KeyError, AttributeError) as error:
        raise MalformedTransferError(f"malformed deltas: {error!r}") from error


def split_chunks(
    data: bytes, since_revision: int, version: TableVersion, scope: str
) -> tuple[TableChunk, ...]:
    """Split the encoding of a snapshot or of deltas into chunks."""
    count = max(1, -(-len(data) // CHUNK_BYTES))
    return tuple(
        TableChunk(
            since_revision,
            version.revision,
            version.digest,
            scope,
            number,
            count,
            data[number * CHUNK_BYTES : (number + 1) * CHUNK_BYTES],
        )
        for number in range(count)
    )


class TransferAssembly:
    """Reassembles the chunks of one transfer, in any order and from any peers.

    All peers encode the same revision to the same bytes, so that chunks of different
    peers can be combined; the digest is checked after decoding.
    """

    def __init__(self, first: TableChunk) -> None:
        self.since_revision = first.since_revision
        self.version = TableVersion(first.revision, first.digest)
        self.scope = first.scope
        self.chunk_count = first.chunk_count
        self.parts: dict[int, bytes] = {}

    def fits(self, chunk: TableChunk) -> bool:
        """Return whether a chunk belongs to this transfer."""
        return (
            chunk.since_revision == self.since_revision
            and chunk.revision == self.version.revision
            and chunk.digest == self.version.digest
            and chunk.scope == self.scope
            and chunk.chunk_count == self.chunk_count
        )

    def add(self, chunk: TableChunk) -> bool:
        """Store a chunk; return whether the transfer is complete."""
        if 0 <= chunk.number < self.chunk_count:
            self.parts[chunk.number] = chunk.data
        return len(self.parts) == self.chunk_count

    def missing(self, limit: int) -> tuple[int, ...]:
        """Return the numbers of the first missing chunks, at most `limit`."""
        found: list[int] = []
        for number in range(self.chunk_count):
            if number not in self.parts:
                found.append(number)
                if len(found) == limit:
                    break
        return tuple(found)

    def join(self) -> bytes:
        """Return the encoding that the chunks of a complete transfer make up."""
        return b"".join(self.parts[number] for number in range(self.chunk_count))


def _pack(body: object) -> bytes:
    return zlib.compress(orjson.dumps(body), 6)


def _unpack(data: bytes) -> Any:
    decoder = zlib.decompressobj()
    try:
        decoded = decoder.decompress(data, DECODED_LIMIT_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not decoder.eof:
        raise ValueError("compressed data is truncated or decodes to too many bytes")
    return orjson.loads(decoded)


def _delta_fields(delta: TableDelta) -> list[object]:
    return [
        delta.since.revision,
        delta.since.digest.hex(),
        delta.until.revision,
        delta.until.digest.hex(),
        [row_fields(row) for row in delta.rows],
        list(delta.removed),
        {name: digest.hex() for name, digest in delta.service_digests.items()},
    ]


def _read_delta(fields: Sequence[Any]) -> TableDelta:
    since, since_digest, until, until_digest, rows, removed, digests = fields
    return TableDelta(
        TableVersion(int(since), bytes.fromhex(since_digest)),
        TableVersion(int(until), bytes.fromhex(until_digest)),
        _read_rows(rows),
        tuple(str(name) for name in removed),
        _read_digests(digests),
    )


def _read_rows(rows: Sequence[Sequence[Any]]) -> tuple[TableRow, ...]:
    return tuple(
        TableRow(
            service,
            TransportProtocol[protocol],
            Endpoint.parse(service_address),
            backend_server,
            Endpoint.parse(backend_server_address),
            availability_zone,
            int(weight),
            int(connection_limit),
        )
        for (
            service,
            protocol,
            service_address,
            backend_server,
            backend_server_address,
            availability_zone,
            weight,
            connection_limit,
        ) in rows
    )


def _read_digests(digests: dict[str, str]) -> dict[str, bytes]:
    return {str(name): bytes.fromhex(text) for name, text in digests.items()}
