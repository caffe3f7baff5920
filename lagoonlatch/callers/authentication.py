"""Keys that callers show: finding, checking and removing them."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping, Sequence
from urllib.parse import unquote_plus

from returns.result import Failure, Result, Success

from lagoonlatch.callers.refusals import Refusal
from lagoonlatch.config.model import Configuration

KEY_HEADERS = frozenset({"authorization", "x-api-key", "proxy-authorization"})

_BEARER = "bearer "

Headers = Sequence[tuple[str, str]]


def key_digest(key: str) -> str:
    """Return the SHA-256 of `key` in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def organisations_by_key_digest(configuration: Configuration) -> Mapping[str, str]:
    """Return the organisation's id for each valid key's digest."""
    return {
        digest: organisation_id
        for organisation_id, item in configuration.organisations_by_id.items()
        for digest in item.key_digests
    }


def presented_key(headers: Headers) -> str | None:
    """Return the key shown in ``Authorization: Bearer`` or ``X-Api-Key``."""
    for name, value in headers:
        lowered = name.lower()
        if lowered == "authorization" and value.lower().startswith(_BEARER):
            return value[len(_BEARER) :].strip()
        if lowered == "x-api-key":
            return value.strip()
    return None


def check_exposure(key: str, target: str, body: bytes) -> Result[None, Refusal]:
    """Refuse a request whose target or body contains its own key.

    Neither can be changed without changing the request's meaning, and an upstream
    must not see the key.
    """
    if key in target or key in unquote_plus(target):
        return Failure(Refusal("key-exposed", "the key stands in the URL"))
    if key.encode() in body:
        return Failure(Refusal("key-exposed", "the key stands in the body"))
    return Success(None)


def without_keys(headers: Headers, key: str | None) -> list[tuple[str, str]]:
    """Return `headers` without those that carry credentials or contain `key`."""
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in KEY_HEADERS and not _contains(name, value, key)
    ]


def _contains(name: str, value: str, key: str | None) -> bool:
    if not key:
        return False
    return key in value or key in unquote_plus(value) or key.lower() in name.lower()
