"""The build of deployments, in a copy of the repository.

A build that writes beside `target/`, or needs more than a clean checkout, is rejected.
"""

import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import trio

from citronwinch._start_image import ROOT, read_image


def list_files(directory: Path) -> set[str]:
    """Return the files of a directory outside of `target/`, relative to it."""
    files = {str(file.relative_to(directory)) for file in directory.rglob("*")}
    return {file for file in files if not file.startswith("target")}


def test_a_build_writes_only_below_target(tmp_path: Path) -> None:
    ignored = shutil.ignore_patterns("__pycache__")
    for name in ("citronwinch", "deploy"):
        shutil.copytree(Path(ROOT) / name, tmp_path / name, ignore=ignored)
    (tmp_path / "target").mkdir()
    # The build installs libraries only if they are older than the requirements.
    libraries = Path(trio.__file__).parent.parent
    (tmp_path / "target/deps").symlink_to(libraries)
    os.utime(tmp_path / "deploy/requirements.txt", (0, 0))
    before = list_files(tmp_path)
    system = tomllib.loads((tmp_path / "deploy/system.toml").read_text())
    environment = {"PATH": f"{Path(sys.executable).parent}:{os.environ['PATH']}"}
    subprocess.run(
        ["sh", "-c", system["build"]],
        cwd=tmp_path,
        env=environment,
        check=True,
        timeout=120,
    )
    assert list_files(tmp_path) == before
    assert read_image(str(tmp_path / "target/start.image")).is_moved
