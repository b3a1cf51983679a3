"""Imports that take place at the first use instead of at the start of a process.

Importing takes most of the time until a process handles its first packet. Deferred are
modules that the first packet does not need.
"""

import importlib
import sys
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from importlib.machinery import ModuleSpec, PathFinder
from types import ModuleType
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from importlib.abc import Loader, MetaPathFinder
else:
    # The import of `importlib.abc` takes 30 ms; the base classes are only for types.
    Loader = MetaPathFinder = object

DEFERRED_MODULES = frozenset(
    {
        "aioprometheus",
        "asyncio",
        "capnp",
        "h11",
        "hashlib",
        "hdrh.histogram",
        "hmac",
        "idna",
        "orjson",
        "ssl",
        "structlog",
        "subprocess",
    }
)
"""The modules that are loaded at the first use of one of their attributes. `asyncio`,
`hmac`, `idna`, `ssl` and `subprocess` are imported by libraries for functions that a
balancer or agent never calls."""

THREAD_LIBRARY = "libc.so.6"
"""The library with the function that names threads, in glibc 2.34 and later."""


class DeferredModule(ModuleType):
    """A module that is loaded when an attribute is read that it does not have yet.

    `importlib.util.LazyLoader` would load a module already at its second import, since
    its modules treat reading `__spec__` as a use.
    """

    def __getattr__(self, name: str) -> object:
        spec = self.__spec__
        assert spec is not None
        assert isinstance(spec.loader, DeferredLoader)
        self.__class__ = ModuleType  # type: ignore[assignment]
        self.__loader__ = spec.loader = spec.loader.loader
        spec.loader.exec_module(self)
        return getattr(self, name)


class DeferredLoader(Loader):
    """Creates a module with another loader, which executes it later."""

    def __init__(self, loader: Loader) -> None:
        self.loader = loader

    def create_module(self, spec: ModuleSpec) -> ModuleType | None:
        """Return the module that the other loader creates."""
        return self.loader.create_module(spec)

    def exec_module(self, module: ModuleType) -> None:
        """Have the module executed at its first use."""
        module.__class__ = DeferredModule


class DeferredModuleFinder(MetaPathFinder):
    """Finds the deferred modules, and has them loaded at their first use."""

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: ModuleType | None = None,
    ) -> ModuleSpec | None:
        """Return the spec of a deferred module."""
        if fullname not in DEFERRED_MODULES:
            return None
        spec = PathFinder.find_spec(fullname, path, target)
        if spec is not None and spec.loader is not None:
            spec.loader = DeferredLoader(spec.loader)
        return spec


def defer_modules() -> None:
    """Load the deferred modules of this interpreter at their first use."""
    sys.meta_path.insert(0, DeferredModuleFinder())


@contextmanager
def skip_library_search() -> Iterator[None]:
    """Replace `ctypes.util` during the import of trio.

    At its import, trio searches the library with the function that names threads. For
    that, `ctypes.util` runs other programs (`ldconfig`, or else a compiler), which
    takes longer than most imports. If the library that is given instead lacks the
    function, trio leaves its threads unnamed.
    """
    import ctypes

    if "ctypes.util" in sys.modules:
        yield
        return
    replacement = ModuleType("ctypes.util")
    setattr(replacement, "find_library", lambda name: THREAD_LIBRARY)  # noqa: B010
    sys.modules["ctypes.util"] = replacement
    setattr(ctypes, "util", replacement)  # noqa: B010
    try:
        yield
    finally:
        del sys.modules["ctypes.util"]
        delattr(ctypes, "util")


def import_names_on_demand(
    package: str, module_by_name: Mapping[str, str]
) -> Callable[[str], object]:
    """Return a `__getattr__` for a package that imports public names at first use.

    `module_by_name` has the submodule of each name.
    """

    def get_name(name: str) -> object:
        if name not in module_by_name:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        module = importlib.import_module(f"{package}.{module_by_name[name]}")
        value = getattr(module, name)
        setattr(sys.modules[package], name, value)
        return value

    return get_name
