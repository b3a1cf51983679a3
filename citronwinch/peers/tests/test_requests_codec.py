"""Messages about requests are decoded as encoded; malformed ones are rejected."""

import pytest

from citronwinch.coordination import FlowKey
from citronwinch.coordination.requests import (
    ExportedRecord,
    RecordsQuery,
    RequestKey,
    RequestKind,
    RequestMetadata,
    RequestRecords,
    RequestState,
    RetryRequest,
)
from citronwinch.network import MalformedMessageError
from citronwinch.peers import (
    Envelope,
    decode_envelope,
    encode_envelope,
)
from citronwinch.peers._codec import SCHEMA

FLOW = FlowKey(bytes([17]) + bytes(12))
REQUEST = RequestMetadata(RequestKind.REQUEST, bytes(16), True, 900, age_ms=70_000)
RETRY = RetryRequest(FLOW, "reporting", REQUEST, b"payload", ("reporting-1",))
RECORD = ExportedRecord(RequestKey(FLOW, bytes(16)), RequestState.REFUSED, 5, 9, True)
MESSAGES = {
    "retry": RETRY,
    "retry tried nowhere": RETRY._replace(tried=()),
    "all records": RequestRecords("gauging-2", 66_000, 2, (RECORD, RECORD)),
    "records of a flow": RequestRecords("", 0, 1, (RECORD,)),
    "query": RecordsQuery("gauging-2"),
    "no records": RequestRecords("gauging-2", 0, 0, ()),
}
NOT_REPEATABLE = REQUEST._replace(repeatable=False)
MALFORMED = {
    "retry of a request that is not repeatable": RETRY._replace(request=NOT_REPEATABLE),
    "retry of an answer": RETRY._replace(
        request=REQUEST._replace(kind=RequestKind.ANSWER)
    ),
    "retry with a short id": RETRY._replace(
        request=REQUEST._replace(request_id=b"short")
    ),
    "retry with a broken flow": RETRY._replace(flow=FlowKey(b"broken")),
    "record with a short id": RequestRecords(
        "gauging-2", 0, 1, (RECORD._replace(key=RequestKey(FLOW, b"short")),)
    ),
    "record of a broken flow": RequestRecords(
        "", 0, 1, (RECORD._replace(key=RequestKey(FlowKey(b"broken"), bytes(16))),)
    ),
}


def encode(message):
    return encode_envelope(Envelope("gauging-1", 1, 2, 3, message))


@pytest.mark.parametrize("name", MESSAGES)
def test_message_is_decoded_as_it_was_encoded(name):
    assert decode_envelope(encode(MESSAGES[name])).message == MESSAGES[name]


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_message_is_rejected(name):
    with pytest.raises(MalformedMessageError):
        decode_envelope(encode(MALFORMED[name]))


@pytest.mark.parametrize("name", MESSAGES)
def test_truncated_message_is_rejected(name):
    data = encode(MESSAGES[name])
    for length in range(0, len(data) - 8, 8):
        with pytest.raises(MalformedMessageError):
            decode_envelope(data[:length])


def test_record_with_an_unknown_state_is_rejected():
    builder = SCHEMA.Envelope.new_message()
    record = builder.init("requests").init("records").init("records", 1)[0]
    record.flow, record.requestId, record.state = FLOW, bytes(16), 99
    with pytest.raises(MalformedMessageError):
        decode_envelope(builder.to_bytes())


def test_message_without_content_is_rejected():
    builder = SCHEMA.Envelope.new_message()
    builder.init("requests")
    with pytest.raises(MalformedMessageError):
        decode_envelope(builder.to_bytes())
