"""What an instance lacks for the settings of its daemon."""

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
"""Holds the largest receive buffer that a socket may ask for, in bytes."""

FILES_BESIDE_FLOWS = 64
"""The open files that an agent needs beside one for each flow."""

EXPECTED_FLOWS = 2_000
"""The flows that an agent has to hold at least."""


def find_lacks(settings: Settings) -> list[str]:
    """Return what the instance lacks, one sentence each."""
    lacks = [
        *_find_address_lack("[listen] peers", settings.peer_address, is_tcp=False),
        *_find_address_lack("[listen] http", settings.http_address, is_tcp=True),
    ]
    if settings.fabric_address is not None:
        fabric = settings.fabric_address
        lacks += _find_address_lack("[listen] fabric", fabric, is_tcp=False)
    lacks += _find_buffer_lack()
    if settings.role is InstanceRole.AGENT:
        lacks += _find_tun_lack(settings.tun_device)
        lacks += _find_open_files_lack()
    return lacks


def _find_address_lack(place: str, endpoint: Endpoint, *, is_tcp: bool) -> list[str]:
    """Bind and close at once; say why that fails."""
    family = socket.AF_INET6 if ":" in endpoint.ip else socket.AF_INET
    kind = socket.SOCK_STREAM if is_tcp else socket.SOCK_DGRAM
    try:
        with socket.socket(family, kind) as link:
            if is_tcp:
                link.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            link.bind((endpoint.ip, endpoint.port))
    except OSError as error:
        return [f"{place}: {endpoint} cannot be listened on: {error.strerror}"]
    return []


def _find_buffer_lack() -> list[str]:
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


def _find_tun_lack(device: str) -> list[str]:
    """Say why TCP services cannot be delivered, if they cannot."""
    purpose = "TCP services cannot be delivered here, UDP services can"
    if not TUN_CLONE_DEVICE.exists():
        return [f"no TUN device: {TUN_CLONE_DEVICE} is absent; {purpose}"]
    if not os.access(TUN_CLONE_DEVICE, os.R_OK | os.W_OK):
        return [f"no TUN device: {TUN_CLONE_DEVICE} cannot be opened; {purpose}"]
    if device and not Path(f"/sys/class/net/{device}").exists():
        return [f"[delivery] tun_device: there is no device {device}; {purpose}"]
    if not device:
        return [f"[delivery] tun_device is not set; {purpose}"]
    return []


def _find_open_files_lack() -> list[str]:
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = EXPECTED_FLOWS + FILES_BESIDE_FLOWS
    if soft == resource.RLIM_INFINITY or soft >= needed:
        return []
    return [f"open files are limited to {soft}; {EXPECTED_FLOWS} flows need {needed}"]
