"""Tests that the platform benchmark opens all its flows and fills its messages."""

import pytest

from citronwinch.benches import _case_platform


def test_case_remembers_all_opened_flows(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_case_platform, "FLOWS", 200)
    monkeypatch.setattr(_case_platform, "SERVERS", 100)
    figures = _case_platform.run_case(1)
    assert figures["balancer"]["flows_remembered"] == 200
    assert figures["messages"]["load_report_bytes"] < 60
    assert figures["listing"]["listing_bytes_on_the_wire"] > 100 * 20
