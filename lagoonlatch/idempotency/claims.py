"""Claims of callers' own idempotency keys, held in the platform's store."""

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
    """The run of a VM that alone may run the requests of a key."""

    vm: str
    incarnation: int


class ClaimStore:
    """Claims keys by create-if-absent, so that each key has a single holder.

    A claim lasts at least `CLAIM_DURATION`, until its lease ends. Claims made within
    `LEASE_SHARING_PERIOD` share a lease, which saves writes to the store.
    """

    def __init__(self, store: Store, this_vm: KeyHolder, clock: Clock) -> None:
        self._store = store
        self._this_vm = this_vm
        self._clock = clock
        self._lease = 0
        self._lease_granted_at: Millis | None = None

    def claim(self, organisation: str, key: str) -> Result[KeyHolder, Refusal]:
        """Return the key's holder, which is this VM if the key was free."""
        store_key = claim_key(organisation, key)
        lease_outcome = self._current_lease()
        if isinstance(lease_outcome, Failure):
            return _unavailable(lease_outcome.failure())
        value = msgspec.json.encode(self._this_vm)
        write_outcome = self._store.put_if(
            store_key, value, ABSENT_REVISION, lease_outcome.unwrap()
        )
        if isinstance(write_outcome, Success):
            return Success(self._this_vm)
        return self._resolve_failed_write(store_key, write_outcome.failure())

    def _resolve_failed_write(
        self, store_key: str, error: StoreError
    ) -> Result[KeyHolder, Refusal]:
        if isinstance(error, StoreConflict) and error.current is not None:
            return Success(_decode(error.current))
        if not isinstance(error, StoreOutcomeUnknown):
            return _unavailable(error)
        read_outcome = self._store.read(store_key)
        if isinstance(read_outcome, Success) and read_outcome.unwrap() is not None:
            return Success(_decode(read_outcome.unwrap()))
        return _unavailable(error)

    def _current_lease(self) -> Result[int, StoreError]:
        now = self._clock.now()
        granted_at = self._lease_granted_at
        if granted_at is not None and now - granted_at < LEASE_SHARING_PERIOD:
            return Success(self._lease)
        lease_outcome = self._store.grant_lease(CLAIM_DURATION + LEASE_SHARING_PERIOD)
        if isinstance(lease_outcome, Success):
            self._lease = lease_outcome.unwrap()
            self._lease_granted_at = now
        return lease_outcome


def claim_key(organisation: str, key: str) -> str:
    """Return the store key of a claim: a digest in place of the caller's key."""
    digest = hashlib.sha256(f"{organisation}\0{key}".encode()).hexdigest()
    return CLAIM_PREFIX + digest


def _decode(entry: Entry) -> KeyHolder:
    return msgspec.json.decode(entry.value, type=KeyHolder)


def _unavailable(error: StoreError) -> Result[KeyHolder, Refusal]:
    reason = getattr(error, "reason", "the claim changed meanwhile")
    detail = f"this attempt was not run ({reason}); resend with the same key"
    return Failure(Refusal("idempotency-store-unavailable", detail, STORE_RETRY_AFTER))
