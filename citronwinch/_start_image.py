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

MAGIC = b"citronwinch start image 2\n"
"""The first bytes of an image. The number changes with the format."""

HASH_BYTES = 8
"""The length of the hashes of interpreter and content, in bytes."""

SIZE_BYTES = 4
"""The length of the size of the index, in bytes."""

HEADER_BYTES = len(MAGIC) + 2 * HASH_BYTES + SIZE_BYTES
"""The length of everything in front of the index, in bytes."""

FileIdentity = tuple[int, int, int, int]
"""Device, inode, size and time of modification of a file."""

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


def format_image(index: dict[str, Entry], byte_code: bytes) -> bytes:
    """Return the content of an image file."""
    packed = marshal.dumps((ROOT, index))
    content = len(packed).to_bytes(SIZE_BYTES, "big") + packed + byte_code
    return MAGIC + hash_interpreter() + source_hash(content) + content


def identify_file(descriptor: int) -> FileIdentity:
    """Return what tells an open file from another one and from a changed one."""
    status = os.fstat(descriptor)
    return status.st_dev, status.st_ino, status.st_size, status.st_mtime_ns


def read_image(file: str) -> "ImageFinder":
    """Read an image; raise StartImageError if it cannot be used."""
    try:
        with open(file, "rb", buffering=0) as stream:
            identity = identify_file(stream.fileno())
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
    root, index = marshal.loads(content[SIZE_BYTES:end])
    place = FilePlace(file, identity, HEADER_BYTES - SIZE_BYTES + end)
    return ImageFinder(index, content[end:], place, is_moved=root != ROOT)


class FilePlace:
    """The place of the byte code in the file of an image."""

    def __init__(self, file: str, identity: FileIdentity, begin: int) -> None:
        self.file = file
        self.identity = identity
        self.begin = begin

    def read(self, offset: int, size: int) -> bytes | None:
        """Read byte code, or return None if the file is missing or has changed."""
        try:
            with open(self.file, "rb", buffering=0) as stream:
                if identify_file(stream.fileno()) != self.identity:
                    return None
                return os.pread(stream.fileno(), size, self.begin + offset)
        except OSError:
            return None


class ImageFinder:
    """Finds the modules of an image; belongs in front of the other finders."""

    def __init__(
        self,
        index: dict[str, Entry],
        byte_code: memoryview,
        place: FilePlace,
        is_moved: bool,
    ) -> None:
        self.index = index
        self.byte_code: memoryview | None = byte_code
        """The byte code of all modules, or None after the imports of the start."""

        self.place = place
        self.is_moved = is_moved
        """Whether the repository was elsewhere when the image was written."""

    def release_byte_code(self) -> None:
        """Free the byte code. Modules that are imported later are read singly."""
        self.byte_code = None

    def read_byte_code(self, fullname: str) -> bytes | memoryview | None:
        """Return the byte code of a module, or None if the file has changed."""
        _, _, offset, size, _ = self.index[fullname]
        byte_code = self.byte_code
        if byte_code is None:
            return self.place.read(offset, size)
        return byte_code[offset : offset + size]

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

    def get_code(self, fullname: str) -> CodeType | None:
        """Return the byte code of the module; compile it if the image has changed."""
        byte_code = self.finder.read_byte_code(fullname)
        if byte_code is None:
            return super().get_code(fullname)
        code: CodeType = marshal.loads(byte_code)
        if self.finder.is_moved:
            _imp._fix_co_filename(code, self.path)  # type: ignore[attr-defined]
        return code
