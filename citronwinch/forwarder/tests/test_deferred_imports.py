"""Imports that delay the first packet of a starting process.

A module that a balancer or agent imports without need adds to the time callers wait
after a loss of power. It comes about by an import at the top of a module, or by a first
use of a deferred module during the start.
"""

import ast
import importlib
import inspect
import json
import subprocess
import sys

import pytest

from citronwinch._deferred_imports import DEFERRED_PACKAGES, _find_imported_names

LIST_LOADED_MODULES = """
import json, sys
from citronwinch._deferred_imports import (
    DeferredModule, defer_modules, skip_library_search
)
defer_modules()
with skip_library_search():
    import trio
import citronwinch.forwarder
import citronwinch.forwarder._{role}_process
loaded = [n for n, m in sys.modules.items() if not isinstance(m, DeferredModule)]
print(json.dumps(loaded))
"""

NEEDLESS_MODULES_BY_ROLE = {
    "agent": ["_balancer_flows", "_server_selector", "_view"],
    "balancer": ["_agent_flows"],
}
"""The modules of `citronwinch.coordination.flows` that a role does not need."""

NEEDLESS_MODULES = [
    "aioprometheus",
    "capnp",
    "ctypes.util",
    "h11",
    "hashlib",
    "hdrh.histogram",
    "orjson",
    "citronwinch.operators._table_csv",
    "citronwinch.operators._settings",
]


def run_python(code: str) -> str:
    command = [sys.executable, "-c", code]
    return subprocess.run(command, check=True, capture_output=True, text=True).stdout


@pytest.mark.parametrize("role", ["balancer", "agent"])
def test_a_starting_process_loads_no_needless_module(role: str) -> None:
    loaded = json.loads(run_python(LIST_LOADED_MODULES.format(role=role)))
    needless = [
        f"citronwinch.coordination.flows.{name}"
        for name in NEEDLESS_MODULES_BY_ROLE[role]
    ]
    assert not set(loaded) & {*NEEDLESS_MODULES, *needless}


def test_a_deferred_module_is_loaded_at_its_first_use() -> None:
    code = """
from citronwinch._deferred_imports import defer_modules
defer_modules()
import orjson
import orjson as again
import capnp.version
print(orjson.loads(again.dumps([1])), capnp.KjException.__name__)
import asyncio, sys
print("asyncio.events" in sys.modules, asyncio.run.__name__)
"""
    assert run_python(code) == "[1] KjException\nFalse run\n"


def test_a_missing_module_is_reported_by_its_import() -> None:
    code = """
from citronwinch import _deferred_imports
_deferred_imports.DEFERRED_MODULES = {"missing_module"}
_deferred_imports.defer_modules()
try:
    import missing_module
except ModuleNotFoundError as error:
    print(error.name)
"""
    assert run_python(code) == "missing_module\n"


def test_names_of_a_deferred_package_are_imported_from_their_submodules() -> None:
    code = """
import sys
from citronwinch._deferred_imports import defer_modules
defer_modules()
from citronwinch.coordination.flows import AgentFlows
print("citronwinch.coordination.flows._balancer_flows" in sys.modules)
from citronwinch.coordination import flows
print(sorted(name for name in flows.__all__ if not hasattr(flows, name)))
from citronwinch.platform import READY_PATH
print(AgentFlows is flows.AgentFlows, hasattr(flows, "missing"), READY_PATH)
"""
    assert run_python(code).splitlines() == ["False", "[]", "True False /readyz"]


@pytest.mark.parametrize("package", sorted(DEFERRED_PACKAGES))
def test_the_imports_of_a_package_are_found(package: str) -> None:
    source = inspect.getsource(importlib.import_module(package))
    expected = {
        name.name: statement.module
        for statement in ast.parse(source).body
        if isinstance(statement, ast.ImportFrom)
        for name in statement.names
    }
    assert _find_imported_names(source) == expected
