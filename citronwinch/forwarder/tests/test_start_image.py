"""The file of a start image, and its modules whose files have changed since.

A module that has another file or other imported names in an image than on the path
fails at its import or shows wrong lines in tracebacks.
"""

import os
import subprocess
import sys
import traceback
from importlib.machinery import ModuleSpec, PathFinder
from importlib.util import module_from_spec
from pathlib import Path

import pytest

from citronwinch import _start_image
from citronwinch._start_image import (
    ImageFinder,
    read_image,
)
from citronwinch.start_image import FoundModule, list_imported_names, main, write_image


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
    code = spec.loader.get_code(name)
    assert code is not None
    exec(code, attributes)
    return attributes


def test_a_source_that_changed_after_the_image_is_not_used(
    small_module: FoundModule, tmp_path: Path
) -> None:
    file = tmp_path / "small.image"
    write_image([small_module], file)
    Path(small_module.file).write_text("VALUE = 2\n")
    assert execute(read_image(str(file)), "small_module")["VALUE"] == 1
    write_image([small_module], file)
    assert execute(read_image(str(file)), "small_module")["VALUE"] == 2


def test_a_module_works_after_its_source_was_deleted(
    small_module: FoundModule, tmp_path: Path
) -> None:
    file = tmp_path / "small.image"
    write_image([small_module], file)
    Path(small_module.file).unlink()
    attributes = execute(read_image(str(file)), "small_module")
    with pytest.raises(ValueError) as caught:
        attributes["fail"]()  # type: ignore[operator]
    frame = traceback.extract_tb(caught.value.__traceback__)[-1]
    assert (frame.filename, frame.lineno) == (small_module.file, 4)


def test_a_module_that_is_imported_late_is_read_from_the_same_image(
    small_module: FoundModule, tmp_path: Path
) -> None:
    """A module that is first used after the start would be another version's."""
    file = tmp_path / "small.image"
    write_image([small_module], file)
    image = read_image(str(file))
    image.release_byte_code()
    Path(small_module.file).write_text("VALUE = 2\n")
    assert execute(image, "small_module")["VALUE"] == 1


@pytest.mark.parametrize("change", ["replaced", "truncated", "deleted"])
def test_a_module_that_is_imported_late_is_not_read_from_a_changed_image(
    change: str, small_module: FoundModule, tmp_path: Path
) -> None:
    """Offsets into another file would unmarshal arbitrary bytes."""
    file = tmp_path / "small.image"
    write_image([small_module], file)
    image = read_image(str(file))
    image.release_byte_code()
    Path(small_module.file).write_text("VALUE = 2\n")
    if change == "replaced":
        write_image([small_module], file)
    elif change == "truncated":
        os.truncate(file, 100)
    else:
        file.unlink()
    assert execute(image, "small_module")["VALUE"] == 2


def test_an_extension_module_that_was_moved_is_reported_by_its_import(
    tmp_path: Path,
) -> None:
    file = tmp_path / "small.image"
    extension = tmp_path / "moved.so"
    write_image([FoundModule("moved", str(extension), False, True)], file)
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
    write_image([small_module], file)
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
