"""Starts a balancer or an agent with a defect that breaks one promise.

The tests check that the soak reports each defect. A process is started with
`python -m citronwinch.soak.tests.broken_launch PROMISE VARIABLE`. PROMISE is a key of
`DEFECTS`; VARIABLE names the environment variable with the path of the settings file.
"""

import os
import sys
import time
from collections.abc import Callable
from typing import Any

from citronwinch.coordination.flows import (
    AgentFlows,
    BalancerFlows,
    DeliverToServer,
    DeploymentView,
    Evacuations,
    FlowAnswer,
    ForwardedPacket,
    Verdict,
)
from citronwinch.forwarder._balancer_process import BalancerProcess
from citronwinch.forwarder._process import ForwarderProcess
from citronwinch.platform import decode_caller_packet
from citronwinch.soak import _faulty_launch

HEALTHY_S = 4.0
"""How long a process works before it exits or stops forwarding, in seconds."""


def deny_every_flow() -> None:
    """Make agents report that flows of their backend servers do not exist."""
    AgentFlows.answer_question = lambda self, question: FlowAnswer(  # type: ignore[method-assign]
        question.flow, Verdict.ABSENT
    )


def use_draining_servers() -> None:
    """Make balancers choose draining backend servers for new flows."""
    DeploymentView.list_ready = lambda self, service: list(  # type: ignore[method-assign]
        self.by_service.get(service, ())
    )


def ignore_evacuations() -> None:
    """Make balancers and agents ignore all requests to evacuate a zone."""
    Evacuations.merge = lambda self, entries: False  # type: ignore[method-assign]


def ignore_configuration_edits() -> None:
    """Make balancers ignore all configurations but the first."""
    accept = DeploymentView.accept_configuration

    def accept_first(
        self: DeploymentView, configuration: Any, *, is_next_version: bool = False
    ) -> bool:
        return self.configuration is None and accept(self, configuration)

    DeploymentView.accept_configuration = accept_first  # type: ignore[method-assign]


def mix_services() -> None:
    """Make balancers choose servers of any service, and agents accept all packets."""
    DeploymentView.list_ready = lambda self, service: self.list_servers()  # type: ignore[method-assign]
    handle = AgentFlows.handle_forwarded

    def handle_any(self: AgentFlows, message: Any, *rest: Any) -> Any:
        return handle(self, message._replace(service=self.service), *rest)

    AgentFlows.handle_forwarded = handle_any  # type: ignore[method-assign, assignment]


def corrupt_answers() -> None:
    """Make agents change the last byte of each packet of an answer."""
    deliver = ForwarderProcess._deliver_to_caller

    def deliver_corrupted(self: ForwarderProcess, packet: Any, raw: bytes) -> None:
        deliver(self, packet, raw[:-1] + b"?" if packet.payload_bytes else raw)

    ForwarderProcess._deliver_to_caller = deliver_corrupted  # type: ignore[method-assign]


def exit_unexpectedly() -> None:
    """Make balancers and agents exit by themselves after HEALTHY_S."""
    original = ForwarderProcess._detect_pause
    started_s = time.monotonic()

    def exit_later(self: ForwarderProcess) -> None:
        if time.monotonic() - started_s > HEALTHY_S:
            os._exit(3)
        original(self)

    ForwarderProcess._detect_pause = exit_later  # type: ignore[method-assign]


def stop_forwarding() -> None:
    """Make balancers drop all packets after HEALTHY_S."""
    handle = BalancerFlows.handle_packet
    started_s = time.monotonic()

    def handle_until_failure(self: BalancerFlows, packet: Any) -> Any:
        is_late = time.monotonic() - started_s > HEALTHY_S
        return [] if is_late else handle(self, packet)

    BalancerFlows.handle_packet = handle_until_failure  # type: ignore[method-assign]


def mix_agents() -> None:
    """Make balancers send packets of open flows to any agent, and agents deliver them.

    Openings go where they belong.
    """
    deliver_to_agent = BalancerProcess.send

    def send_anywhere(self: BalancerProcess, ip: str, message: Any) -> None:
        agents = [server.address.ip for server in self.view.list_servers()]
        if type(message) is ForwardedPacket and agents:
            packet = decode_caller_packet(message.raw)
            others = [agent for agent in agents if agent != ip]
            if not packet.is_opening and packet.payload_bytes:
                ip = self.rng.choice(others)
        deliver_to_agent(self, ip, message)

    handle = AgentFlows.handle_forwarded

    def deliver(self: AgentFlows, message: Any, packet: Any, balancer: str) -> Any:
        if packet.is_opening or not packet.payload_bytes:
            return handle(self, message, packet, balancer)
        return [DeliverToServer(packet.raw)]

    BalancerProcess.send = send_anywhere  # type: ignore[assignment,method-assign]
    AgentFlows.handle_forwarded = deliver  # type: ignore[method-assign]


DEFECTS: dict[str, Callable[[], None]] = {
    "live flows": deny_every_flow,
    "leaving servers": use_draining_servers,
    "edits": ignore_configuration_edits,
    "own service": mix_services,
    "whole answers": corrupt_answers,
    "processes": exit_unexpectedly,
    "recovery": stop_forwarding,
    "own server": mix_agents,
    "evacuated zones": ignore_evacuations,
}
"""The defect that breaks each promise.

There is none for "at most once": no defect of a balancer or an agent can make a request
run twice, because a backend server recognizes duplicate bytes of a flow and no other
backend server has the flow.
"""


if __name__ == "__main__":
    DEFECTS[sys.argv[1]]()
    sys.exit(_faulty_launch.main(sys.argv[2:]))
