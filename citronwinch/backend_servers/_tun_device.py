"""A layer-3 device of the kernel (TUN): whole IP packets through a file."""

import contextlib
import fcntl
import os
import struct
from typing import Protocol

import trio

CLONE_DEVICE = "/dev/net/tun"
"""The file through which a device is opened."""

PACKET_LIMIT_BYTES = 65_535
"""The longest packet that is read, in bytes."""

BATCH_LIMIT = 64
"""The most packets that one read returns."""

_TUNSETIFF = 0x400454CA
_IFF_TUN = 0x0001
_IFF_NO_PI = 0x1000
_REQUEST = struct.Struct("16sH22x")


class PacketDevice(Protocol):
    """Something that takes and gives whole IP packets; tests use a fake one."""

    def send(self, packet: bytes) -> bool:
        """Hand a packet to the instance; return False when it was not taken."""
        ...

    async def receive(self) -> list[bytes]:
        """Wait for packets that the instance sends through the device."""
        ...


class TunDevice:
    """An open TUN device. The instance's owner creates it and routes through it."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.file = os.open(CLONE_DEVICE, os.O_RDWR | os.O_NONBLOCK)
        try:
            request = _REQUEST.pack(name.encode(), _IFF_TUN | _IFF_NO_PI)
            fcntl.ioctl(self.file, _TUNSETIFF, request)
        except OSError:
            os.close(self.file)
            raise

    def send(self, packet: bytes) -> bool:
        """Hand a packet to the instance; return False when it was not taken."""
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
