"""The benchmark of the platform's path measures what it says."""

import pytest

from citronwinch.benches import _case_platform


def test_the_case_opens_and_remembers_its_flows(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_case_platform, "FLOWS", 200)
    monkeypatch.setattr(_case_platform, "SERVERS", 100)
    figures = _case_platform.run_case(1)
    assert figures["balancer"]["flows_remembered"] == 200
    assert figures["messages"]["load_report_bytes"] < 60
    assert figures["listing"]["listing_bytes_on_the_wire"] > 100 * 20
