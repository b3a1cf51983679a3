"""The fleet starts processes again, but none whose instance is gone."""

from pathlib import Path

import pytest
import trio

from citronwinch.soak._fleet import Fleet, make_agent


def test_an_instance_that_goes_away_while_it_restarts_is_not_started(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet = Fleet(tmp_path)
    agents = [make_agent(number, "127.0.0.1", "a", "gauging") for number in (1, 2)]
    fleet.members = {agent.name: agent for agent in agents}
    fleet.restarts = {agent.name: 0.0 for agent in agents}
    started: list[str] = []
    monkeypatch.setattr(fleet, "start", started.append)

    async def scene() -> None:
        del fleet.members["agent-1"]
        with trio.move_on_after(0.2):
            await fleet.supervise()

    trio.run(scene)
    assert started == ["agent-2"]
