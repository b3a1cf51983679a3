"""The daemon: a balancer or an agent, depending on its settings."""

from citronwinch.daemon._agent_process import AgentProcess
from citronwinch.daemon._balancer_process import BalancerProcess
from citronwinch.daemon._main import create_process, main

__all__ = ["AgentProcess", "BalancerProcess", "create_process", "main"]
