"""Metrics of processes that run in one interpreter."""

from citronwinch.operators import Metrics


def test_two_processes_in_one_interpreter_have_histograms_of_the_same_name() -> None:
    first, second = Metrics(), Metrics()
    for metrics, value_ms in ((first, 3), (second, 30), (second, 30)):
        metrics.observe("opening_wait_ms", value_ms)
    assert b"citronwinch_opening_wait_ms_count 1" in first.render()
    assert b"citronwinch_opening_wait_ms_count 2" in second.render()
