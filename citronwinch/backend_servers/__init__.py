"""Delivery of packets to a backend server, and the request header of payloads."""

from citronwinch.backend_servers._delivery import Delivery, Reply
from citronwinch.backend_servers._local_ports import (
    NO_LOCAL_PORTS,
    LocalPorts,
    LocalPortsError,
    read_local_ports,
)
from citronwinch.backend_servers._request_header import (
    HEADER_BYTES,
    add_request_header,
    read_request_header,
)
from citronwinch.backend_servers._tun_delivery import TunDelivery
from citronwinch.backend_servers._tun_device import PacketDevice, TunDevice
from citronwinch.backend_servers._udp_delivery import UdpDelivery

__all__ = [
    "Delivery",
    "HEADER_BYTES",
    "LocalPorts",
    "LocalPortsError",
    "NO_LOCAL_PORTS",
    "PacketDevice",
    "Reply",
    "TunDelivery",
    "TunDevice",
    "UdpDelivery",
    "add_request_header",
    "read_local_ports",
    "read_request_header",
]
