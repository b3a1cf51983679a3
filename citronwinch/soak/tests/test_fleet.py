"""Checks that the fleet does not restart the process of a removed instance.

The fault: an instance removed during its restart delay was started all the same.
"""

from pathlib import Path

import pytest
import trio

from citronwinch.soak._fleet import Fleet, make_agent


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
