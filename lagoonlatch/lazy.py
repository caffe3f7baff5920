"""Packages whose public names are loaded when they are asked for.

A VM that restarts is missing until it has loaded its modules, so a package doesn't
load the parts of it that nobody uses.
"""

from __future__ import annotations

import importlib
from collections.abc import Callable, Mapping, Sequence


def lazy_names(
    package: str, names_by_module: Mapping[str, Sequence[str]]
) -> Callable[[str], object]:
    """Return the ``__getattr__`` of `package`.

    Parameters
    ----------
    names_by_module : mapping of str to sequence of str
        The public names that each module of the package defines.

    Raises
    ------
    AttributeError
        By the function returned, for a name that no module defines.
    """
    module_by_name = {
        name: module for module, names in names_by_module.items() for name in names
    }

    def load(name: str) -> object:
        module = module_by_name.get(name)
        if module is None:
            valid = ", ".join(sorted(module_by_name))
            raise AttributeError(f"{package} has no {name!r}; it has {valid}")
        return getattr(importlib.import_module(f"{package}.{module}"), name)

    return load
