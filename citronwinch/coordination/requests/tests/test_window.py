"""The duplicate window against a model without a limit on memory.

Guards against records that are removed early or stored too long.
"""

import tracemalloc

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from citronwinch.coordination import FlowKey, ManualClock
from citronwinch.coordination.requests import (
    RECORD_BYTES,
    RequestKey,
    RequestRecord,
    RequestState,
    RequestWindow,
)

LIMIT = 8
NUMBERS = st.integers(0, 11)
STATES = st.sampled_from([RequestState.STARTED, RequestState.REFUSED])


def make_key(number):
    return RequestKey(FlowKey(bytes(13)), number.to_bytes(16, "big"))


class WindowMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.window = RequestWindow(self.clock, LIMIT * RECORD_BYTES)
        self.expected = {}

    @rule(number=NUMBERS, state=STATES, keep_ms=st.integers(0, 50))
    def add(self, number, state, keep_ms):
        key = make_key(number)
        expires_ms = self.clock.now_ms() + keep_ms
        limit = LIMIT if state is RequestState.REFUSED else LIMIT - LIMIT // 4
        fits = key not in self.expected and len(self.expected) < limit
        record = RequestRecord(state, expires_ms, expires_ms)
        assert self.window.add(key, record) == fits
        if fits:
            self.expected[key] = (state, expires_ms)

    @rule(duration_ms=st.integers(0, 40), delay_ms=st.integers(0, 40))
    def pass_time(self, duration_ms, delay_ms):
        self.clock.advance(duration_ms)
        arrived_ms = self.clock.now_ms() - delay_ms
        self.window.expire(arrived_ms)
        self.expected = {
            key: value for key, value in self.expected.items() if value[1] >= arrived_ms
        }

    @rule(offset_ms=st.integers(0, 1_000))
    def transfer_to_another_process(self, offset_ms):
        clock = ManualClock(self.clock.now_ms() + offset_ms)
        imported = RequestWindow(clock, 2 * LIMIT * RECORD_BYTES)
        assert imported.import_records(self.window.export_records())
        imported.limit_bytes = LIMIT * RECORD_BYTES
        self.expected = {
            key: (state, max(expires_ms, self.clock.now_ms()) + offset_ms)
            for key, (state, expires_ms) in self.expected.items()
        }
        self.clock, self.window = clock, imported

    @invariant()
    def stores_exactly_the_expected_records(self):
        found = {
            key: (record.state, record.expires_ms)
            for key, record in self.window.records.items()
        }
        assert found == self.expected
        assert self.window.used_bytes <= LIMIT * RECORD_BYTES


TestWindow = WindowMachine.TestCase
TestWindow.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=25, deadline=None
)


def test_record_memory_stays_within_record_bytes():
    window = RequestWindow(ManualClock())
    count = 3_000
    tracemalloc.start()
    for number in range(count):
        flow = FlowKey(number.to_bytes(37, "big"))
        key = RequestKey(flow, number.to_bytes(16, "big"))
        window.add(key, RequestRecord(RequestState.STARTED, 10_000 + number, number))
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert allocated_bytes <= window.used_bytes == count * RECORD_BYTES
