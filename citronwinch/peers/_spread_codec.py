"""Encoding of messages about membership and the table."""

import ipaddress
from collections.abc import Callable, Sequence
from typing import Any

from citronwinch.coordination import Endpoint, Instance, InstanceRole, pack_ip
from citronwinch.coordination.spread import (
    MemberFact,
    MemberStatus,
    Probe,
    ProbeAnswer,
    SpreadMessage,
    TableChunk,
    TablePull,
)
from citronwinch.peers._codec import fill_message

ROLE_NUMBERS = {InstanceRole.BALANCER: 0, InstanceRole.AGENT: 1}
"""The number of each role on the wire."""

ROLES = {number: role for role, number in ROLE_NUMBERS.items()}
"""The role of each number on the wire."""

CHUNK_COUNT_LIMIT = 4_096
"""The most chunks that a transfer may announce."""


@fill_message.register
def _(message: Probe, envelope: Any) -> None:
    target = envelope.init("spread").init("probe")
    target.number = message.number
    target.digest = message.digest
    target.ageMs = message.age_ms
    target.target = message.target
    fill_facts(message.facts, target)


@fill_message.register
def _(message: ProbeAnswer, envelope: Any) -> None:
    target = envelope.init("spread").init("probeAnswer")
    target.number = message.number
    target.digest = message.digest
    target.ageMs = message.age_ms
    fill_facts(message.facts, target)


@fill_message.register
def _(message: TablePull, envelope: Any) -> None:
    target = envelope.init("spread").init("tablePull")
    target.sinceRevision = message.since_revision
    target.scope = message.scope
    target.revision = message.revision
    target.missing = list(message.missing)


@fill_message.register
def _(message: TableChunk, envelope: Any) -> None:
    target = envelope.init("spread").init("tableChunk")
    target.sinceRevision = message.since_revision
    target.revision = message.revision
    target.digest = message.digest
    target.scope = message.scope
    target.number = message.number
    target.chunkCount = message.chunk_count
    target.data = message.data


def fill_facts(facts: Sequence[MemberFact], target: Any) -> None:
    """Write facts into the builder of the message that carries them."""
    if not facts:
        return
    builders = target.init("facts", len(facts))
    for builder, fact in zip(builders, facts, strict=True):
        builder.name = fact.name
        builder.incarnation = fact.incarnation
        builder.status = int(fact.status)
        if fact.instance is not None:
            fill_instance(fact.instance, builder.init("instance"))


def fill_instance(instance: Instance, target: Any) -> None:
    """Write what describes an instance, but for its name and state."""
    target.role = ROLE_NUMBERS[instance.role]
    target.port = instance.address.port
    target.ip = pack_ip(instance.address.ip)
    target.availabilityZone = instance.availability_zone
    target.region = instance.region


def read_spread(reader: Any) -> SpreadMessage:
    """Return the message in a reader of the spread union."""
    kind = str(reader.which())
    return _READERS[kind](getattr(reader, kind))


def read_facts(reader: Any) -> tuple[MemberFact, ...]:
    """Return the facts in a list reader."""
    return tuple(
        MemberFact(
            item.name,
            item.incarnation,
            MemberStatus(item.status),
            read_instance(item.name, item.instance) if item._has("instance") else None,
        )
        for item in reader
    )


def read_instance(name: str, reader: Any) -> Instance:
    """Return the described instance; raise ValueError when its address is wrong."""
    ip = str(ipaddress.ip_address(bytes(reader.ip)))
    return Instance(
        name,
        ROLES[reader.role],
        reader.availabilityZone,
        Endpoint(ip, reader.port),
        region=reader.region,
    )


def read_probe(reader: Any) -> Probe:
    """Return the probe in a reader."""
    return Probe(
        reader.number,
        bytes(reader.digest),
        reader.ageMs,
        reader.target,
        read_facts(reader.facts),
    )


def read_probe_answer(reader: Any) -> ProbeAnswer:
    """Return the answer in a reader."""
    return ProbeAnswer(
        reader.number, bytes(reader.digest), reader.ageMs, read_facts(reader.facts)
    )


def read_table_pull(reader: Any) -> TablePull:
    """Return the pull in a reader."""
    return TablePull(
        reader.sinceRevision, reader.scope, reader.revision, tuple(reader.missing)
    )


def read_table_chunk(reader: Any) -> TableChunk:
    """Return the chunk in a reader; raise ValueError when its numbers are wrong."""
    if not reader.number < reader.chunkCount <= CHUNK_COUNT_LIMIT:
        raise ValueError(f"chunk {reader.number} of {reader.chunkCount}")
    return TableChunk(
        reader.sinceRevision,
        reader.revision,
        bytes(reader.digest),
        reader.scope,
        reader.number,
        reader.chunkCount,
        bytes(reader.data),
    )


_READERS: dict[str, Callable[[Any], SpreadMessage]] = {
    "probe": read_probe,
    "probeAnswer": read_probe_answer,
    "tablePull": read_table_pull,
    "tableChunk": read_table_chunk,
}
