"""A small HTTP/1.1 server and client on trio, with the protocol left to h11."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple
from urllib.parse import parse_qsl, urlsplit

import h11
import trio

from citronwinch.coordination import Endpoint

READ_BYTES = 65_536
"""How much is read from a connection at once, in bytes."""

BODY_LIMIT_BYTES = 4 << 20
"""The longest body that a client takes, in bytes."""

REQUEST_TIMEOUT_SECONDS = 120.0
"""The longest that a server keeps one connection."""


class HttpRequest(NamedTuple):
    """A request as a handler sees it."""

    method: str
    """The method, in capitals."""

    path: str
    """The path without the query."""

    query: dict[str, str]
    """The query parameters; the last value of a repeated one."""


class HttpResponse(NamedTuple):
    """What a handler answers."""

    status: int
    """The status code."""

    body: bytes
    """The body."""

    content_type: str = "application/json"
    """The type of the body."""


class HttpError(Exception):
    """A request that got no usable answer; names the step and the peer."""

    def __init__(self, step: str, peer: Endpoint, reason: str) -> None:
        super().__init__(f"{step} {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
"""Answers one request."""


async def serve(endpoint: Endpoint, handler: Handler) -> None:
    """Serve HTTP on an endpoint until cancelled."""

    async def serve_connection(stream: trio.SocketStream) -> None:
        with trio.move_on_after(REQUEST_TIMEOUT_SECONDS):
            await _serve_one(stream, handler)

    await trio.serve_tcp(serve_connection, endpoint.port, host=endpoint.ip)


async def _serve_one(stream: trio.SocketStream, handler: Handler) -> None:
    connection = h11.Connection(h11.SERVER)
    try:
        async with stream:
            event = await _next_event(connection, stream)
            if isinstance(event, h11.Request):
                response = await handler(_parse_request(event))
                await stream.send_all(_encode_response(connection, response))
    except (h11.RemoteProtocolError, trio.BrokenResourceError, ValueError):
        return


def _parse_request(event: h11.Request) -> HttpRequest:
    parts = urlsplit(event.target.decode("ascii", "replace"))
    query = dict(parse_qsl(parts.query))
    return HttpRequest(event.method.decode("ascii"), parts.path, query)


def _encode_response(connection: h11.Connection, response: HttpResponse) -> bytes:
    headers = [
        ("Content-Type", response.content_type),
        ("Content-Length", str(len(response.body))),
        ("Connection", "close"),
    ]
    events = (
        h11.Response(status_code=response.status, headers=headers),
        h11.Data(data=response.body),
        h11.EndOfMessage(),
    )
    return b"".join(connection.send(event) or b"" for event in events)


async def fetch(endpoint: Endpoint, target: str, timeout_ms: int) -> HttpResponse:
    """GET a target from an endpoint; raise HttpError when there is no answer."""
    try:
        with trio.fail_after(timeout_ms / 1000):
            stream = await trio.open_tcp_stream(endpoint.ip, endpoint.port)
            async with stream:
                return await _exchange(stream, endpoint, target)
    except trio.TooSlowError:
        raise HttpError("read", endpoint, f"no answer in {timeout_ms} ms") from None
    except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError) as error:
        raise HttpError("read", endpoint, str(error) or "failed") from error


async def _exchange(
    stream: trio.SocketStream, endpoint: Endpoint, target: str
) -> HttpResponse:
    connection = h11.Connection(h11.CLIENT)
    headers = [("Host", str(endpoint)), ("Connection", "close")]
    request = h11.Request(method="GET", target=target, headers=headers)
    await stream.send_all(connection.send(request) or b"")
    connection.send(h11.EndOfMessage())
    status, content_type, body = 0, "", bytearray()
    while True:
        event = await _next_event(connection, stream)
        if isinstance(event, h11.Response):
            status = event.status_code
            content_type = dict(event.headers).get(b"content-type", b"").decode()
        elif isinstance(event, h11.Data):
            body += event.data
        else:
            return HttpResponse(status, bytes(body), content_type)
        if len(body) > BODY_LIMIT_BYTES:
            raise HttpError("read", endpoint, f"body over {BODY_LIMIT_BYTES} bytes")


async def _next_event(
    connection: h11.Connection, stream: trio.SocketStream
) -> h11.Event | type[h11.PAUSED]:
    while True:
        event = connection.next_event()
        if not isinstance(event, type) or event is h11.PAUSED:
            return event
        connection.receive_data(await stream.receive_some(READ_BYTES))
