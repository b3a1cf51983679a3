"""Imports modules from a start image: one file with the byte code of many modules.

A process reads the file once, instead of searching and reading several files for each
module. `citronwinch.start_image` writes it. A module that is not in the image is
imported as usual. This module imports only what every interpreter has already loaded,
because it is imported without the image.
"""

import _imp
import marshal
import os
import sys
from importlib.machinery import ExtensionFileLoader, ModuleSpec, SourceFileLoader
from importlib.util import MAGIC_NUMBER, source_hash
from types import CodeType

from citronwinch._compiled_texts import TextKey

MAGIC = b"citronwinch start image 1\n"
"""The first bytes of an image. The number changes with the format."""

HASH_BYTES = 8
"""The length of the hashes of interpreter and content, in bytes."""

SIZE_BYTES = 4
"""The length of the size of the index, in bytes."""

HEADER_BYTES = len(MAGIC) + 2 * HASH_BYTES + SIZE_BYTES
"""The length of everything in front of the index, in bytes."""

Entry = tuple[str, bool, int, int, dict[str, str]]
"""A module of the image: its file, relative to the repository if it is inside; whether
it is a package; offset and size of its byte code, which an extension module lacks; and
the names that a package imports, with the module of each."""

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
"""The directory that contains the package citronwinch."""


class StartImageError(Exception):
    """An image cannot be used; the message says why and what to do."""


def hash_interpreter() -> bytes:
    """Return a hash of all properties of the interpreter that byte code depends on."""
    properties = (
        MAGIC_NUMBER,
        sys.version,
        sys.implementation.cache_tag,
        sys.flags.optimize,
        os.path.dirname(os.__file__),
    )
    return source_hash(repr(properties).encode())


def format_image(
    index: dict[str, Entry], texts: dict[TextKey, bytes], byte_code: bytes
) -> bytes:
    """Return the content of an image file."""
    packed = marshal.dumps((ROOT, index, texts))
    content = len(packed).to_bytes(SIZE_BYTES, "big") + packed + byte_code
    return MAGIC + hash_interpreter() + source_hash(content) + content


def read_image(file: str) -> "ImageFinder":
    """Read an image; raise StartImageError if it cannot be used."""
    try:
        with open(file, "rb", buffering=0) as stream:
            data = stream.read()
    except OSError as error:
        raise StartImageError(f"cannot be read: {error.strerror}") from error
    content = memoryview(data)[HEADER_BYTES - SIZE_BYTES :]
    hashes = data[len(MAGIC) : HEADER_BYTES - SIZE_BYTES]
    if not data.startswith(MAGIC):
        raise StartImageError("expected a start image of this version; build again")
    if hashes[:HASH_BYTES] != hash_interpreter():
        expected = f"Python {sys.version.split()[0]} at {sys.base_prefix}"
        raise StartImageError(f"expected an image of {expected}; build again")
    if hashes[HASH_BYTES:] != source_hash(content):
        raise StartImageError("content differs from its hash; build again")
    end = SIZE_BYTES + int.from_bytes(content[:SIZE_BYTES], "big")
    root, index, texts = marshal.loads(content[SIZE_BYTES:end])
    return ImageFinder(index, texts, content[end:], is_moved=root != ROOT)


class ImageFinder:
    """Finds the modules of an image; belongs in front of the other finders."""

    def __init__(
        self,
        index: dict[str, Entry],
        texts: dict[TextKey, bytes],
        byte_code: memoryview,
        is_moved: bool,
    ) -> None:
        self.index = index
        self.texts = texts
        """The byte code of texts that libraries compile."""

        self.byte_code = byte_code
        self.is_moved = is_moved
        """Whether the repository was elsewhere when the image was written."""

    def find_spec(
        self, fullname: str, path: object = None, target: object = None
    ) -> ModuleSpec | None:
        """Return the spec of a module of the image."""
        entry = self.index.get(fullname)
        if entry is None:
            return None
        file, is_package, _, size, _ = entry
        file = os.path.join(ROOT, file)
        loader: SourceFileLoader | ExtensionFileLoader
        if size:
            loader = ImageLoader(fullname, file, self)
        else:
            loader = ExtensionFileLoader(fullname, file)
        spec = ModuleSpec(fullname, loader, origin=file, is_package=is_package)
        if spec.submodule_search_locations is not None:
            spec.submodule_search_locations.append(os.path.dirname(file))
        spec.has_location = True
        return spec


class ImageLoader(SourceFileLoader):
    """Executes the byte code of a module; reads source and data from its directory."""

    def __init__(self, fullname: str, path: str, finder: ImageFinder) -> None:
        super().__init__(fullname, path)
        self.finder = finder

    def get_code(self, fullname: str) -> CodeType:
        """Return the byte code of the module."""
        _, _, offset, size, _ = self.finder.index[fullname]
        code: CodeType = marshal.loads(self.finder.byte_code[offset : offset + size])
        if self.finder.is_moved:
            _imp._fix_co_filename(code, self.path)  # type: ignore[attr-defined]
        return code
