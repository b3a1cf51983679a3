"""A layer-3 (TUN) device of the kernel, which exchanges whole IP packets."""

import contextlib
import fcntl
import os
import struct
from typing import Protocol

import trio

TUN_CLONE_DEVICE = "/dev/net/tun"
"""The device file that creates or attaches to a TUN device when opened."""

PACKET_LIMIT_BYTES = 65_535
"""The longest packet that is read, in bytes."""

BATCH_LIMIT = 64
"""The highest number of packets that one read returns."""

_TUNSETIFF = 0x400454CA
_IFF_TUN = 0x0001
_IFF_NO_PI = 0x1000
# The kernel's `struct ifreq` for TUNSETIFF: the interface's name, flags and padding.
_INTERFACE_REQUEST = struct.Struct("16sH22x")


class PacketDevice(Protocol):
    """A device that sends and receives whole IP packets; tests use a fake one."""

    def send(self, packet: bytes) -> bool:
        """Pass a packet to the kernel; return False when the kernel rejects it."""
        ...

    async def receive(self) -> list[bytes]:
        """Wait for packets that the kernel routes to the device."""
        ...


class TunDevice:
    """An open TUN device.

    The operator of the instance creates the device and the routes through it.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.file = os.open(TUN_CLONE_DEVICE, os.O_RDWR | os.O_NONBLOCK)
        try:
            interface_request = _INTERFACE_REQUEST.pack(
                name.encode(), _IFF_TUN | _IFF_NO_PI
            )
            fcntl.ioctl(self.file, _TUNSETIFF, interface_request)
        except OSError:
            os.close(self.file)
            raise

    def send(self, packet: bytes) -> bool:
        """Pass a packet to the kernel; return False when the kernel rejects it."""
        try:
            return os.write(self.file, packet) == len(packet)
        except OSError:
            return False

    async def receive(self) -> list[bytes]:
        """Wait for packets and return up to BATCH_LIMIT of them."""
        await trio.lowlevel.wait_readable(self.file)
        packets: list[bytes] = []
        with contextlib.suppress(BlockingIOError):
            while len(packets) < BATCH_LIMIT:
                packets.append(os.read(self.file, PACKET_LIMIT_BYTES))
        return packets

    def close(self) -> None:
        """Close the device's file."""
        trio.lowlevel.notify_closing(self.file)
        os.close(self.file)
