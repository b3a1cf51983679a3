"""Runs a stand-in as a separate process."""

import argparse
from pathlib import Path

import trio

from citronwinch.coordination import Endpoint, MonotonicClock
from citronwinch.standins._backend_server import (
    BackendServerSettings,
    BackendServerStandin,
)
from citronwinch.standins._fabric import run_fabric
from citronwinch.standins._platform import run_platform


def main() -> None:
    """Parse the command line and run the stand-in until the process is ended."""
    parser = argparse.ArgumentParser(prog="python -m citronwinch.standins")
    kinds = parser.add_subparsers(dest="kind", required=True)
    platform = kinds.add_parser("platform")
    platform.add_argument("--listen", type=Endpoint.parse, required=True)
    platform.add_argument("--directory", type=Path, required=True)
    fabric = kinds.add_parser("fabric")
    fabric.add_argument("--service", type=Endpoint.parse, action="append")
    fabric.add_argument("--return-address", type=Endpoint.parse, required=True)
    fabric.add_argument("--platform", type=Endpoint.parse, required=True)
    fabric.add_argument("--seed", type=int, default=1)
    server = kinds.add_parser("backend-server")
    server.add_argument("--name", required=True)
    server.add_argument("--service", required=True)
    server.add_argument("--listen", type=Endpoint.parse, required=True)
    server.add_argument("--http", type=Endpoint.parse, required=True)
    server.add_argument("--slots", type=int, default=1)
    server.add_argument("--work-ms", type=int, default=1)
    options = parser.parse_args()
    if options.kind == "platform":
        trio.run(run_platform, options.listen, options.directory)
    elif options.kind == "fabric":
        trio.run(
            run_fabric,
            options.service,
            options.return_address,
            options.platform,
            options.seed,
        )
    else:
        settings = BackendServerSettings(
            options.name,
            options.service,
            options.listen,
            options.slots,
            options.work_ms,
        )
        trio.run(BackendServerStandin(settings, MonotonicClock()).run, options.http)


if __name__ == "__main__":
    main()
