"""Checks that an instance meets the requirements of its daemon's settings."""

import os
import resource
import socket
from pathlib import Path

from citronwinch.coordination import Endpoint, InstanceRole
from citronwinch.network import BUFFER_BYTES
from citronwinch.operators import Settings

TUN_CLONE_DEVICE = Path("/dev/net/tun")
"""The file through which a process opens a TUN device."""

RECEIVE_BUFFER_LIMIT = Path("/proc/sys/net/core/rmem_max")
"""The file with the largest receive buffer that a socket may request, in bytes."""

OTHER_OPEN_FILES = 64
"""Open files that an agent needs in addition to one for each flow."""

REQUIRED_FLOWS = 2_000
"""Number of flows that an agent must be able to hold."""


def check_instance(settings: Settings) -> list[str]:
    """Return a sentence for each requirement that the instance does not meet."""
    problems = [
        *_check_address("[listen] peers", settings.peer_address, is_tcp=False),
        *_check_address("[listen] http", settings.http_address, is_tcp=True),
    ]
    if settings.fabric_address is not None:
        fabric = settings.fabric_address
        problems += _check_address("[listen] fabric", fabric, is_tcp=False)
    problems += _check_receive_buffer()
    if settings.role is InstanceRole.AGENT:
        problems += _check_tun_device(settings.tun_device)
        problems += _check_open_files()
    return problems


def _check_address(place: str, endpoint: Endpoint, *, is_tcp: bool) -> list[str]:
    """Check that an address can be bound."""
    family = socket.AF_INET6 if ":" in endpoint.ip else socket.AF_INET
    kind = socket.SOCK_STREAM if is_tcp else socket.SOCK_DGRAM
    try:
        with socket.socket(family, kind) as probe_socket:
            if is_tcp:
                probe_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe_socket.bind((endpoint.ip, endpoint.port))
    except OSError as error:
        return [f"{place}: {endpoint} cannot be listened on: {error.strerror}"]
    return []


def _check_receive_buffer() -> list[str]:
    try:
        limit = int(RECEIVE_BUFFER_LIMIT.read_text())
    except (OSError, ValueError):
        return []
    if limit >= BUFFER_BYTES:
        return []
    return [
        f"receive buffers are limited to {limit} bytes, {BUFFER_BYTES} are asked for: "
        "bursts lose packets (sysctl net.core.rmem_max)"
    ]


def _check_tun_device(device: str) -> list[str]:
    """Check that TCP segments can be delivered through a TUN device."""
    consequence = "TCP services cannot be delivered here, UDP services can"
    if not TUN_CLONE_DEVICE.exists():
        return [f"no TUN device: {TUN_CLONE_DEVICE} is absent; {consequence}"]
    if not os.access(TUN_CLONE_DEVICE, os.R_OK | os.W_OK):
        return [f"no TUN device: {TUN_CLONE_DEVICE} cannot be opened; {consequence}"]
    if device and not Path(f"/sys/class/net/{device}").exists():
        return [f"[delivery] tun_device: there is no device {device}; {consequence}"]
    if not device:
        return [f"[delivery] tun_device is not set; {consequence}"]
    return []


def _check_open_files() -> list[str]:
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = REQUIRED_FLOWS + OTHER_OPEN_FILES
    if soft_limit == resource.RLIM_INFINITY or soft_limit >= needed:
        return []
    return [
        f"open files are limited to {soft_limit}; {REQUIRED_FLOWS} flows need {needed}"
    ]
