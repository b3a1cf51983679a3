"""Tests of metrics: daemons in one interpreter must not share histograms."""

from citronwinch.operators import Metrics


def test_histograms_of_the_same_name_are_separate_for_each_daemon() -> None:
    first, second = Metrics(), Metrics()
    for metrics, value_ms in ((first, 3), (second, 30), (second, 30)):
        metrics.observe("opening_wait_ms", value_ms)
    assert b"citronwinch_opening_wait_ms_count 1" in first.render()
    assert b"citronwinch_opening_wait_ms_count 2" in second.render()
