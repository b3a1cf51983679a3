"""Sockets and HTTP shared by the adapters."""

from citronwinch.network._datagram_port import (
    BATCH_LIMIT,
    BUFFER_BYTES,
    Datagram,
    DatagramPort,
)
from citronwinch.network._http import HttpError, HttpRequest, HttpResponse, fetch, serve

__all__ = [
    "BATCH_LIMIT",
    "BUFFER_BYTES",
    "Datagram",
    "DatagramPort",
    "HttpError",
    "HttpRequest",
    "HttpResponse",
    "fetch",
    "serve",
]
