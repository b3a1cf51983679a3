"""Tests of whole sessions, byte for byte.

`make golden` writes the files anew; the difference then shows what a change does to
the behaviour of the whole.
"""

import pytest

from citronwinch.coordination.tests._session_script import DEPLOYMENTS, GOLDEN, play

NEVER = ("requests run twice: 0", "flows that changed their backend server: 0")


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_session_is_the_golden_one(deployment):
    golden = (GOLDEN / f"{deployment}.golden").read_bytes()
    assert play(deployment).encode() == golden


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_golden_session_keeps_the_promises(deployment):
    lines = (GOLDEN / f"{deployment}.golden").read_text().splitlines()
    assert set(NEVER) <= set(lines)
