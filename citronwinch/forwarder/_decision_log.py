"""Log lines of decisions, bounded in number and never waited for."""

import structlog

from citronwinch.coordination import Clock, unpack_flow_key
from citronwinch.coordination.flows import Record

LINES_PER_SECOND = 60
"""The most decision lines of one process a second; a line costs about 40 us."""

log = structlog.get_logger()


class DecisionLog:
    """Writes records of decisions, and counts those above the limit.

    Changes of belief and of dependencies are written with `log` directly, since they
    are few; only lines whose number grows with traffic come here.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.second = 0
        self.lines = 0
        self.left_out = 0

    def write(self, entry: Record) -> None:
        """Write a record unless this second has had its share of lines."""
        second = self.clock.now_ms() // 1000
        if second != self.second:
            if self.left_out:
                log.warning("decisions_left_out", count=self.left_out)
            self.second, self.lines, self.left_out = second, 0, 0
        if self.lines >= LINES_PER_SECOND:
            self.left_out += 1
            return
        self.lines += 1
        fields = dict(entry.fields)
        if entry.packet is not None:
            flow = unpack_flow_key(entry.packet.flow)
            fields["flow"] = f"{flow.caller}>{flow.service}"
        log.info(entry.event, **fields)
