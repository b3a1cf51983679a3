"""Tests of the logs of whole sessions against golden files, byte for byte.

They guard against unintended changes of the behaviour of a whole deployment. `make
golden` regenerates the files; their diff then shows how a change affects the behaviour.
"""

import pytest

from citronwinch.coordination.tests._session_script import (
    DEPLOYMENTS,
    GOLDEN,
    run_session,
)

REQUIRED_LINES = (
    "requests run twice: 0",
    "flows that changed their backend server: 0",
)


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_session_log_equals_golden_file(deployment):
    golden = (GOLDEN / f"{deployment}.golden").read_bytes()
    assert run_session(deployment).encode() == golden


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_golden_file_has_no_violations(deployment):
    lines = (GOLDEN / f"{deployment}.golden").read_text().splitlines()
    assert set(REQUIRED_LINES) <= set(lines)
