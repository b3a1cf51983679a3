"""Modules that differ in a process with a start image, or that it loads without need.

A module that loads another name or file with an image than without it fails at some
later use; one that is loaded without need delays the first packet.
"""

import json
import os
import subprocess
import sys
import zlib
from collections.abc import Callable
from functools import partial
from pathlib import Path

import pytest

from citronwinch import _start_image
from citronwinch._deferred_imports import DEFERRED_LIBRARIES, DEFERRED_PACKAGES
from citronwinch._start_image import ImageFinder, format_image
from citronwinch.benches._launched_process import (
    format_python_path,
)

USE_IMAGE = """
import sys
from citronwinch.launch import use_image
from citronwinch._deferred_imports import (
    DeferredModule, defer_modules, skip_library_search
)
image, problem = use_image(sys.argv[1])
assert not problem, problem
defer_modules(image)
with skip_library_search():
    from trio import run
"""

LIST_MODULES_OUTSIDE = """
import json
import citronwinch.forwarder
import citronwinch.forwarder._{role}_process
spec_by_name = {{
    name: module.__spec__ for name, module in sys.modules.items()
    if not isinstance(module, DeferredModule) and name not in before
}}
print(json.dumps([
    name for name, spec in spec_by_name.items()
    if spec is not None and spec.has_location and name not in image.index
]))
"""

LIST_LOADED_MODULES = """
import json
import citronwinch.forwarder
import citronwinch.forwarder._{role}_process
print(json.dumps([
    name for name, module in sys.modules.items()
    if not isinstance(module, DeferredModule)
]))
"""

NEEDLESS_MODULES = {
    "asyncio",
    "asyncio.events",
    "ctypes.util",
    "expression.collections",
    "pickle",
    "ssl",
    "structlog.stdlib",
    "subprocess",
    "tokenize",
    "trio._dtls",
    "trio._ssl",
    "trio._subprocess",
    "typing_extensions",
}
"""Modules of libraries that no process needs before its first packet."""

COMPARE_NAMES = """
import importlib, json
wrong = []
for package in {packages}:
    module = importlib.import_module(package)
    names = image.index[package][-1]
    deferred = {{name: getattr(module, name) for name in names}}
    hasattr(module, "missing_name")
    assert not isinstance(module, DeferredModule), package
    wrong += [f"{{package}}.{{name}}" for name in names
              if getattr(module, name) is not deferred[name]]
print(json.dumps(wrong))
"""

IMPORT_BOTH_ROLES = """
import trio
import citronwinch.forwarder._agent_process
import citronwinch.forwarder._balancer_process
print(issubclass(trio.ClosedResourceError, Exception))
"""

ENCODE_HEARTBEAT = """
from citronwinch.coordination.flows import UNKNOWN_POSITION, Heartbeat
from citronwinch.flow_peers import decode_flow_message, encode_flow_message
message = Heartbeat(1, "a", False, UNKNOWN_POSITION, 0, 0, 1, (), 1)
print(decode_flow_message(encode_flow_message(message)) == message)
"""

RAISE_IN_A_MODULE = """
from citronwinch.operators import parse_number
parse_number(1, 2, "one or two")(None)
"""


def run_with_image(image_file: Path, code: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-S", "-c", USE_IMAGE + code, str(image_file)],
        env=os.environ | {"PYTHONPATH": format_python_path()},
        capture_output=True,
        text=True,
        timeout=60,
    )


@pytest.mark.parametrize("role", ["balancer", "agent"])
def test_an_image_has_all_modules_of_a_start(role: str, image_file: Path) -> None:
    code = "before = {*sys.modules}\n" + LIST_MODULES_OUTSIDE.format(role=role)
    ended = run_with_image(image_file, code)
    assert (ended.stderr, ended.stdout) == ("", "[]\n")


@pytest.mark.parametrize("role", ["balancer", "agent"])
def test_a_start_from_an_image_loads_no_needless_module(
    role: str, image_file: Path
) -> None:
    ended = run_with_image(image_file, LIST_LOADED_MODULES.format(role=role))
    assert ended.stderr == ""
    assert not set(json.loads(ended.stdout)) & NEEDLESS_MODULES


def test_deferred_libraries_export_their_usual_names(image_file: Path) -> None:
    packages = sorted(DEFERRED_LIBRARIES | DEFERRED_PACKAGES)
    ended = run_with_image(image_file, COMPARE_NAMES.format(packages=packages))
    assert (ended.stderr, ended.stdout) == ("", "[]\n")


def test_a_function_hides_the_submodule_that_has_its_name(image_file: Path) -> None:
    code = "from expression import pipe\nprint(pipe(2, lambda x: x + 1))"
    ended = run_with_image(image_file, code)
    assert (ended.stderr, ended.stdout) == ("", "3\n")


def is_in_fifth(first: int, name: str) -> bool:
    """Return whether a module is in one of five samples of all modules."""
    return zlib.crc32(name.encode()) % 5 == first


MODULES_BY_CASE: dict[str, Callable[[str], bool]] = {
    "no module": lambda name: False,
    "packages only": lambda name: name in DEFERRED_LIBRARIES | DEFERRED_PACKAGES,
    "libraries only": lambda name: name in DEFERRED_LIBRARIES,
    "trio only": lambda name: name == "trio",
    "attr only": lambda name: name == "attr",
    "all but packages": lambda name: name not in DEFERRED_LIBRARIES | DEFERRED_PACKAGES,
    **{f"each fifth, from {first}": partial(is_in_fifth, first) for first in range(5)},
}
"""Images that lack modules: the modules that they have."""


@pytest.mark.parametrize("case", MODULES_BY_CASE)
def test_a_start_succeeds_whichever_modules_an_image_lacks(
    case: str, image: ImageFinder, tmp_path: Path
) -> None:
    index = {
        name: entry
        for name, entry in image.index.items()
        if MODULES_BY_CASE[case](name)
    }
    file = tmp_path / "few.image"
    assert image.byte_code is not None
    file.write_bytes(format_image(index, bytes(image.byte_code)))
    ended = run_with_image(file, IMPORT_BOTH_ROLES)
    assert (ended.stderr, ended.stdout) == ("", "True\n")


def test_package_data_is_read_from_beside_the_package(image_file: Path) -> None:
    ended = run_with_image(image_file, ENCODE_HEARTBEAT)
    assert (ended.stderr, ended.stdout) == ("", "True\n")


def test_a_traceback_has_file_line_and_source(image_file: Path) -> None:
    ended = run_with_image(image_file, RAISE_IN_A_MODULE)
    file = Path(_start_image.ROOT) / "citronwinch/operators/_setting_values.py"
    assert f'File "{file}", line ' in ended.stderr
    assert "value.isascii()" in ended.stderr
