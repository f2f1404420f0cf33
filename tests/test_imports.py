"""Rules on imports between packages, checked on the source.

Packages import only what ALLOWED_IMPORTS lists, decisions (knapweedhinge/routing) do
no input or output, only the demo uses the stand-ins, and nothing starts processes.
"""

import ast
import subprocess
import sys
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PACKAGE = "knapweedhinge"
STAND_INS = f"{PACKAGE}.test"

# The packages of the project that each package may import, besides itself.
ALLOWED_IMPORTS = {
    "conf": {"core"},
    "core": {"conf"},
    "routing": {"conf", "core"},
    "backing": {"conf", "core"},
    "http1": {"conf", "core"},
    "endpoints": {"conf", "core", "http1", "routing"},
    "peers": {"conf", "core", "routing"},
    "controllers": {"conf", "core", "backing", "endpoints", "peers", "routing"},
    "filters": {
        "conf",
        "controllers",
        "core",
        "endpoints",
        "http1",
        "peers",
        "backing",
        "routing",
    },
    "http": {"conf", "controllers", "core", "filters"},
    "platform": {
        "conf",
        "controllers",
        "core",
        "filters",
        "http1",
        "peers",
        "routing",
    },
}

# Modules that assemble the program, and the stand-ins, may import any package.
ASSEMBLY_MODULES = {"__init__", "__main__", "demo", "node", "test"}
COMMANDS_PACKAGE = f"{PACKAGE}.core.management"
# What the users' platform runs; alone in its package, it may import ``node``.
ENTRY_POINT = f"{PACKAGE}.platform.program"
# Packages that the commands may import, besides those that ``core`` may.
ALLOWED_TO_COMMANDS = {"backing", "controllers", "demo", "node"}

# Libraries that are imported by another name than they are installed by.
DEPLOYED_IMPORT_NAMES = {"hdrhistogram": "hdrh", "pycapnp": "capnp"}
# What the deployed libraries themselves install and import.
DEPENDENCIES_OF_DEPLOYED = {"cython_runtime", "pyhdrh", "typing_extensions"}

# Modules that decisions may not import. Decisions get the present time as an argument.
IMPURE_MODULES = {
    "aiohttp",
    "asyncio",
    "capnp",
    "datetime",
    "os",
    "reactivex",
    "secrets",
    "socket",
    "threading",
    "time",
}
# Modules and functions that start processes.
PROCESS_STARTERS = {
    "ProcessPoolExecutor",
    "create_subprocess_exec",
    "create_subprocess_shell",
    "fork",
    "multiprocessing",
    "popen",
    "posix_spawn",
    "subprocess",
    "subprocess_exec",
    "system",
}


def sources(*names):
    """Return all Python files in the given folders of the repository."""
    return [path for name in names for path in sorted((ROOT / name).rglob("*.py"))]


def module_of(path):
    """Return the dotted name of the module in a file."""
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts).removesuffix(".__init__")


def package_of(module):
    """Return the second part of a module's name, or ``__init__`` if there is none."""
    parts = module.split(".")
    return parts[1] if len(parts) > 1 else "__init__"


@cache
def parsed(path):
    """Return the syntax tree of a file."""
    return ast.parse(path.read_text(encoding="utf-8"))


def imports(path):
    """Return the full names that a file imports, also inside functions.

    Relative imports are resolved. ``from a import b`` counts as ``a`` and ``a.b``.
    """
    base = module_of(path).split(".")
    found = set()
    for node in ast.walk(parsed(path)):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            parents = base[: len(base) - node.level + (path.stem == "__init__")]
            suffix = [node.module] if node.module else []
            module = ".".join([*parents, *suffix] if node.level else suffix)
            found |= {module} | {f"{module}.{alias.name}" for alias in node.names}
    return found


def attributes(path):
    """Return the names of all attributes that a file uses."""
    tree = parsed(path)
    return {node.attr for node in ast.walk(tree) if isinstance(node, ast.Attribute)}


def project_packages(path):
    """Return the packages below ``knapweedhinge`` that a file imports."""
    return {
        package_of(name)
        for name in imports(path)
        if name.split(".")[0] == PACKAGE and "." in name
    }


@pytest.mark.parametrize("package", sorted(ALLOWED_IMPORTS))
def test_package_imports_only_what_lies_below(package):
    violations = []
    for path in sources(f"{PACKAGE}/{package}"):
        allowed = ALLOWED_IMPORTS[package] | {package}
        if module_of(path).startswith(COMMANDS_PACKAGE):
            allowed |= ALLOWED_TO_COMMANDS
        if module_of(path) == ENTRY_POINT:
            allowed |= {"node"}
        # Without names that the package itself defines, such as ``__version__``.
        imported = project_packages(path) & (
            set(ALLOWED_IMPORTS) | ASSEMBLY_MODULES - {"__init__"}
        )
        violations += [(module_of(path), name) for name in sorted(imported - allowed)]
    assert violations == []


def test_every_package_has_a_rule():
    names = {
        path.name if path.is_dir() else path.stem
        for path in (ROOT / PACKAGE).iterdir()
        if path.suffix == ".py" or (path / "__init__.py").exists()
    }
    assert names <= set(ALLOWED_IMPORTS) | ASSEMBLY_MODULES


def test_only_the_demo_imports_stand_ins():
    violations = [
        module_of(path)
        for path in sources(PACKAGE)
        if package_of(module_of(path)) not in ("demo", "test")
        and any(name.startswith(STAND_INS) for name in imports(path))
    ]
    assert violations == []


def test_decisions_do_no_input_or_output():
    violations = [
        (module_of(path), name)
        for path in sources(f"{PACKAGE}/routing")
        for name in sorted(imports(path))
        if name.split(".")[0] in IMPURE_MODULES
    ]
    assert violations == []


def test_no_process_starts_another():
    violations = [
        (module_of(path), name)
        for path in sources(PACKAGE)
        for name in sorted(imports(path) | attributes(path))
        if name.split(".")[0] in PROCESS_STARTERS
    ]
    assert violations == []


IMPORT_STATEMENTS = [
    # source of a module in knapweedhinge/routing, a name that it imports
    ("import time", "time"),
    ("def f():\n    import asyncio", "asyncio"),
    ("from time import monotonic", "time.monotonic"),
    ("from ..http import server", "knapweedhinge.http.server"),
    ("from . import balance", "knapweedhinge.routing.balance"),
    ("from knapweedhinge import test", "knapweedhinge.test"),
]


@pytest.mark.parametrize("text,name", IMPORT_STATEMENTS)
def test_imports_are_seen(monkeypatch, tmp_path, text, name):
    path = tmp_path / PACKAGE / "routing" / "some.py"
    path.parent.mkdir(parents=True)
    path.write_text(text)
    monkeypatch.setattr(f"{__name__}.ROOT", tmp_path)
    assert name in imports(path)


def deployed_packages() -> set[str]:
    """Return the import names of the libraries that the platform installs for nodes."""
    lines = (ROOT / "deploy" / "requirements.txt").read_text().splitlines()
    names = {line.partition("==")[0] for line in lines if not line.startswith("#")}
    return {DEPLOYED_IMPORT_NAMES.get(name, name) for name in names}


def test_a_node_on_the_platform_imports_only_what_is_installed_there():
    code = (
        "import sys; before = set(sys.modules); import knapweedhinge.node.relay;"
        "print(*{name.partition('.')[0] for name in set(sys.modules) - before})"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], check=True, capture_output=True, text=True
    )
    loaded = set(done.stdout.split()) - sys.stdlib_module_names - {PACKAGE}
    third_party = {
        name for name in loaded if not name.startswith("_") and name != "sitecustomize"
    }
    assert third_party <= deployed_packages() | DEPENDENCIES_OF_DEPLOYED
