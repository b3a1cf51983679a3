"""Starts a balancer or an agent, binding its sockets before the other imports.

Imports take longer than the rest of the startup. With the sockets bound first,
datagrams that arrive meanwhile are queued in the kernel instead of being lost, so that
callers need not resend them. This module imports only what is needed to bind the
sockets.
"""

import _signal  # type: ignore[import-not-found]
import _socket
import gc
import os
import sys

TYPE_CHECKING = False
if TYPE_CHECKING:
    import socket

    from citronwinch._start_image import ImageFinder

BUFFER_BYTES = 4 << 20
"""The requested size of a socket's kernel receive buffer, in bytes."""


def bind_early(text: str) -> dict[tuple[str, int], _socket.socket]:
    """Bind the UDP sockets that the settings name, and return them by address.

    Addresses that cannot be parsed or bound are left out. The settings are validated,
    and errors reported, after the imports.
    """
    values = _read_values(text)
    try:
        ip = values["listen", "ip"]
        peer_port = values["listen", "peer_ports"].partition(",")[0]
        packets = values["listen", "packets"]
        packets = values.get(("server", "outbound"), packets)
        addresses = [(ip, int(peer_port)), _split_address(packets)]
    except (KeyError, ValueError):
        return {}
    bound = {}
    for address in addresses:
        bound_socket = _socket.socket(_socket.AF_INET, _socket.SOCK_DGRAM)
        try:
            bound_socket.setsockopt(_socket.SOL_SOCKET, _socket.SO_RCVBUF, BUFFER_BYTES)
            bound_socket.bind(address)
            bound[address] = bound_socket
        except (OSError, OverflowError):
            bound_socket.close()
    return bound


def _read_values(text: str) -> dict[tuple[str, str], str]:
    """Return the values of an INI text by section and key.

    The import of `configparser` would take longer than everything else up to the
    binding. Values of several lines, which no address has, are cut off.
    """
    values = {}
    section = ""
    for line in map(str.strip, text.splitlines()):
        if line.startswith("[") and line.endswith("]"):
            section = line[1:-1]
        elif "=" in line and not line.startswith(("#", ";")):
            key, _, value = line.partition("=")
            values[section, key.strip().lower()] = value.strip()
    return values


def _split_address(text: str) -> tuple[str, int]:
    ip, _, port = text.strip().rpartition(":")
    return ip, int(port)


def wrap_sockets(
    bound: dict[tuple[str, int], _socket.socket],
) -> dict[tuple[str, int], "socket.socket"]:
    """Return bound sockets as those of the module that the first import loads."""
    import socket

    return {
        address: socket.socket(raw.family, raw.type, raw.proto, raw.detach())
        for address, raw in bound.items()
    }


def use_image(file: str) -> "tuple[ImageFinder | None, str]":
    """Have modules imported from a start image; else return why it is not used.

    A relative file is relative to the repository, wherever the process is started.
    """
    from citronwinch._start_image import ROOT, StartImageError, read_image

    try:
        image = read_image(os.path.join(ROOT, file))
    except StartImageError as error:
        return None, str(error)
    sys.meta_path.insert(0, image)
    return image, ""


def log_unused_image(file: str, reason: str) -> None:
    """Log once that a process started without its image."""
    import structlog

    from citronwinch.operators import configure_logging

    configure_logging("json", sys.stdout)
    structlog.get_logger().warning("start_image_unused", file=file, reason=reason)


def main(arguments: list[str]) -> int:
    """Run the process whose settings file the given environment variable names.

    The optional second argument is a start image.
    """
    # SIGHUP requests a reload. It must not end the process before the handler is set.
    _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
    if len(arguments) not in (1, 2):
        print("usage: python3 -m citronwinch.launch VARIABLE [IMAGE]", file=sys.stderr)
        return 2
    variable, *image_files = arguments
    file = os.environ.get(variable)
    if not file:
        print(f"{variable} names no settings file", file=sys.stderr)
        return 2
    try:
        with open(file, encoding="utf-8") as stream:
            text = stream.read()
    except (OSError, UnicodeDecodeError) as error:
        print(f"{file}: cannot be read: {error}", file=sys.stderr)
        return 2
    bound = bind_early(text)
    # Collections during the imports would free nothing, but delay the start.
    gc.disable()
    image, problem = use_image(image_files[0]) if image_files else (None, "")
    from citronwinch._compiled_texts import CompiledTexts, use_compiled_texts
    from citronwinch._deferred_imports import defer_modules, skip_library_search

    defer_modules(image)
    if image is not None:
        use_compiled_texts(CompiledTexts(image.texts))
    with skip_library_search():
        from trio import run  # noqa: F401
    from citronwinch.forwarder import run_forwarder

    if problem:
        log_unused_image(image_files[0], problem)
    return run_forwarder(text, file, wrap_sockets(bound))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
