"""TCP connection checks that tell a closed port from a silent host."""

import trio

from citronwinch.coordination import Endpoint
from citronwinch.coordination.flows import ServerCheck


async def try_connection(endpoint: Endpoint, timeout_ms: int) -> ServerCheck:
    """Open and close a TCP connection; return how the endpoint reacted.

    That is ACCEPTED, REFUSED when the connection was refused, SILENT after a timeout,
    and FAILED after any other error.
    """
    try:
        with trio.fail_after(timeout_ms / 1000):
            stream = await trio.open_tcp_stream(endpoint.ip, endpoint.port)
            await stream.aclose()
            return ServerCheck.ACCEPTED
    except trio.TooSlowError:
        return ServerCheck.SILENT
    except OSError as error:
        causes = [error, error.__cause__, *getattr(error.__cause__, "exceptions", ())]
        is_refused = any(isinstance(cause, ConnectionRefusedError) for cause in causes)
        return ServerCheck.REFUSED if is_refused else ServerCheck.FAILED
