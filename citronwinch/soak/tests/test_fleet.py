"""Checks that an instance may be removed while the soak works with its process.

The faults: an instance removed during its restart delay was started all the same, and
the soak ended with an error when it waited for the agent of a removed instance.
"""

from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
import trio

from citronwinch.soak._fleet import Fleet, make_agent
from citronwinch.soak._leaving_servers import _wait_for_agent


def test_instance_removed_during_restart_delay_is_not_started(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet = Fleet(tmp_path)
    agents = [make_agent(number, "127.0.0.1", "a", "gauging") for number in (1, 2)]
    fleet.instances = {agent.name: agent for agent in agents}
    fleet.restart_due_s = {agent.name: 0.0 for agent in agents}
    started: list[str] = []
    monkeypatch.setattr(fleet, "start", started.append)

    async def remove_and_supervise() -> None:
        del fleet.instances["agent-1"]
        with trio.move_on_after(0.2):
            await fleet.supervise()

    trio.run(remove_and_supervise)
    assert started == ["agent-2"]


# Two releases overlap: one removes the instance whose agent the other restarts.
def test_the_wait_for_an_agent_ends_when_its_instance_is_removed(
    tmp_path: Path,
) -> None:
    soak: Any = SimpleNamespace(fleet=Fleet(tmp_path))

    async def wait() -> None:
        with trio.fail_after(1):
            await _wait_for_agent(soak, "agent-1")

    trio.run(wait)
