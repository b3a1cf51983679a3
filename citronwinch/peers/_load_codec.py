"""Encoding of messages about load."""

from typing import Any

from citronwinch.coordination.load import (
    FULL_SHARE_THOUSANDTHS,
    LoadReport,
    ServerState,
)
from citronwinch.peers._codec import fill_message


@fill_message.register
def _(message: LoadReport, envelope: Any) -> None:
    target = envelope.init("load")
    target.service = message.service
    target.flows = message.flows
    target.connectionLimit = message.connection_limit
    target.inProgress = message.in_progress
    target.latencyMs = message.latency_ms
    target.shareThousandths = message.share_thousandths
    target.state = int(message.state)
    target.ageMs = message.age_ms


def read_load(reader: Any) -> LoadReport:
    """Return the report in a reader; raise ValueError for an impossible one."""
    if reader.shareThousandths > FULL_SHARE_THOUSANDTHS:
        raise ValueError(f"expected a share up to 1000, found {reader}")
    return LoadReport(
        reader.service,
        reader.flows,
        reader.connectionLimit,
        reader.inProgress,
        reader.latencyMs,
        reader.shareThousandths,
        ServerState(reader.state),
        reader.ageMs,
    )
