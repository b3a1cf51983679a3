"""Tests of the findings of `status` across all daemons."""

import pytest

from citronwinch.coordination import Endpoint
from citronwinch.tool._daemons import DaemonAddress, DaemonAnswer
from citronwinch.tool._status_command import collect_findings

BODY = {"state": "ready", "revision": 4, "digest": "aa", "scope": ""}


def answer(name, error="", **changes):
    daemon = DaemonAddress(name, "", Endpoint("192.0.2.1", 1))
    return DaemonAnswer(
        daemon, None if error else BODY | {"name": name} | changes, error
    )


GAUGING = {"scope": "gauging", "digest": "bb"}
CASES = {
    "all the same": ([answer("b-1"), answer("b-2")], []),
    "agents have their own rows": (
        [answer("b-1"), answer("g-1", **GAUGING), answer("g-2", **GAUGING)],
        [],
    ),
    "no answer": (
        [answer("b-1"), answer("b-2", error="refused")],
        ["b-2 at 192.0.2.1:1: refused"],
    ),
    "behind": (
        [answer("b-1"), answer("b-2", revision=3, digest="cc")],
        ["behind revision 4: b-2"],
    ),
    "starting": ([answer("b-1", state="starting")], ["b-1 is starting"]),
    "two contents": (
        [answer("b-1"), answer("b-2", digest="cc")],
        ["revision 4 has 2 contents for all services"],
    ),
    "two contents of one service": (
        [answer("g-1", **GAUGING), answer("g-2", scope="gauging", digest="cc")],
        ["revision 4 has 2 contents for gauging"],
    ),
}


@pytest.mark.parametrize("case", CASES.values(), ids=CASES.keys())
def test_findings_across_daemons(case):
    answers, expected = case
    assert collect_findings(answers) == expected
