"""Imports that take place at the first use instead of at the start of a process.

Importing takes most of the time until a process handles its first packet. Deferred are
modules that the first packet does not need.
"""

import importlib
import sys
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from importlib.machinery import ModuleSpec, PathFinder, SourceFileLoader
from types import ModuleType
from typing import TYPE_CHECKING

from citronwinch._start_image import ImageFinder

if TYPE_CHECKING:
    from importlib.abc import Loader, MetaPathFinder
else:
    # The import of `importlib.abc` takes 30 ms; the base classes are only for types.
    Loader = MetaPathFinder = object

DEFERRED_MODULES = frozenset(
    {
        "aioprometheus",
        "capnp",
        "h11",
        "hashlib",
        "hdrh.histogram",
        "hmac",
        "idna",
        "orjson",
        "ssl",
        "subprocess",
        "tokenize",
    }
)
"""The modules that are loaded at the first use of one of their attributes. Libraries
import `hmac`, `idna`, `ssl` and `subprocess` for functions that a balancer or agent
never calls."""

DEFERRED_NAMES = {
    "asyncio": {"BufferedProtocol": "asyncio.protocols"},
    "pickle": {"PicklingError": "_pickle"},
    "typing_extensions": {
        "ParamSpec": "typing",
        "TypeVarTuple": "typing",
        "Unpack": "typing",
        "dataclass_transform": "typing",
    },
}
"""The names that are imported from another module without loading the deferred one.
pycapnp derives a class from the protocol, which a balancer or agent never uses; all of
asyncio takes longer to import than pycapnp. structlog needs one exception of pickle.
expression takes names from typing_extensions that Python 3.11 has."""

DEFERRED_PACKAGES = frozenset(
    {
        "citronwinch.coordination",
        "citronwinch.coordination.flows",
        "citronwinch.flow_peers",
        "citronwinch.forwarder",
        "citronwinch.network",
        "citronwinch.operators",
        "citronwinch.platform",
    }
)
"""The packages of which each name is imported at its first use. An agent, for example,
needs no module that decides for a balancer."""

DEFERRED_LIBRARIES = frozenset(
    {
        "attr",
        "attrs",
        "expression",
        "expression.core",
        "outcome",
        "sortedcontainers",
        "structlog",
        "trio",
        "trio._core",
        "trio.abc",
        "trio.lowlevel",
    }
)
"""The modules of libraries of which each name is imported at its first use if a start
image records the names. The library then loads only what is used of it."""

THREAD_LIBRARY = "libc.so.6"
"""The library with the function that names threads, in glibc 2.34 and later."""


class DeferredModule(ModuleType):
    """A module that is loaded when an attribute is read that it does not have yet.

    `importlib.util.LazyLoader` would load a module already at its second import, since
    its modules treat reading `__spec__` as a use.
    """

    def __getattr__(self, name: str) -> object:
        loader = _get_loader(self).loader
        self.__class__ = ModuleType  # type: ignore[assignment]
        assert self.__spec__ is not None
        self.__loader__ = self.__spec__.loader = loader
        loader.exec_module(self)
        return getattr(self, name)


class DeferredPackage(DeferredModule):
    """A package that imports a public name from its submodule at the first use.

    For any other name that is not a submodule, the package is loaded as usual.
    """

    def __getattr__(self, name: str) -> object:
        # The import system asks for it; a module that is no package has none.
        if name == "__path__":
            raise AttributeError(f"{self.__name__} is not a package")
        loader = _get_loader(self)
        origin = loader.list_imported_names(self.__name__).get(name)
        if origin is not None:
            submodule, _, imported_name = origin.partition(":")
            value = getattr(importlib.import_module(submodule), imported_name or name)
            setattr(self, name, value)
            return value
        if loader.is_submodule(f"{self.__name__}.{name}"):
            return importlib.import_module(f"{self.__name__}.{name}")
        return super().__getattr__(name)

    def __setattr__(self, name: str, value: object) -> None:
        # The import system sets each loaded submodule as an attribute. A name that the
        # package imports replaces a submodule of the same name, as in
        # `from .compose import compose`.
        is_submodule = (
            isinstance(value, ModuleType)
            and value.__name__ == f"{self.__name__}.{name}"
        )
        if is_submodule and name in _get_loader(self).list_imported_names(
            self.__name__
        ):
            return
        super().__setattr__(name, value)


class DeferredLoader(Loader):
    """Creates a module with another loader, which executes it later."""

    def __init__(
        self,
        loader: Loader,
        deferred_class: type[DeferredModule],
        module_by_name: Mapping[str, str] | None,
        image: ImageFinder | None = None,
    ) -> None:
        self.loader = loader
        self.deferred_class = deferred_class
        self.module_by_name = module_by_name
        """The names that a package imports, or None before its source is read."""

        self.image = image

    def create_module(self, spec: ModuleSpec) -> ModuleType | None:
        """Return the module that the other loader creates."""
        return self.loader.create_module(spec)

    def exec_module(self, module: ModuleType) -> None:
        """Have the module executed at its first use."""
        module.__class__ = self.deferred_class

    def list_imported_names(self, package: str) -> Mapping[str, str]:
        """Return the names that a package imports, with the module of each."""
        if self.module_by_name is None:
            assert isinstance(self.loader, SourceFileLoader)
            file = self.loader.get_filename(package)
            source = self.loader.get_data(file).decode()
            self.module_by_name = _find_imported_names(source)
        return self.module_by_name

    def is_submodule(self, fullname: str) -> bool:
        """Return whether the start image has a submodule."""
        return self.image is not None and fullname in self.image.index


def _get_loader(module: DeferredModule) -> DeferredLoader:
    assert module.__spec__ is not None
    loader = module.__spec__.loader
    assert isinstance(loader, DeferredLoader)
    return loader


def _find_imported_names(source: str) -> dict[str, str]:
    """Return the names that formatted source imports, with the module of each.

    Parsing the source, or a regular expression, would take several times as long.
    """
    module_by_name = {}
    module = names = ""
    for line in source.splitlines():
        if line.startswith("from "):
            _, module, _, names = line.split(" ", 3)
        elif module and line.startswith("    "):
            names = line
        else:
            module = names = ""
        for name in names.strip("()").replace(",", " ").split():
            module_by_name[name] = module
    return module_by_name


class DeferredModuleFinder(MetaPathFinder):
    """Finds the deferred modules, and has them loaded at their first use."""

    def __init__(self, image: ImageFinder | None = None) -> None:
        self.image = image

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: ModuleType | None = None,
    ) -> ModuleSpec | None:
        """Return the spec of a deferred module."""
        names = self._find_names(fullname)
        if fullname in DEFERRED_PACKAGES or names is not None:
            deferred_class: type[DeferredModule] = DeferredPackage
        elif fullname in DEFERRED_MODULES:
            deferred_class = DeferredModule
        else:
            return None
        spec = self.image.find_spec(fullname) if self.image is not None else None
        spec = spec or PathFinder.find_spec(fullname, path, target)
        if spec is not None and spec.loader is not None:
            spec.loader = DeferredLoader(spec.loader, deferred_class, names, self.image)
        return spec

    def _find_names(self, fullname: str) -> Mapping[str, str] | None:
        """Return the names that a deferred package imports, if they are known."""
        if fullname in DEFERRED_NAMES:
            return DEFERRED_NAMES[fullname]
        entry = self.image.index.get(fullname) if self.image is not None else None
        if entry is None or fullname not in DEFERRED_PACKAGES | DEFERRED_LIBRARIES:
            return None
        return entry[-1]


def defer_modules(image: ImageFinder | None = None) -> None:
    """Load the deferred modules of this interpreter at their first use."""
    sys.meta_path.insert(0, DeferredModuleFinder(image))


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
