"""Claims of callers' own idempotency keys in the platform's store."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result, Success

from lagoonlatch.callers.refusals import Refusal
from lagoonlatch.clock import Clock, Millis
from lagoonlatch.platform.store import (
    ABSENT_REVISION,
    Entry,
    Store,
    StoreConflict,
    StoreError,
    StoreOutcomeUnknown,
)

CLAIM_PREFIX = "claims/"
CLAIM_DURATION: Millis = 24 * 3_600_000.0
LEASE_SHARING_PERIOD: Millis = 60_000.0
STORE_RETRY_AFTER: Millis = 2_000.0


@dataclass(frozen=True)
class KeyHolder:
    """Which run of which VM may run a key's request."""

    vm: str
    incarnation: int


class ClaimStore:
    """Claims keys by create-if-absent, so that each has one holder.

    Claims end with leases of `CLAIM_DURATION`; those of one minute share a lease
    to save the store's writes.
    """

    def __init__(self, store: Store, me: KeyHolder, clock: Clock) -> None:
        self._store = store
        self._me = me
        self._clock = clock
        self._lease = 0
        self._lease_granted: Millis | None = None

    def claim(self, organisation: str, key: str) -> Result[KeyHolder, Refusal]:
        """Return the key's holder, which is this VM if the key was free."""
        store_key = claim_key(organisation, key)
        lease = self._current_lease()
        if isinstance(lease, Failure):
            return _unavailable(lease.failure())
        value = msgspec.json.encode(self._me)
        written = self._store.put_if(store_key, value, ABSENT_REVISION, lease.unwrap())
        if isinstance(written, Success):
            return Success(self._me)
        return self._settle(store_key, written.failure())

    def _settle(self, store_key: str, error: StoreError) -> Result[KeyHolder, Refusal]:
        if isinstance(error, StoreConflict) and error.current is not None:
            return Success(_decode(error.current))
        if not isinstance(error, StoreOutcomeUnknown):
            return _unavailable(error)
        found = self._store.read(store_key)
        if isinstance(found, Success) and found.unwrap() is not None:
            return Success(_decode(found.unwrap()))
        return _unavailable(error)

    def _current_lease(self) -> Result[int, StoreError]:
        now = self._clock.now()
        granted = self._lease_granted
        if granted is not None and now - granted < LEASE_SHARING_PERIOD:
            return Success(self._lease)
        lease = self._store.grant_lease(CLAIM_DURATION + LEASE_SHARING_PERIOD)
        if isinstance(lease, Success):
            self._lease = lease.unwrap()
            self._lease_granted = now
        return lease


def claim_key(organisation: str, key: str) -> str:
    """Return the store key of a claim; the caller's key itself isn't stored."""
    digest = hashlib.sha256(f"{organisation}\0{key}".encode()).hexdigest()
    return CLAIM_PREFIX + digest


def _decode(entry: Entry) -> KeyHolder:
    return msgspec.json.decode(entry.value, type=KeyHolder)


def _unavailable(error: StoreError) -> Result[KeyHolder, Refusal]:
    reason = getattr(error, "reason", "the claim changed meanwhile")
    detail = f"this attempt was not run ({reason}); resend with the same key"
    return Failure(Refusal("idempotency-store-unavailable", detail, STORE_RETRY_AFTER))
