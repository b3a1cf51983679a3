"""Datagram sockets, TCP connection checks and HTTP shared by the other packages."""

from citronwinch.network._connection_check import try_connection
from citronwinch.network._datagram_socket import (
    BATCH_LIMIT,
    BUFFER_BYTES,
    Datagram,
    DatagramSocket,
)
from citronwinch.network._http import HttpError, HttpRequest, HttpResponse, fetch, serve
from citronwinch.network._malformed import MalformedMessageError
from citronwinch.network._packed_messages import read_packed_message

__all__ = [
    "BATCH_LIMIT",
    "BUFFER_BYTES",
    "Datagram",
    "DatagramSocket",
    "HttpError",
    "HttpRequest",
    "HttpResponse",
    "MalformedMessageError",
    "fetch",
    "read_packed_message",
    "serve",
    "try_connection",
]
