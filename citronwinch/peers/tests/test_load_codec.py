"""Load reports are decoded as they were encoded, and fit the control budget."""

import pytest

from citronwinch.coordination.load import (
    REPORT_INTERVAL_MS,
    LoadReport,
    LoadState,
)
from citronwinch.network import MalformedMessageError
from citronwinch.peers import (
    Envelope,
    decode_envelope,
    encode_envelope,
)
from citronwinch.peers._authentication import TAG_BYTES
from citronwinch.peers._codec import SCHEMA

UDP_AND_IP_BYTES = 28
BUDGET_BYTES_PER_SECOND = 600

REPORTS = {
    "least": LoadReport("g", 0, 0),
    "usual": LoadReport("gauging", 2_000, 2_000, 12, 40, 550, LoadState.EJECTED, 9),
    "most": LoadReport(
        "s" * 200, 2**32 - 1, 2**32 - 1, 2**32 - 1, 2**32 - 1, 1_000, LoadState(3)
    ),
}


@pytest.mark.parametrize("report", REPORTS.values(), ids=REPORTS)
def test_report_is_decoded_as_it_was_encoded(report):
    envelope = Envelope("gauging-1", 7, 8, 9, report)
    assert decode_envelope(encode_envelope(envelope)) == envelope


INVALID_FIELDS = {
    "share above the whole": ("shareThousandths", 1_001),
    "state": ("state", 9),
}


@pytest.mark.parametrize(
    ("field", "value"), INVALID_FIELDS.values(), ids=INVALID_FIELDS
)
def test_report_with_an_invalid_field_is_rejected(field, value):
    builder = SCHEMA.Envelope.new_message()
    setattr(builder.init("load"), field, value)
    with pytest.raises(MalformedMessageError):
        decode_envelope(builder.to_bytes())


def test_reports_stay_within_their_part_of_the_control_budget():
    encoded = encode_envelope(Envelope("gauging-1", 7, 8, 9, REPORTS["usual"]))
    size = len(encoded) + TAG_BYTES + UDP_AND_IP_BYTES
    assert size * 1_000 / REPORT_INTERVAL_MS <= BUDGET_BYTES_PER_SECOND
