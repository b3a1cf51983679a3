"""Encoding of load reports."""

from typing import Any

from citronwinch.coordination.load import (
    FULL_SHARE_THOUSANDTHS,
    LoadReport,
    LoadState,
)
from citronwinch.peers._codec import fill_message


@fill_message.register
def _(message: LoadReport, envelope_builder: Any) -> None:
    builder = envelope_builder.init("load")
    builder.service = message.service
    builder.flows = message.flows
    builder.connectionLimit = message.connection_limit
    builder.inProgress = message.in_progress
    builder.latencyMs = message.latency_ms
    builder.shareThousandths = message.share_thousandths
    builder.state = int(message.state)
    builder.ageMs = message.age_ms


def read_load_report(reader: Any) -> LoadReport:
    """Return the load report in a reader; raise ValueError when a field is invalid."""
    if reader.shareThousandths > FULL_SHARE_THOUSANDTHS:
        raise ValueError(
            f"expected a share of at most 1000 thousandths, found {reader}"
        )
    return LoadReport(
        reader.service,
        reader.flows,
        reader.connectionLimit,
        reader.inProgress,
        reader.latencyMs,
        reader.shareThousandths,
        LoadState(reader.state),
        reader.ageMs,
    )
