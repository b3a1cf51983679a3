"""Backend servers as a peer: delivery and the request header."""

from citronwinch.backend_servers._request_header import (
    HEADER_BYTES,
    add_request_header,
    read_request_header,
)
from citronwinch.backend_servers._udp_delivery import Reply, UdpDelivery

__all__ = [
    "HEADER_BYTES",
    "Reply",
    "UdpDelivery",
    "add_request_header",
    "read_request_header",
]
