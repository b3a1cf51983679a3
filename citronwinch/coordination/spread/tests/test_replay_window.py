"""Tests of the replay window.

They guard against a message that is handled twice, and against a message of a sender's
earlier incarnation.
"""

import pytest

from citronwinch.coordination.spread import WINDOW_MESSAGES, ReplayWindow

CASES = {
    "in order": ([1, 2, 3], [True, True, True]),
    "repeated": ([1, 1, 2, 1], [True, False, True, False]),
    "reordered once": ([5, 3, 4, 3], [True, True, True, False]),
    "first is late": ([900, 1, 900], [True, True, False]),
    "older than the window": ([WINDOW_MESSAGES + 1, 1, 2], [True, False, True]),
    "accepted before a jump": ([1, 10**9, 10**9, 1], [True, True, False, False]),
}


@pytest.mark.parametrize("case", CASES)
def test_each_message_is_accepted_once(case):
    sequences, expected = CASES[case]
    window = ReplayWindow()
    assert [window.accept("a", 7, number) for number in sequences] == expected


def test_a_lower_incarnation_is_refused_after_a_higher_one():
    window = ReplayWindow()
    assert window.accept("a", 7, 50)
    assert window.accept("a", 8, 1)
    assert not window.accept("a", 7, 51)
    assert window.accept("b", 7, 51)


def test_the_least_recent_sender_is_dropped_first():
    window = ReplayWindow(sender_limit=2)
    assert window.accept("a", 1, 1)
    assert window.accept("b", 1, 1)
    assert window.accept("a", 1, 2)
    assert window.accept("c", 1, 1)
    assert sorted(window.windows) == ["a", "c"]
