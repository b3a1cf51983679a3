"""Network endpoints and flow keys."""

import functools
import ipaddress
import struct
from enum import IntEnum
from typing import NamedTuple, NewType

FlowKey = NewType("FlowKey", bytes)
"""A flow's protocol and both endpoints, packed: 13 bytes for IPv4, 37 for IPv6."""

IPV4_KEY_LENGTH = 13
"""Length in bytes of the key of an IPv4 flow."""

_IPV4_LAYOUT = struct.Struct("!B4sH4sH")
_IPV6_LAYOUT = struct.Struct("!B16sH16sH")


class TransportProtocol(IntEnum):
    """The transport protocol of a service, by its IP protocol number."""

    TCP = 6
    UDP = 17


class Endpoint(NamedTuple):
    """An IP address with a port.

    Example::

        >>> str(Endpoint.parse("127.0.0.1:80")), str(Endpoint.parse("[::1]:80"))
        ('127.0.0.1:80', '[::1]:80')
    """

    ip: str
    """The address in its canonical text form."""

    port: int
    """The port, 1 to 65535; 0 asks the system for a free one."""

    @classmethod
    def parse(cls, text: str) -> "Endpoint":
        """Read `address:port` or `[address]:port`; raise ValueError with the reason."""
        host, separator, port_text = text.strip().rpartition(":")
        if not separator:
            raise ValueError(f"expected address:port, found {text!r}")
        if host.startswith("[") and host.endswith("]"):
            host = host[1:-1]
        elif ":" in host:
            raise ValueError(f"expected [address]:port for IPv6, found {text!r}")
        try:
            ip = str(ipaddress.ip_address(host))
        except ValueError:
            raise ValueError(f"expected an IP number, found {host!r}") from None
        if not (port_text.isascii() and port_text.isdigit() and len(port_text) <= 5):
            raise ValueError(f"expected a port number, found {port_text!r:.20}")
        port = int(port_text)
        if port > 65535:
            raise ValueError(f"expected a port up to 65535, found {port}")
        return cls(ip, port)

    def __str__(self) -> str:
        return (
            f"[{self.ip}]:{self.port}" if ":" in self.ip else f"{self.ip}:{self.port}"
        )


class Flow(NamedTuple):
    """A flow as its caller addresses it: one protocol and two endpoints."""

    protocol: TransportProtocol
    """The transport protocol."""

    caller: Endpoint
    """The address and port that the caller sends from."""

    service: Endpoint
    """The service address that the caller sends to."""

    @property
    def key(self) -> FlowKey:
        """The packed form, used as dictionary key and for hashing."""
        return pack_flow_key(
            self.protocol,
            pack_ip(self.caller.ip),
            self.caller.port,
            pack_ip(self.service.ip),
            self.service.port,
        )


@functools.lru_cache(maxsize=4096)
def pack_ip(ip: str) -> bytes:
    """Return the 4 or 16 bytes of an IP number."""
    return ipaddress.ip_address(ip).packed


def pack_flow_key(
    protocol: int,
    caller_ip: bytes,
    caller_port: int,
    service_ip: bytes,
    service_port: int,
) -> FlowKey:
    """Pack the parts of a flow into its key."""
    layout = _IPV4_LAYOUT if len(caller_ip) == 4 else _IPV6_LAYOUT
    return FlowKey(
        layout.pack(protocol, caller_ip, caller_port, service_ip, service_port)
    )


def unpack_flow_key(key: FlowKey) -> Flow:
    """Return the flow of a packed key; raise ValueError when the key is malformed.

    Example::

        >>> flow = Flow(
        ...     TransportProtocol.UDP,
        ...     Endpoint("192.0.2.1", 4000),
        ...     Endpoint("192.0.2.9", 53),
        ... )
        >>> unpack_flow_key(flow.key) == flow
        True
    """
    if len(key) not in (_IPV4_LAYOUT.size, _IPV6_LAYOUT.size):
        raise ValueError(f"expected a flow key of 13 or 37 bytes, found {len(key)}")
    layout = _IPV4_LAYOUT if len(key) == _IPV4_LAYOUT.size else _IPV6_LAYOUT
    protocol, caller_ip, caller_port, service_ip, service_port = layout.unpack(key)
    return Flow(
        TransportProtocol(protocol),
        Endpoint(str(ipaddress.ip_address(caller_ip)), caller_port),
        Endpoint(str(ipaddress.ip_address(service_ip)), service_port),
    )


def extract_service_endpoint(key: FlowKey) -> bytes:
    """Return the part of a flow key that identifies the service endpoint.

    The part holds the protocol byte and the packed service endpoint.
    """
    return key[:1] + key[7:] if len(key) == IPV4_KEY_LENGTH else key[:1] + key[19:]


def pack_service_endpoint(protocol: TransportProtocol, service: Endpoint) -> bytes:
    """Return what `extract_service_endpoint` returns for flows to this endpoint."""
    return bytes([protocol]) + pack_ip(service.ip) + struct.pack("!H", service.port)
