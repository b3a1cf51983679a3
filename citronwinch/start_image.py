"""Writes the start image: `python3 -S -m citronwinch.start_image FILE`.

The image holds the byte code of all modules that a balancer or an agent imports. The
modules are those that this command finds on Python's path, so the path must have the
libraries on it as it does at run time.
"""

import ast
import importlib
import marshal
import os
import sys
from collections.abc import Iterable, Iterator
from importlib.machinery import ExtensionFileLoader, SourceFileLoader
from importlib.util import resolve_name
from pathlib import Path
from types import ModuleType
from typing import NamedTuple

from citronwinch._compiled_texts import RecordedTexts, TextKey, use_compiled_texts
from citronwinch._deferred_imports import DEFERRED_MODULES
from citronwinch._start_image import ROOT, Entry, format_image

PROCESS_MODULES = (
    "citronwinch._compiled_texts",
    "citronwinch._deferred_imports",
    "citronwinch.forwarder",
    "citronwinch.forwarder._agent_process",
    "citronwinch.forwarder._balancer_process",
)
"""The modules of which all imports belong in the image."""


class FoundModule(NamedTuple):
    """A module that is loaded from a file."""

    name: str
    file: str
    is_package: bool
    is_extension: bool


def find_modules() -> Iterator[FoundModule]:
    """Import what processes import; yield all modules that came from files."""
    for name in (*PROCESS_MODULES, *sorted(DEFERRED_MODULES)):
        importlib.import_module(name)
    for name, module in sorted(sys.modules.items()):
        found = describe_module(name, module)
        if found is not None:
            yield found


def describe_module(name: str, module: ModuleType) -> FoundModule | None:
    """Return where a module came from, or None if it has no file of its own."""
    spec = getattr(module, "__spec__", None)
    if spec is None or spec.name != name or name == "__main__":
        return None
    is_extension = isinstance(spec.loader, ExtensionFileLoader)
    if not is_extension and not isinstance(spec.loader, SourceFileLoader):
        return None
    is_package = spec.submodule_search_locations is not None
    return FoundModule(name, os.path.abspath(spec.origin), is_package, is_extension)


def list_imported_names(source: str, module: FoundModule) -> dict[str, str]:
    """Return the names that a module imports at its top level, with their origins.

    An origin is a module, followed by a colon and the name there if that is another
    one. Names that are assigned from imported ones count as imported. A name that is
    assigned anything else, or only under a condition, is left out.

    >>> package = FoundModule("a.b", "a/b/__init__.py", True, False)
    >>> list_imported_names("from .c import D, E as F; G = F; import h", package)
    {'D': 'a.b.c', 'F': 'a.b.c:E', 'G': 'a.b.c:E'}
    """
    package = module.name if module.is_package else module.name.rpartition(".")[0]
    origins: dict[str, str] = {}
    for statement in ast.parse(source).body:
        match statement:
            case ast.ImportFrom(module=base, names=aliases, level=level):
                origin = resolve_name("." * level + (base or ""), package)
                for alias in aliases:
                    name = alias.asname or alias.name
                    origins[name] = (
                        origin if name == alias.name else f"{origin}:{alias.name}"
                    )
            case ast.Assign(targets=targets, value=value):
                origin = _find_origin(value, origins)
                for target in targets:
                    if isinstance(target, ast.Name):
                        origins[target.id] = origin
            case _:
                for name in _list_bound_names(statement):
                    origins.pop(name, None)
    return {
        name: origin
        for name, origin in origins.items()
        if name != "*" and origin.partition(":")[0] not in ("", package)
    }


def _list_bound_names(statement: ast.stmt) -> Iterator[str]:
    """Yield the names that a statement may bind or delete, also inside it."""
    for node in ast.walk(statement):
        match node:
            case ast.Name(id=name, ctx=ast.Store() | ast.Del()):
                yield name
            case ast.FunctionDef(name=name) | ast.ClassDef(name=name):
                yield name
            case ast.AsyncFunctionDef(name=name):
                yield name
            case ast.Import(names=aliases) | ast.ImportFrom(names=aliases):
                for alias in aliases:
                    yield (alias.asname or alias.name).partition(".")[0]


def _find_origin(value: ast.expr, origins: dict[str, str]) -> str:
    """Return where an assigned value comes from, or nothing if it is not imported."""
    if not isinstance(value, ast.Name) or not origins.get(value.id):
        return ""
    origin = origins[value.id]
    return origin if ":" in origin else f"{origin}:{value.id}"


def write_image(
    modules: Iterable[FoundModule], texts: dict[TextKey, bytes], file: Path
) -> None:
    """Write the image of modules; an image that exists is replaced as a whole."""
    index: dict[str, Entry] = {}
    byte_code = bytearray()
    for module in modules:
        code, names = b"", {}
        if not module.is_extension:
            source = Path(module.file).read_bytes()
            code = marshal.dumps(
                compile(source, module.file, "exec", dont_inherit=True)
            )
            names = list_imported_names(source.decode(), module)
        path = module.file.removeprefix(ROOT + os.sep)
        index[module.name] = path, module.is_package, len(byte_code), len(code), names
        byte_code += code
    file.parent.mkdir(parents=True, exist_ok=True)
    part = file.with_name(f"{file.name}.{os.getpid()}")
    part.write_bytes(format_image(index, texts, bytes(byte_code)))
    part.replace(file)


def main(arguments: list[str]) -> int:
    """Write the image to the file that the only argument names."""
    if len(arguments) != 1:
        print("usage: python3 -S -m citronwinch.start_image FILE", file=sys.stderr)
        return 2
    try:
        texts = RecordedTexts({})
        use_compiled_texts(texts)
        write_image(list(find_modules()), texts.known, Path(arguments[0]))
    except ImportError as error:
        print(f"{error}; PYTHONPATH must name the libraries", file=sys.stderr)
        return 1
    except OSError as error:
        print(f"{arguments[0]}: cannot be written: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
