"""Messages between the agents of a service about requests."""

from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination.requests._metadata import RequestMetadata
from citronwinch.coordination.requests._records import ExportedRecord

RECORDS_PER_MESSAGE = 100
"""The maximum number of records in one message, so that it fits a datagram."""


class RetryRequest(NamedTuple):
    """Asks another agent to run a request that this agent's backend server shed."""

    flow: FlowKey
    """The flow on which the request arrived; answers go to its caller."""

    service: str
    """The service under which the flow was opened."""

    request: RequestMetadata
    """The request, with the time left when the message is sent."""

    payload: bytes
    """The caller's datagram, as delivered to the backend server."""

    tried: tuple[str, ...]
    """The backend servers that have already shed the request."""


class RequestRecords(NamedTuple):
    """Transfers records of requests to another agent.

    A long transfer takes several messages. The receiver relies on the transfer only
    once `total` records have arrived, so that a lost message does no harm.
    """

    agent: str
    """The agent whose records are transferred; empty if only those of one flow are."""

    complete_for_ms: int
    """For how long the sender's own records have been complete, in milliseconds."""

    total: int
    """The number of records in all messages of the transfer."""

    records: tuple[ExportedRecord, ...]
    """The records in this message."""


class RecordsQuery(NamedTuple):
    """Asks for the records that the previous run of a restarted agent transferred."""

    agent: str
    """The restarted agent."""


RequestsMessage = RetryRequest | RequestRecords | RecordsQuery
"""A message between agents about requests."""


def split_records(
    agent: str, complete_for_ms: int, records: list[ExportedRecord]
) -> list[RequestRecords]:
    """Return the messages of a transfer: at least one, even without records."""
    return [
        RequestRecords(
            agent,
            complete_for_ms,
            len(records),
            tuple(records[start : start + RECORDS_PER_MESSAGE]),
        )
        for start in range(0, max(1, len(records)), RECORDS_PER_MESSAGE)
    ]
