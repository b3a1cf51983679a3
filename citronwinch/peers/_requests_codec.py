"""Encoding of messages about requests."""

from typing import Any

from citronwinch.coordination import FlowKey, unpack_flow_key
from citronwinch.coordination.requests import (
    REQUEST_ID_BYTES,
    ExportedRecord,
    RecordsQuery,
    RequestKey,
    RequestKind,
    RequestRecords,
    RequestsMessage,
    RequestState,
    RetryRequest,
)
from citronwinch.peers._codec import fill_message
from citronwinch.peers._steering_codec import fill_request, read_request


@fill_message.register
def _(message: RetryRequest, envelope: Any) -> None:
    target = envelope.init("requests").init("retry")
    target.flow = message.flow
    target.service = message.service
    fill_request(message.request, target.init("request"))
    target.payload = message.payload
    target.tried = list(message.tried)


@fill_message.register
def _(message: RequestRecords, envelope: Any) -> None:
    target = envelope.init("requests").init("records")
    target.agent = message.agent
    target.eraAgeMs = message.complete_for_ms
    target.total = message.total
    builders = target.init("records", len(message.records))
    for record, builder in zip(message.records, builders, strict=True):
        builder.flow = record.key.flow
        builder.requestId = record.key.request_id
        builder.state = int(record.state)
        builder.remainingMs = record.remaining_ms
        builder.keepMs = record.keep_ms
        builder.repeatable = record.repeatable


@fill_message.register
def _(message: RecordsQuery, envelope: Any) -> None:
    envelope.init("requests").init("query").agent = message.agent


def read_requests(reader: Any) -> RequestsMessage:
    """Return the message about requests in a reader; raise ValueError otherwise."""
    kind = str(reader.which())
    if kind == "retry":
        return read_retry(reader.retry)
    if kind == "query":
        return RecordsQuery(reader.query.agent)
    return read_records(reader.records)


def read_records(reader: Any) -> RequestRecords:
    """Return the hand-over in a reader; raise ValueError when it is malformed."""
    return RequestRecords(
        reader.agent,
        reader.eraAgeMs,
        reader.total,
        tuple(read_record(record) for record in reader.records),
    )


def read_retry(reader: Any) -> RetryRequest:
    """Return the retry in a reader; raise ValueError when it cannot be one."""
    request = read_request(reader.request)
    if request.kind is not RequestKind.REQUEST or not request.repeatable:
        raise ValueError("a retry of what may not be retried")
    return RetryRequest(
        read_flow(reader.flow),
        reader.service,
        request._replace(request_id=check_request_id(request.request_id)),
        bytes(reader.payload),
        tuple(str(name) for name in reader.tried),
    )


def read_record(reader: Any) -> ExportedRecord:
    """Return the record in a reader; raise ValueError when it is malformed."""
    return ExportedRecord(
        RequestKey(read_flow(reader.flow), check_request_id(bytes(reader.requestId))),
        RequestState(reader.state),
        reader.remainingMs,
        reader.keepMs,
        reader.repeatable,
    )


def read_flow(data: bytes) -> FlowKey:
    """Return a flow key; raise ValueError when it is malformed."""
    flow = FlowKey(bytes(data))
    unpack_flow_key(flow)
    return flow


def check_request_id(request_id: bytes) -> bytes:
    """Return a request id; raise ValueError when its length is wrong."""
    if len(request_id) != REQUEST_ID_BYTES:
        raise ValueError(f"expected a request id of 16 bytes, found {len(request_id)}")
    return request_id
