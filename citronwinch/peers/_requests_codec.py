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
from citronwinch.peers._steering_codec import (
    fill_request_metadata,
    read_request_metadata,
)


@fill_message.register
def _(message: RetryRequest, envelope_builder: Any) -> None:
    builder = envelope_builder.init("requests").init("retry")
    builder.flow = message.flow
    builder.service = message.service
    fill_request_metadata(message.request, builder.init("request"))
    builder.payload = message.payload
    builder.tried = list(message.tried)


@fill_message.register
def _(message: RequestRecords, envelope_builder: Any) -> None:
    builder = envelope_builder.init("requests").init("records")
    builder.agent = message.agent
    builder.eraAgeMs = message.complete_for_ms
    builder.total = message.total
    record_builders = builder.init("records", len(message.records))
    for record, record_builder in zip(message.records, record_builders, strict=True):
        record_builder.flow = record.key.flow
        record_builder.requestId = record.key.request_id
        record_builder.state = int(record.state)
        record_builder.remainingMs = record.remaining_ms
        record_builder.keepMs = record.keep_ms
        record_builder.repeatable = record.repeatable


@fill_message.register
def _(message: RecordsQuery, envelope_builder: Any) -> None:
    envelope_builder.init("requests").init("query").agent = message.agent


def read_requests_message(reader: Any) -> RequestsMessage:
    """Return the message in a reader of the requests union.

    Raise ValueError when the message is malformed.
    """
    message_type = str(reader.which())
    if message_type == "retry":
        return read_retry(reader.retry)
    if message_type == "query":
        return RecordsQuery(reader.query.agent)
    return read_records(reader.records)


def read_records(reader: Any) -> RequestRecords:
    """Return the records in a reader; raise ValueError when one is malformed."""
    return RequestRecords(
        reader.agent,
        reader.eraAgeMs,
        reader.total,
        tuple(read_record(record_reader) for record_reader in reader.records),
    )


def read_retry(reader: Any) -> RetryRequest:
    """Return the retry in a reader.

    Raise ValueError when the retry is malformed or its request must not be repeated.
    """
    request = read_request_metadata(reader.request)
    if request.kind is not RequestKind.REQUEST or not request.repeatable:
        raise ValueError("expected a repeatable request in a retry")
    return RetryRequest(
        parse_flow_key(reader.flow),
        reader.service,
        request._replace(request_id=validate_request_id(request.request_id)),
        bytes(reader.payload),
        tuple(str(name) for name in reader.tried),
    )


def read_record(reader: Any) -> ExportedRecord:
    """Return the record in a reader; raise ValueError when it is malformed."""
    return ExportedRecord(
        RequestKey(
            parse_flow_key(reader.flow), validate_request_id(bytes(reader.requestId))
        ),
        RequestState(reader.state),
        reader.remainingMs,
        reader.keepMs,
        reader.repeatable,
    )


def parse_flow_key(data: bytes) -> FlowKey:
    """Return the flow key in the bytes; raise ValueError when it is malformed."""
    flow = FlowKey(bytes(data))
    unpack_flow_key(flow)
    return flow


def validate_request_id(request_id: bytes) -> bytes:
    """Return the request id unchanged; raise ValueError when its length is wrong."""
    if len(request_id) != REQUEST_ID_BYTES:
        raise ValueError(f"expected a request id of 16 bytes, found {len(request_id)}")
    return request_id
