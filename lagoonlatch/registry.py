"""Registries of interchangeable implementations, filled by decorators."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from returns.result import Failure, Result, Success

T = TypeVar("T")


class Registry(Generic[T]):
    """Named implementations of one interface.

    Parameters
    ----------
    kind : str
        What the registry holds, as used in error messages.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._item_by_name: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that adds the decorated item as `name`.

        Raises
        ------
        AssertionError
            If `name` is registered already, which is a programming error.
        """

        def decorate(item: T) -> T:
            assert name not in self._item_by_name, f"{self._kind} {name!r} twice"
            self._item_by_name[name] = item
            return item

        return decorate

    def find(self, name: str) -> Result[T, str]:
        """Return the item called `name`, or a message listing the valid names."""
        if name in self._item_by_name:
            return Success(self._item_by_name[name])
        valid = ", ".join(sorted(self._item_by_name))
        return Failure(f"unknown {self._kind} {name!r}; valid: {valid}")

    def names(self) -> Iterator[str]:
        """Iterate over the registered names, sorted."""
        return iter(sorted(self._item_by_name))
