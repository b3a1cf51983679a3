"""Starts a balancer or an agent that breaks one promise on purpose.

The soak has to notice. A process starts with
`python -m citronwinch.soak.tests.broken_launch PROMISE VARIABLE`.
"""

import os
import sys
import time
from collections.abc import Callable
from typing import Any

from citronwinch import launch
from citronwinch.coordination.flows import (
    AgentFlows,
    BalancerFlows,
    DeploymentView,
    FlowAnswer,
    Verdict,
)
from citronwinch.forwarder._process import ForwarderProcess

SOUND_SECONDS = 4.0
"""For how long a process works before it ends or fails, in seconds."""


def deny_every_flow() -> None:
    """Let agents deny the flows that their servers hold."""
    AgentFlows.answer_question = lambda self, question: FlowAnswer(  # type: ignore[method-assign]
        question.flow, Verdict.ABSENT
    )


def use_leaving_servers() -> None:
    """Let balancers give new flows to servers that are about to leave."""
    DeploymentView.list_ready = lambda self, service: list(  # type: ignore[method-assign]
        self.by_service.get(service, ())
    )


def keep_the_first_configuration() -> None:
    """Let balancers ignore every edit."""
    accept = DeploymentView.accept_configuration

    def accept_first(self: DeploymentView, configuration: Any) -> bool:
        return self.configuration is None and accept(self, configuration)

    DeploymentView.accept_configuration = accept_first  # type: ignore[method-assign]


def mix_services() -> None:
    """Let flows go to servers of any service, and agents deliver them."""
    DeploymentView.list_ready = lambda self, service: self.list_servers()  # type: ignore[method-assign]
    handle = AgentFlows.handle_forwarded

    def handle_any(self: AgentFlows, message: Any, *rest: Any) -> Any:
        return handle(self, message._replace(service=self.service), *rest)

    AgentFlows.handle_forwarded = handle_any  # type: ignore[method-assign, assignment]


def damage_answers() -> None:
    """Let agents change the last byte of what a server answers."""
    deliver = ForwarderProcess._deliver_to_caller

    def deliver_damaged(self: ForwarderProcess, packet: Any, raw: bytes) -> None:
        deliver(self, packet, raw[:-1] + b"?" if packet.payload_bytes else raw)

    ForwarderProcess._deliver_to_caller = deliver_damaged  # type: ignore[method-assign]


def end_alone() -> None:
    """Let processes end without having been told to."""
    detect_pause = ForwarderProcess._detect_pause
    began = time.monotonic()

    def end_later(self: ForwarderProcess) -> None:
        if time.monotonic() - began > SOUND_SECONDS:
            os._exit(3)
        detect_pause(self)

    ForwarderProcess._detect_pause = end_later  # type: ignore[method-assign]


def stop_forwarding() -> None:
    """Let balancers drop every packet after a while."""
    handle = BalancerFlows.handle_packet
    began = time.monotonic()

    def handle_early(self: BalancerFlows, packet: Any) -> Any:
        is_late = time.monotonic() - began > SOUND_SECONDS
        return [] if is_late else handle(self, packet)

    BalancerFlows.handle_packet = handle_early  # type: ignore[method-assign]


BREACHES: dict[str, Callable[[], None]] = {
    "live flows": deny_every_flow,
    "leaving servers": use_leaving_servers,
    "edits": keep_the_first_configuration,
    "own service": mix_services,
    "whole answers": damage_answers,
    "processes": end_alone,
    "recovery": stop_forwarding,
}
"""How each promise is broken. A request cannot run twice by any fault of a process that
carries packets: a server knows the copies of a flow's bytes, and no other holds it."""


if __name__ == "__main__":
    BREACHES[sys.argv[1]]()
    sys.exit(launch.main(sys.argv[2:]))
