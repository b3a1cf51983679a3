"""Messages between the agents of a service about requests."""

from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination.requests._metadata import RequestMetadata
from citronwinch.coordination.requests._records import ExportedRecord

RECORDS_PER_MESSAGE = 100
"""The most records in one message, so that it fits a datagram."""


class RetryRequest(NamedTuple):
    """Asks another agent to run a request that a backend server has shed."""

    flow: FlowKey
    """The flow on which the request came; answers go to its caller."""

    service: str
    """The service under which the flow was opened."""

    request: RequestMetadata
    """The request, with the time that is left now."""

    payload: bytes
    """The caller's datagram as it goes to the backend server."""

    tried: tuple[str, ...]
    """The backend servers that have shed it."""


class RequestRecords(NamedTuple):
    """Hands records of requests over to another agent.

    A long hand-over goes in several messages. The receiver counts on it only once
    it has `total` records, so that a lost message does no harm.
    """

    agent: str
    """The agent all of whose records these are; empty for those of one flow."""

    complete_for_ms: int
    """How long ago the sender began to have complete records of its own."""

    total: int
    """The number of records in all messages of the hand-over."""

    records: tuple[ExportedRecord, ...]
    """The records in this message."""


class RecordsQuery(NamedTuple):
    """A fresh agent asks for the records that its former run handed over."""

    agent: str
    """The agent."""


RequestsMessage = RetryRequest | RequestRecords | RecordsQuery
"""Everything that agents say to each other about requests."""


def split_records(
    agent: str, complete_for_ms: int, records: list[ExportedRecord]
) -> list[RequestRecords]:
    """Return the messages of a hand-over; one even when there are no records."""
    return [
        RequestRecords(
            agent,
            complete_for_ms,
            len(records),
            tuple(records[start : start + RECORDS_PER_MESSAGE]),
        )
        for start in range(0, max(1, len(records)), RECORDS_PER_MESSAGE)
    ]
