"""Rate-limited log lines of decisions."""

from citronwinch.coordination import Clock, unpack_flow_key
from citronwinch.coordination.flows import Record
from citronwinch.operators import process_log

MAX_LINES_PER_SECOND = 60
"""The most decisions that a process logs in a second; writing one log line takes about
40 us."""

log = process_log


class DecisionLog:
    """Logs records of decisions up to a rate limit, and counts the records above it.

    Only records whose number grows with traffic are logged here. Rare events, such as a
    lost store or a joining balancer, are logged directly with `log`.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.second = 0
        self.written_lines = 0
        self.omitted_lines = 0

    def write(self, record: Record) -> None:
        """Log a record unless the current second's limit is reached."""
        second = self.clock.now_ms() // 1000
        if second != self.second:
            if self.omitted_lines:
                log.warning("decisions_left_out", count=self.omitted_lines)
            self.second, self.written_lines, self.omitted_lines = second, 0, 0
        if self.written_lines >= MAX_LINES_PER_SECOND:
            self.omitted_lines += 1
            return
        self.written_lines += 1
        fields = dict(record.fields)
        if record.packet is not None:
            flow = unpack_flow_key(record.packet.flow)
            fields["flow"] = f"{flow.caller}>{flow.service}"
        log.info(record.event, **fields)
