"""Packages that load their public names when asked."""

import subprocess
import sys

import pytest

import lagoonlatch.config
import lagoonlatch.membership
import lagoonlatch.platform
import lagoonlatch.upstreams

PACKAGES = [
    lagoonlatch.config,
    lagoonlatch.membership,
    lagoonlatch.platform,
    lagoonlatch.upstreams,
]


@pytest.mark.parametrize("package", PACKAGES, ids=lambda package: package.__name__)
def test_all_public_names_can_be_had(package):
    assert all(getattr(package, name) is not None for name in package.__all__)


def test_a_name_that_is_not_there_is_told_with_those_that_are():
    with pytest.raises(AttributeError, match="no 'Nothing'; it has .*UpstreamOwner"):
        _ = lagoonlatch.upstreams.Nothing


def test_an_entry_vm_loads_nothing_of_the_earlier_daemon():
    """Load: a VM that restarts is missing until its modules are loaded."""
    code = (
        "import sys, lagoonlatch.entry.process;"
        "print(*[m for m in sys.modules if m.startswith('lagoonlatch.')])"
    )
    found = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    packages = {name.split(".")[1] for name in found.stdout.split()}
    needless = {"callers", "config", "daemon", "dispatch", "limits", "ownership"}
    assert not packages & (needless | {"idempotency", "operators", "routing"})
