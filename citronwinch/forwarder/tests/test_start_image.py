"""Start images that are damaged or outdated, and modules that differ inside one.

A process that fails because of its image, or that finds other modules, files or names
with an image than without it, is noticed only on a deployment.
"""

import json
import os
import subprocess
import sys
import traceback
from collections.abc import Callable, Iterator
from importlib.machinery import ModuleSpec, PathFinder
from importlib.util import module_from_spec
from pathlib import Path

import pytest

from citronwinch import _start_image
from citronwinch._deferred_imports import DEFERRED_LIBRARIES, DEFERRED_PACKAGES
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
    write_start_image,
)
from citronwinch.benches._packet_mix import LIST_STEPS_BY_ROLE
from citronwinch.start_image import FoundModule, list_imported_names, main, write_image

SEED = 63
"""Determines the loopback network of these tests."""

USE_IMAGE = """
import sys
from citronwinch.launch import use_image
from citronwinch._compiled_texts import CompiledTexts, use_compiled_texts
from citronwinch._deferred_imports import (
    DeferredModule, defer_modules, skip_library_search
)
image, problem = use_image(sys.argv[1])
assert not problem, problem
defer_modules(image)
texts = CompiledTexts(image.texts)
use_compiled_texts(texts)
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


DEFINE_CLASSES = """
import attrs, dataclasses
from typing import NamedTuple
class Named(NamedTuple):
    name_of_no_other_class: int
    other: str = "x"
@dataclasses.dataclass(frozen=True, order=True)
class Data:
    name_of_no_other_class: int
    other: str = "x"
@attrs.frozen
class Attributes:
    name_of_no_other_class: int
    other: str = "x"
print(Named(1), Data(1) < Data(2), Attributes(1) == Attributes(1, "x"))
try:
    Data()
except TypeError as error:
    print(error)
"""

COUNT_KNOWN_TEXTS = """
class CountedTexts(CompiledTexts):
    found = 0
    def compile(self, text, file, mode):
        CountedTexts.found += (mode, file, text) in self.known
        return super().compile(text, file, mode)
use_compiled_texts(CountedTexts(image.texts))
import citronwinch.forwarder._balancer_process
print(CountedTexts.found > 50)
"""


@pytest.fixture(scope="module")
def image_file(tmp_path_factory: pytest.TempPathFactory) -> Path:
    file: Path = tmp_path_factory.mktemp("image") / "start.image"
    write_start_image(file)
    return file


@pytest.fixture(scope="module")
def image(image_file: Path) -> ImageFinder:
    return read_image(str(image_file))


def run_with_image(image_file: Path, code: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-S", "-c", USE_IMAGE + code, str(image_file)],
        env=os.environ | {"PYTHONPATH": format_python_path()},
        capture_output=True,
        text=True,
        timeout=60,
    )


CHANGES_BY_CASE: dict[str, tuple[Callable[[bytes], bytes], str]] = {
    "empty": (lambda data: b"", "expected a start image of this version"),
    "truncated header": (lambda data: data[:HEADER_BYTES], "content differs"),
    "truncated": (lambda data: data[:-1], "content differs"),
    "one byte changed": (
        lambda data: data[:5_000] + bytes([data[5_000] ^ 1]) + data[5_001:],
        "content differs",
    ),
    "another format": (
        lambda data: data.replace(b"image 1", b"image 0", 1),
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


def handle_packet(peers: Peers, directory: Path, image: Path) -> list[dict[str, str]]:
    """Have a started agent handle an opening; return its log lines."""
    opening = LIST_STEPS_BY_ROLE["agent"](0, peers.addresses.caller)[0]
    with start_process("agent", peers.addresses, directory, image) as process:
        for _ in range(10):
            peers.send_to_peer_socket(opening.data)
            if peers.receive(peers.server):
                break
            assert process.poll() is None
        else:
            raise AssertionError("expected a packet at the server, received none")
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
    file.write_bytes(format_image(index, {}, bytes(image.byte_code)))
    lines = handle_packet(peers, tmp_path, file)
    assert "start_image_unused" not in [line["event"] for line in lines]


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


def test_the_modules_of_an_image_have_their_usual_specs(image: ImageFinder) -> None:
    def describe(spec: ModuleSpec | None) -> tuple[object, ...]:
        assert spec is not None
        assert spec.loader is not None
        return (
            spec.name,
            spec.origin,
            spec.cached,
            spec.parent,
            spec.has_location,
            spec.submodule_search_locations,
            spec.loader.is_package(spec.name),  # type: ignore[attr-defined]
            spec.loader.get_source(spec.name),  # type: ignore[attr-defined]
        )

    for name in image.index:
        parent = image.find_spec(name.rpartition(".")[0])
        path = parent.submodule_search_locations if parent is not None else None
        expected = describe(PathFinder.find_spec(name, path))
        assert describe(image.find_spec(name)) == expected


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


def test_package_data_is_read_from_beside_the_package(image_file: Path) -> None:
    ended = run_with_image(image_file, ENCODE_HEARTBEAT)
    assert (ended.stderr, ended.stdout) == ("", "True\n")


def test_classes_that_the_image_does_not_know_get_their_methods(
    image_file: Path,
) -> None:
    ended = run_with_image(image_file, DEFINE_CLASSES)
    assert (ended.stderr, ended.stdout.splitlines()) == (
        "",
        [
            "Named(name_of_no_other_class=1, other='x') True True",
            "Data.__init__() missing 1 required positional argument:"
            " 'name_of_no_other_class'",
        ],
    )


def test_the_image_knows_the_methods_that_libraries_generate(image_file: Path) -> None:
    ended = run_with_image(image_file, COUNT_KNOWN_TEXTS)
    assert (ended.stderr, ended.stdout) == ("", "True\n")


def test_a_traceback_has_file_line_and_source(image_file: Path) -> None:
    ended = run_with_image(image_file, RAISE_IN_A_MODULE)
    file = Path(_start_image.ROOT) / "citronwinch/operators/_setting_values.py"
    assert f'File "{file}", line ' in ended.stderr
    assert "value.isascii()" in ended.stderr


@pytest.fixture
def small_module(tmp_path: Path) -> FoundModule:
    file = tmp_path / "small_module.py"
    file.write_text("VALUE = 1\n\ndef fail():\n    raise ValueError(VALUE)\n")
    return FoundModule("small_module", str(file), False, False)


def execute(image: ImageFinder, name: str) -> dict[str, object]:
    """Return the attributes of a module that is executed without being registered."""
    spec = image.find_spec(name)
    assert spec is not None
    assert isinstance(spec.loader, _start_image.ImageLoader)
    attributes: dict[str, object] = {}
    exec(spec.loader.get_code(name), attributes)
    return attributes


def test_a_source_that_changed_after_the_image_is_not_used(
    small_module: FoundModule, tmp_path: Path
) -> None:
    file = tmp_path / "small.image"
    write_image([small_module], {}, file)
    Path(small_module.file).write_text("VALUE = 2\n")
    assert execute(read_image(str(file)), "small_module")["VALUE"] == 1
    write_image([small_module], {}, file)
    assert execute(read_image(str(file)), "small_module")["VALUE"] == 2


def test_a_module_works_after_its_source_was_deleted(
    small_module: FoundModule, tmp_path: Path
) -> None:
    file = tmp_path / "small.image"
    write_image([small_module], {}, file)
    Path(small_module.file).unlink()
    attributes = execute(read_image(str(file)), "small_module")
    with pytest.raises(ValueError) as caught:
        attributes["fail"]()  # type: ignore[operator]
    frame = traceback.extract_tb(caught.value.__traceback__)[-1]
    assert (frame.filename, frame.lineno) == (small_module.file, 4)


def test_an_extension_module_that_was_moved_is_reported_by_its_import(
    tmp_path: Path,
) -> None:
    file = tmp_path / "small.image"
    extension = tmp_path / "moved.so"
    write_image([FoundModule("moved", str(extension), False, True)], {}, file)
    spec = read_image(str(file)).find_spec("moved")
    assert spec is not None
    with pytest.raises(ImportError, match="cannot open shared object file"):
        module_from_spec(spec)


def test_files_of_a_moved_repository_are_those_of_its_new_place(
    small_module: FoundModule, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    file = tmp_path / "small.image"
    monkeypatch.setattr("citronwinch.start_image.ROOT", str(tmp_path))
    monkeypatch.setattr(_start_image, "ROOT", str(tmp_path))
    write_image([small_module], {}, file)
    moved = tmp_path / "moved"
    moved.mkdir()
    Path(small_module.file).rename(moved / "small_module.py")
    monkeypatch.setattr(_start_image, "ROOT", str(moved))
    attributes = execute(read_image(str(file)), "small_module")
    with pytest.raises(ValueError) as caught:
        attributes["fail"]()  # type: ignore[operator]
    frame = traceback.extract_tb(caught.value.__traceback__)[-1]
    assert (frame.filename, frame.lineno) == (str(moved / "small_module.py"), 4)
    assert frame.line == "raise ValueError(VALUE)"


@pytest.mark.parametrize(
    ("source", "expected"),
    [
        ("from .c import D", {"D": "a.b.c"}),
        ("from ..c import D as D", {"D": "a.c"}),
        ("from x import D as E\nF = E", {"E": "x:D", "F": "x:D"}),
        ("from x import D\nE = F = D", {"D": "x", "E": "x:D", "F": "x:D"}),
        ("from x import D\nD = D()", {}),
        ("from . import c\nfrom x import *", {}),
        ("if x:\n    from x import D", {}),
        ("from x import D\ndel D", {}),
        ("from x import D\ndef D(): pass", {}),
        ("from x import D\nimport D", {}),
    ],
)
def test_the_imported_names_of_a_package(source: str, expected: object) -> None:
    package = FoundModule("a.b", "a/b/__init__.py", True, False)
    assert list_imported_names(source, package) == expected


@pytest.mark.parametrize("arguments", [[], ["A", "B"]])
def test_the_command_needs_one_file(arguments: list[str]) -> None:
    assert main(arguments) == 2


def test_the_command_reports_missing_libraries(tmp_path: Path) -> None:
    ended = subprocess.run(
        [sys.executable, "-S", "-m", "citronwinch.start_image", str(tmp_path / "x")],
        env=os.environ | {"PYTHONPATH": _start_image.ROOT},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert ended.returncode == 1
    assert ended.stderr.count("\n") == 1
    assert "PYTHONPATH must name the libraries" in ended.stderr
    assert not (tmp_path / "x").exists()
