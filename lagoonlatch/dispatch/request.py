"""A caller's checked request, and its answer."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from lagoonlatch.clock import Millis

OPEN_ORGANISATION = ""
"""The organisation of requests on open routes, which need no API key."""


@dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """A request that has passed all checks and may run for its organisation.

    Parameters
    ----------
    request_id : str
        Identifies the request in logs and to the upstream.
    organisation : str
        The organisation whose API key the request has; empty on an open route.
    service : str
        The requested service.
    method, target : str
        HTTP method, and path with query as the upstream sees them.
    headers : tuple of (str, str)
        Headers without API keys.
    body : bytes
        The complete body.
    deadline : Millis
        Time on this VM's `Clock` at which the caller stops waiting.
    idempotent : bool
        Whether the request may be sent to an upstream again.
    idempotency_key : str
        The key for which the request runs at most once, or empty.
    client : str
        The caller's IP address.
    """

    request_id: str
    organisation: str
    service: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline: Millis
    idempotent: bool
    idempotency_key: str = ""
    client: str = ""

    def fingerprint(self) -> str:
        """Return a digest of the organisation, service, method, target and body."""
        digest = hashlib.blake2b(digest_size=16)
        for part in (self.organisation, self.service, self.method, self.target):
            digest.update(part.encode())
            digest.update(b"\0")
        digest.update(self.body)
        return digest.hexdigest()


@dataclass(frozen=True)
class Answer:
    """An upstream's complete answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
