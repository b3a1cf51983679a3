"""Encoding of messages that spread the membership and the table."""

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
"""The number that stands for each role on the wire."""

ROLES = {number: role for role, number in ROLE_NUMBERS.items()}
"""The role that each number on the wire stands for."""

CHUNK_COUNT_LIMIT = 4_096
"""The highest accepted number of chunks in one table transfer."""


@fill_message.register
def _(message: Probe, envelope_builder: Any) -> None:
    builder = envelope_builder.init("spread").init("probe")
    builder.number = message.number
    builder.digest = message.digest
    builder.ageMs = message.age_ms
    builder.target = message.target
    fill_facts(message.facts, builder)


@fill_message.register
def _(message: ProbeAnswer, envelope_builder: Any) -> None:
    builder = envelope_builder.init("spread").init("probeAnswer")
    builder.number = message.number
    builder.digest = message.digest
    builder.ageMs = message.age_ms
    fill_facts(message.facts, builder)


@fill_message.register
def _(message: TablePull, envelope_builder: Any) -> None:
    builder = envelope_builder.init("spread").init("tablePull")
    builder.sinceRevision = message.since_revision
    builder.scope = message.scope
    builder.revision = message.revision
    builder.missing = list(message.missing)


@fill_message.register
def _(message: TableChunk, envelope_builder: Any) -> None:
    builder = envelope_builder.init("spread").init("tableChunk")
    builder.sinceRevision = message.since_revision
    builder.revision = message.revision
    builder.digest = message.digest
    builder.scope = message.scope
    builder.number = message.number
    builder.chunkCount = message.chunk_count
    builder.data = message.data


def fill_facts(facts: Sequence[MemberFact], builder: Any) -> None:
    """Write member facts into the builder of a probe or a probe answer."""
    if not facts:
        return
    fact_builders = builder.init("facts", len(facts))
    for fact_builder, fact in zip(fact_builders, facts, strict=True):
        fact_builder.name = fact.name
        fact_builder.incarnation = fact.incarnation
        fact_builder.status = int(fact.status)
        if fact.instance is not None:
            fill_instance(fact.instance, fact_builder.init("instance"))


def fill_instance(instance: Instance, builder: Any) -> None:
    """Write an instance into its builder, except its name and state.

    The member fact that contains the instance has the name, and a status from which
    receivers derive the state.
    """
    builder.role = ROLE_NUMBERS[instance.role]
    builder.port = instance.address.port
    builder.ip = pack_ip(instance.address.ip)
    builder.availabilityZone = instance.availability_zone
    builder.region = instance.region


def read_spread_message(reader: Any) -> SpreadMessage:
    """Return the message in a reader of the spread union."""
    message_type = str(reader.which())
    return _READERS[message_type](getattr(reader, message_type))


def read_facts(reader: Any) -> tuple[MemberFact, ...]:
    """Return the member facts in a list reader."""
    return tuple(
        MemberFact(
            fact_reader.name,
            fact_reader.incarnation,
            MemberStatus(fact_reader.status),
            read_instance(fact_reader.name, fact_reader.instance)
            if fact_reader._has("instance")
            else None,
        )
        for fact_reader in reader
    )


def read_instance(name: str, reader: Any) -> Instance:
    """Return the instance in a reader; its name is the one in the member fact.

    Raise ValueError for a malformed IP address and KeyError for an unknown role.
    """
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
    """Return the probe answer in a reader."""
    return ProbeAnswer(
        reader.number, bytes(reader.digest), reader.ageMs, read_facts(reader.facts)
    )


def read_table_pull(reader: Any) -> TablePull:
    """Return the table pull in a reader."""
    return TablePull(
        reader.sinceRevision, reader.scope, reader.revision, tuple(reader.missing)
    )


def read_table_chunk(reader: Any) -> TableChunk:
    """Return the table chunk in a reader.

    Raise ValueError when the chunk number or the number of chunks is out of range.
    """
    if not reader.number < reader.chunkCount <= CHUNK_COUNT_LIMIT:
        raise ValueError(
            f"chunk {reader.number} of {reader.chunkCount} is out of range"
        )
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
