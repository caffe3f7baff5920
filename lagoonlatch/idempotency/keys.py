"""Idempotency keys issued by the system: they name the VM that may run them."""

from __future__ import annotations

import secrets
from dataclasses import dataclass

from lagoonlatch.clock import Millis

ISSUED_PREFIX = "ll1"
SEPARATOR = "~"
ISSUED_KEY_VALIDITY: Millis = 3_600_000.0

_FIELDS = 5
_NONCE_BYTES = 9


@dataclass(frozen=True)
class IssuedKey:
    """An issued key.

    Parameters
    ----------
    vm, incarnation : str, int
        Only this run of this VM may run the key's request.
    issued_at : int
        Instant of the issuing VM's clock, in milliseconds.
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
        """Return the issued key that `text` spells, or None for a caller's own."""
        fields = text.split(SEPARATOR)
        if len(fields) != _FIELDS or fields[0] != ISSUED_PREFIX:
            return None
        _, vm, incarnation, issued_at, nonce = fields
        if not (incarnation.isascii() and incarnation.isdigit()):
            return None
        if not (issued_at.isascii() and issued_at.isdigit()):
            return None
        return cls(vm, int(incarnation), int(issued_at), nonce)

    def to_text(self) -> str:
        """Return the key as callers send it."""
        fields = (
            ISSUED_PREFIX,
            self.vm,
            str(self.incarnation),
            str(self.issued_at),
            self.nonce,
        )
        return SEPARATOR.join(fields)

    def expired(self, now: Millis) -> bool:
        """Return whether the issuing VM no longer accepts the key."""
        return now > self.issued_at + ISSUED_KEY_VALIDITY
