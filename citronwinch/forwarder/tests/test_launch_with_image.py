"""Processes that start with a start image, and with one that cannot be used.

A process that fails because of its image is noticed only on a deployment.
"""

import json
import os
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from citronwinch._start_image import (
    HEADER_BYTES,
    MAGIC,
    ImageFinder,
    StartImageError,
    format_image,
    read_image,
)
from citronwinch.benches._launched_process import (
    VARIABLE,
    Peers,
    choose_addresses,
    format_python_path,
    format_settings,
    start_process,
)
from citronwinch.benches._packet_mix import LIST_STEPS_BY_ROLE

SEED = 63
"""Determines the loopback network of these tests."""


MEMORY_LIMIT_KB = 100 << 10
"""The memory of a small instance, and the size of a large image, in KiB."""

CHANGES_BY_CASE: dict[str, tuple[Callable[[bytes], bytes], str]] = {
    "empty": (lambda data: b"", "expected a start image of this version"),
    "truncated header": (lambda data: data[:HEADER_BYTES], "content differs"),
    "truncated": (lambda data: data[:-1], "content differs"),
    "one byte changed": (
        lambda data: data[:5_000] + bytes([data[5_000] ^ 1]) + data[5_001:],
        "content differs",
    ),
    "another format": (
        lambda data: data.replace(b"image 2", b"image 1", 1),
        "expected a start image of this version",
    ),
    "another interpreter": (
        lambda data: MAGIC + bytes(8) + data[len(MAGIC) + 8 :],
        f"expected an image of Python {sys.version.split()[0]}",
    ),
}
"""Images that are not used: how the content is changed, and the reason."""


@pytest.mark.parametrize("case", CHANGES_BY_CASE)
def test_an_unusable_image_is_refused(
    case: str, image_file: Path, tmp_path: Path
) -> None:
    change, reason = CHANGES_BY_CASE[case]
    file = tmp_path / "changed.image"
    file.write_bytes(change(image_file.read_bytes()))
    with pytest.raises(StartImageError, match=reason):
        read_image(str(file))


def test_a_missing_image_is_refused(tmp_path: Path) -> None:
    with pytest.raises(StartImageError, match="cannot be read: No such file"):
        read_image(str(tmp_path / "missing.image"))


@pytest.fixture
def peers() -> Iterator[Peers]:
    opened = Peers(choose_addresses(SEED))
    try:
        yield opened
    finally:
        opened.close()


@contextmanager
def run_agent(
    peers: Peers, directory: Path, image: Path
) -> Iterator[subprocess.Popen[bytes]]:
    """Start an agent, have it handle an opening, and run it during the block."""
    opening = LIST_STEPS_BY_ROLE["agent"](0, peers.addresses.caller)[0]
    with start_process("agent", peers.addresses, directory, image) as process:
        for _ in range(10):
            peers.send_to_peer_socket(opening.data)
            if peers.receive(peers.server):
                break
            log = (directory / "agent.log").read_text()
            assert process.poll() is None, f"expected a running agent:\n{log}"
        else:
            raise AssertionError("expected a packet at the server, received none")
        yield process


def handle_packet(peers: Peers, directory: Path, image: Path) -> list[dict[str, str]]:
    """Have a started agent handle an opening; return its log lines."""
    with run_agent(peers, directory, image):
        pass
    log = (directory / "agent.log").read_text()
    return [json.loads(line) for line in log.splitlines()]


def test_a_process_with_an_image_handles_a_packet(
    peers: Peers, image_file: Path, tmp_path: Path
) -> None:
    lines = handle_packet(peers, tmp_path, image_file)
    events = [line["event"] for line in lines]
    assert "started" in events
    assert "start_image_unused" not in events


@pytest.mark.parametrize("case", ["missing", "truncated", "another interpreter"])
def test_a_process_with_an_unusable_image_logs_it_once_and_handles_a_packet(
    case: str, peers: Peers, image_file: Path, tmp_path: Path
) -> None:
    file = tmp_path / "unusable.image"
    if case != "missing":
        file.write_bytes(CHANGES_BY_CASE[case][0](image_file.read_bytes()))
    lines = handle_packet(peers, tmp_path, file)
    unused = [line for line in lines if line["event"] == "start_image_unused"]
    assert [(line["level"], line["file"]) for line in unused] == [
        ("warning", str(file))
    ]
    reason = "cannot be read" if case == "missing" else CHANGES_BY_CASE[case][1]
    assert reason in unused[0]["reason"]


def test_a_process_imports_modules_that_its_image_lacks(
    peers: Peers, image: ImageFinder, tmp_path: Path
) -> None:
    index = {name: image.index[name] for name in sorted(image.index)[::5]}
    file = tmp_path / "few.image"
    assert image.byte_code is not None
    file.write_bytes(format_image(index, bytes(image.byte_code)))
    lines = handle_packet(peers, tmp_path, file)
    assert "start_image_unused" not in [line["event"] for line in lines]


def test_a_process_does_not_keep_its_image_in_memory(
    peers: Peers, image: ImageFinder, tmp_path: Path
) -> None:
    """On an instance with 100 MB, memory that nothing uses ends the process."""
    assert image.byte_code is not None
    file = tmp_path / "large.image"
    padding = bytes(MEMORY_LIMIT_KB << 10)
    file.write_bytes(format_image(image.index, bytes(image.byte_code) + padding))

    def read_memory_kb(pid: int) -> int:
        status = Path(f"/proc/{pid}/status").read_text()
        return int(status.partition("VmRSS:")[2].split()[0])

    with run_agent(peers, tmp_path, file) as process:
        assert read_memory_kb(process.pid) < MEMORY_LIMIT_KB


@pytest.mark.parametrize("has_image", [False, True])
def test_a_startup_error_is_reported_in_one_line(
    has_image: bool, image_file: Path, tmp_path: Path
) -> None:
    settings = tmp_path / "local.ini"
    text = format_settings("agent", choose_addresses(SEED))
    settings.write_text(text.replace(f"127.{100 + SEED}.9.2", "192.0.2.1"))
    images = [str(image_file)] if has_image else []
    ended = subprocess.run(
        [sys.executable, "-S", "-m", "citronwinch.launch", VARIABLE, *images],
        env=os.environ | {VARIABLE: str(settings), "PYTHONPATH": format_python_path()},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert ended.returncode == 1
    assert ended.stderr.startswith(f"{settings}: cannot listen: ")
    assert ended.stderr.count("\n") == 1
