"""Startup failures: a reload signal before its handler, missing files and addresses."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from citronwinch.forwarder.tests.test_settings import fill_template
from citronwinch.launch import main

VARIABLE = "CITRONWINCH_TEST_SETTINGS"


def start(file: Path) -> subprocess.Popen[bytes]:
    return subprocess.Popen(
        [sys.executable, "-m", "citronwinch.launch", VARIABLE],
        env=os.environ | {VARIABLE: str(file)},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
    )


def test_a_reload_signal_during_startup_does_not_end_the_process(
    tmp_path: Path,
) -> None:
    # A FIFO blocks the process while it reads its settings, before its imports.
    file = tmp_path / "local.ini"
    os.mkfifo(file)
    process = start(file)
    try:
        with file.open("w") as stream:
            process.send_signal(signal.SIGHUP)
            time.sleep(0.05)
            assert process.poll() is None
            stream.write("[listen]\nip = nowhere\n")
        assert process.wait(20) == 2
    finally:
        process.kill()
        process.wait()


@pytest.mark.parametrize(
    "arguments", [[], ["A", "B"], ["A", "B", "C"], ["CITRONWINCH_NOT_SET"]]
)
def test_a_missing_settings_file_is_a_usage_error(arguments: list[str]) -> None:
    assert main(arguments) == 2


def test_an_unbindable_address_is_reported_in_one_line(tmp_path: Path) -> None:
    file = tmp_path / "local.ini"
    file.write_text(fill_template("agent"))
    process = start(file)
    _, error = process.communicate(timeout=20)
    assert process.returncode == 1
    assert b"cannot listen" in error
    assert error.count(b"\n") == 1
