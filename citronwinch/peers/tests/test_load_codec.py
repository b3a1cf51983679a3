"""Contract tests of the load message on the wire."""

import pytest

from citronwinch.coordination.load import LoadReport, ServerState
from citronwinch.peers import (
    Envelope,
    MalformedMessageError,
    decode_envelope,
    encode_envelope,
)
from citronwinch.peers._codec import SCHEMA

REPORTS = {
    "least": LoadReport("g", 0, 0),
    "usual": LoadReport("gauging", 2_000, 2_000, 12, 40, 550, ServerState.EJECTED),
    "most": LoadReport(
        "s" * 200, 2**32 - 1, 2**32 - 1, 2**32 - 1, 2**32 - 1, 1_000, ServerState(3)
    ),
}


@pytest.mark.parametrize("report", REPORTS.values(), ids=REPORTS)
def test_report_survives_the_wire(report):
    envelope = Envelope("gauging-1", 7, 8, 9, report)
    assert decode_envelope(encode_envelope(envelope)) == envelope


IMPOSSIBLE = {
    "share above the whole": ("shareThousandths", 1_001),
    "state": ("state", 9),
}


@pytest.mark.parametrize(("field", "value"), IMPOSSIBLE.values(), ids=IMPOSSIBLE)
def test_impossible_report_is_rejected(field, value):
    builder = SCHEMA.Envelope.new_message()
    setattr(builder.init("load"), field, value)
    with pytest.raises(MalformedMessageError):
        decode_envelope(builder.to_bytes())


def test_usual_report_is_small():
    encoded = encode_envelope(Envelope("gauging-1", 7, 8, 9, REPORTS["usual"]))
    assert len(encoded) <= 128
