"""A small HTTP/1.1 server and client on trio; h11 implements the protocol."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType
from typing import NamedTuple
from urllib.parse import parse_qsl, urlsplit

import h11
import structlog
import trio

from citronwinch.coordination import Endpoint

READ_BYTES = 65_536
"""The highest number of bytes that one read from a connection returns."""

BODY_LIMIT_BYTES = 4 << 20
"""The longest response body that the client accepts, in bytes."""

REQUEST_TIMEOUT_S = 120.0
"""The time after which the server closes a connection, in seconds."""


class HttpRequest(NamedTuple):
    """A request that a handler answers."""

    method: str
    """The method, such as `GET`."""

    path: str
    """The path without the query."""

    query: dict[str, str]
    """The query parameters; a repeated parameter has its last value."""


class HttpResponse(NamedTuple):
    """A response that a handler returns, or that `fetch` received."""

    status: int
    """The status code."""

    body: bytes
    """The body."""

    content_type: str = "application/json"
    """The media type of the body."""

    headers: Mapping[str, str] = MappingProxyType({})
    """Other headers; `fetch` returns all that it received, with lower-case names."""


class HttpError(Exception):
    """A request failed without a usable response.

    The message names the failed step, the peer and the reason.
    """

    def __init__(self, step: str, peer: Endpoint, reason: str) -> None:
        super().__init__(f"{step} {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason


CONNECTION_LIMIT = 4_096
"""The highest number of connections that a server has open at the same time."""

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
"""A function that answers one request."""


def ignore_error(reason: str) -> None:
    """Ignore the reason for which a request was not answered."""


async def serve(
    endpoint: Endpoint,
    handler: Handler,
    on_error: Callable[[str], None] = ignore_error,
) -> None:
    """Serve HTTP on an endpoint until cancelled.

    A malformed request or an error in the handler ends only its own connection.
    `on_error` is called with the reason: `malformed`, `connection`, `handler`,
    `timeout` or `limit`.
    """
    open_connections = 0

    async def serve_connection(stream: trio.SocketStream) -> None:
        nonlocal open_connections
        if open_connections >= CONNECTION_LIMIT:
            on_error("limit")
            await trio.aclose_forcefully(stream)
            return
        open_connections += 1
        with trio.move_on_after(REQUEST_TIMEOUT_S) as scope:
            await _serve_request(stream, handler, on_error)
        open_connections -= 1
        if scope.cancelled_caught:
            on_error("timeout")

    await trio.serve_tcp(serve_connection, endpoint.port, host=endpoint.ip)


async def _serve_request(
    stream: trio.SocketStream, handler: Handler, on_error: Callable[[str], None]
) -> None:
    connection = h11.Connection(h11.SERVER)
    try:
        async with stream:
            request = await _read_request(connection, stream)
            if request is not None:
                response = await _call_handler(handler, request, on_error)
                is_head = request.method == "HEAD"
                data = _encode_response(connection, response, with_body=not is_head)
                await stream.send_all(data)
    except (h11.ProtocolError, ValueError):
        on_error("malformed")
    except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
        on_error("connection")


async def _read_request(
    connection: h11.Connection, stream: trio.SocketStream
) -> HttpRequest | None:
    """Return the request, None when the client closes without sending one.

    For a malformed request, a response with status 400 is sent before the error is
    raised.
    """
    try:
        event = await _next_event(connection, stream)
        return _parse_request(event) if isinstance(event, h11.Request) else None
    except (h11.RemoteProtocolError, ValueError):
        if connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            response = HttpResponse(400, b'{"error":"malformed request"}')
            data = _encode_response(connection, response, with_body=True)
            await stream.send_all(data)
        raise


async def _call_handler(
    handler: Handler, request: HttpRequest, on_error: Callable[[str], None]
) -> HttpResponse:
    try:
        return await handler(request)
    except Exception:
        on_error("handler")
        structlog.get_logger().exception("http_handler_failed", path=request.path)
        return HttpResponse(500, b'{"error":"internal error"}')


def _parse_request(event: h11.Request) -> HttpRequest:
    parts = urlsplit(event.target.decode("ascii", "replace"))
    query = dict(parse_qsl(parts.query))
    return HttpRequest(event.method.decode("ascii"), parts.path, query)


def _encode_response(
    connection: h11.Connection, response: HttpResponse, *, with_body: bool
) -> bytes:
    headers = [
        ("Content-Type", response.content_type),
        ("Content-Length", str(len(response.body))),
        ("Connection", "close"),
        *response.headers.items(),
    ]
    head = h11.Response(status_code=response.status, headers=headers)
    data = connection.send(head) or b""
    if with_body:
        data += connection.send(h11.Data(data=response.body)) or b""
    return data + (connection.send(h11.EndOfMessage()) or b"")


async def fetch(endpoint: Endpoint, target: str, timeout_ms: int) -> HttpResponse:
    """Send a GET request and return the response.

    Raise HttpError when no complete response arrives within the timeout.
    """
    try:
        with trio.fail_after(timeout_ms / 1000):
            stream = await trio.open_tcp_stream(endpoint.ip, endpoint.port)
            async with stream:
                return await _send_request(stream, endpoint, target)
    except trio.TooSlowError:
        raise HttpError("read", endpoint, f"no answer in {timeout_ms} ms") from None
    except (
        OSError,
        ValueError,
        trio.BrokenResourceError,
        trio.ClosedResourceError,
        h11.ProtocolError,
    ) as error:
        raise HttpError("read", endpoint, str(error) or "failed") from error


async def _send_request(
    stream: trio.SocketStream, endpoint: Endpoint, target: str
) -> HttpResponse:
    connection = h11.Connection(h11.CLIENT)
    headers = [("Host", str(endpoint)), ("Connection", "close")]
    request = h11.Request(method="GET", target=target, headers=headers)
    await stream.send_all(connection.send(request) or b"")
    connection.send(h11.EndOfMessage())
    status, headers_by_name, body = 0, dict[str, str](), bytearray()
    while True:
        event = await _next_event(connection, stream)
        if isinstance(event, h11.Response):
            status = event.status_code
            headers_by_name = {
                name.decode("latin-1"): value.decode("latin-1")
                for name, value in event.headers
            }
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.InformationalResponse):
            continue
        elif not isinstance(event, h11.EndOfMessage):
            raise HttpError(
                "read", endpoint, "connection closed before the response was complete"
            )
        else:
            content_type = headers_by_name.get("content-type", "")
            return HttpResponse(status, bytes(body), content_type, headers_by_name)
        if len(body) > BODY_LIMIT_BYTES:
            raise HttpError(
                "read", endpoint, f"response body exceeds {BODY_LIMIT_BYTES} bytes"
            )


async def _next_event(
    connection: h11.Connection, stream: trio.SocketStream
) -> h11.Event | type[h11.PAUSED]:
    while True:
        event = connection.next_event()
        if not isinstance(event, type) or event is h11.PAUSED:
            return event
        connection.receive_data(await stream.receive_some(READ_BYTES))
