"""Idempotency keys issued by the system, each with the VM that may run its request."""

from __future__ import annotations

import secrets
from dataclasses import dataclass

from lagoonlatch.clock import Millis

ISSUED_PREFIX = "ll1"
SEPARATOR = "~"
ISSUED_KEY_VALIDITY: Millis = 3_600_000.0

_FIELD_COUNT = 5
_NONCE_BYTES = 9


@dataclass(frozen=True)
class IssuedKey:
    """An idempotency key issued by a VM.

    Parameters
    ----------
    vm, incarnation : str, int
        The VM, and its incarnation, that alone may run the key's request.
    issued_at : int
        Time on the issuing VM's clock, in milliseconds.
    nonce : str
        Makes the key unique.
    """

    vm: str
    incarnation: int
    issued_at: int
    nonce: str

    @classmethod
    def issue(cls, vm: str, incarnation: int, now: Millis) -> IssuedKey:
        """Return a new key of the VM `vm`."""
        return cls(vm, incarnation, int(now), secrets.token_urlsafe(_NONCE_BYTES))

    @classmethod
    def from_text(cls, text: str) -> IssuedKey | None:
        """Return the issued key in `text`, or None if it is a caller's own key."""
        fields = text.split(SEPARATOR)
        if len(fields) != _FIELD_COUNT or fields[0] != ISSUED_PREFIX:
            return None
        _, vm, incarnation, issued_at, nonce = fields
        if not (incarnation.isascii() and incarnation.isdigit()):
            return None
        if not (issued_at.isascii() and issued_at.isdigit()):
            return None
        return cls(vm, int(incarnation), int(issued_at), nonce)

    def to_text(self) -> str:
        """Return the key as text, in the form in which callers send it."""
        fields = (
            ISSUED_PREFIX,
            self.vm,
            str(self.incarnation),
            str(self.issued_at),
            self.nonce,
        )
        return SEPARATOR.join(fields)

    def is_expired(self, now: Millis) -> bool:
        """Return whether the issuing VM no longer accepts the key."""
        return now > self.issued_at + ISSUED_KEY_VALIDITY
