"""Runs the process that the platform's settings file describes."""

import os
import sys
from pathlib import Path

from citronwinch.forwarder import run_forwarder
from citronwinch.platform import SETTINGS_FILE_VARIABLE


def main() -> int:
    """Run the process; return its exit code."""
    file = os.environ.get(SETTINGS_FILE_VARIABLE)
    if not file:
        print(f"{SETTINGS_FILE_VARIABLE} names no settings file", file=sys.stderr)
        return 2
    return run_forwarder(Path(file))


if __name__ == "__main__":
    sys.exit(main())
