"""Builds the one binary: a zipapp of lagoonlatch and its libraries.

``python -m lagoonlatch.binary OUT`` copies what the running interpreter has
installed, so it needs no network. The zipapp unpacks itself once, by default under
``~/.shiv``, and runs in the process that was started; see docs/design/binary.md.
"""

from __future__ import annotations

import importlib.metadata
import shutil
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

import defopt
from packaging.requirements import Requirement
from packaging.utils import canonicalize_name

PROJECT = Path(__file__).parents[1]
ENTRY_POINT = "lagoonlatch.__main__:main"

_SKIPPED_FOLDERS = frozenset({"__pycache__", "tests", "testing", "docs", "include"})
_SKIPPED_SUFFIXES = frozenset({".c", ".pyc", ".pxd", ".pyi", ".pyx", ".h", ".cpp"})
_SKIPPED_PACKAGES = frozenset({"standins"})
# zope.interface needs it to be built, not to run.
_UNUSED_DISTRIBUTIONS = frozenset({"setuptools"})
_KEPT_METADATA = frozenset({"METADATA"})


def build(out: Path) -> None:
    """Build the binary.

    Parameters
    ----------
    out
        The file to write.
    """
    out.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as staging:
        site_packages = Path(staging, "site-packages")
        for name in sorted(required_distributions()):
            _copy_distribution(name, site_packages)
        _copy_package(site_packages)
        _zip(site_packages, out)
    size = out.stat().st_size
    print(f"{out}: {size:,} bytes", file=sys.stderr)


def required_distributions() -> set[str]:
    """Return the distributions that the daemon needs, with what those need."""
    project = tomllib.loads((PROJECT / "pyproject.toml").read_text())
    open_requirements = list(project["project"]["dependencies"])
    found: set[str] = set()
    while open_requirements:
        requirement = Requirement(open_requirements.pop())
        if requirement.marker and not requirement.marker.evaluate({"extra": ""}):
            continue
        name = canonicalize_name(requirement.name)
        if name not in found | _UNUSED_DISTRIBUTIONS:
            found.add(name)
            distribution = importlib.metadata.distribution(name)
            open_requirements += distribution.requires or []
    return found


def _copy_distribution(name: str, target: Path) -> None:
    distribution = importlib.metadata.distribution(name)
    for file in distribution.files or ():
        if _is_needed(Path(str(file))):
            copy = target / str(file)
            copy.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(distribution.locate_file(file), copy)


def _is_needed(file: Path) -> bool:
    if ".." in file.parts or _SKIPPED_FOLDERS & set(file.parts):
        return False
    if file.parts[0].endswith(".dist-info"):
        return file.name in _KEPT_METADATA
    return file.suffix not in _SKIPPED_SUFFIXES


def _copy_package(target: Path) -> None:
    shutil.copytree(
        PROJECT / "lagoonlatch",
        target / "lagoonlatch",
        ignore=shutil.ignore_patterns("__pycache__", *_SKIPPED_PACKAGES),
    )


def _zip(site_packages: Path, out: Path) -> None:
    version = f"{sys.version_info.major}.{sys.version_info.minor}"
    command = [sys.executable, "-m", "shiv", "--reproducible", "--compressed"]
    command += ["--site-packages", str(site_packages)]
    command += ["--entry-point", ENTRY_POINT]
    # Extension modules fit one version of the interpreter.
    command += ["--python", f"/usr/bin/env python{version}"]
    command += ["--output-file", str(out)]
    subprocess.run(command, check=True)


if __name__ == "__main__":
    defopt.run(build, short={})
