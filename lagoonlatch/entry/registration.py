"""The entries that a VM writes to the store."""

from __future__ import annotations

from dataclasses import replace

import gevent
from returns.result import Failure, Result

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.entry.events import RegistrationFailed
from lagoonlatch.entry.journal import emit
from lagoonlatch.platform.kv import KeyValueStore
from lagoonlatch.platform.registrations import ROSTER_PREFIX, VM_PREFIX, encode_vm
from lagoonlatch.platform.store import StoreConflict, StoreError, StoreLeaseEnded
from lagoonlatch.steering.model import VmRecord

LEASE_DURATION: Millis = 4_000.0
"""A dead VM leaves the directory after this; callers try another one meanwhile."""

RENEW_INTERVAL: Millis = 1_500.0
"""Two renewals may fail before the lease ends."""

RETRY_INTERVAL: Millis = 500.0
"""Pause after a failed call."""


class Registration:
    """Keeps the VM's entry alive under a lease, and its name in the roster."""

    def __init__(self, store: KeyValueStore, record: VmRecord, clock: Clock) -> None:
        self._store = store
        self._record = record
        self._clock = clock
        self._lease: int | None = None
        self._is_enrolled = False
        self._is_leaving = False

    def run(self) -> None:
        """Register, then renew until the VM leaves."""
        while not self._is_leaving:
            gevent.sleep(self._step() / MILLIS_PER_SECOND)

    def leave(self) -> None:
        """Tell the others that callers should not be sent here any more."""
        self._is_leaving = True
        self._record = replace(self._record, is_ready=False)
        if self._lease is not None:
            self._log_failure("leave", self._store.revoke_lease(self._lease))

    def _step(self) -> Millis:
        if not self._is_enrolled:
            return self._enroll()
        if self._lease is None:
            return self._register()
        renewed = self._store.renew_lease(self._lease)
        if not isinstance(renewed, Failure):
            return RENEW_INTERVAL
        self._log_failure("renew", renewed)
        if isinstance(renewed.failure(), StoreLeaseEnded):
            self._lease = None
            return 0.0
        return RETRY_INTERVAL

    def _enroll(self) -> Millis:
        key = f"{ROSTER_PREFIX}{self._record.id}"
        written = self._store.put_if(key, b"{}", 0)
        known = isinstance(written, Failure) and isinstance(
            written.failure(), StoreConflict
        )
        if known or not isinstance(written, Failure):
            self._is_enrolled = True
            return 0.0
        self._log_failure("enroll", written)
        return RETRY_INTERVAL

    def _register(self) -> Millis:
        granted = self._store.grant_lease(LEASE_DURATION)
        if isinstance(granted, Failure):
            self._log_failure("grant", granted)
            return RETRY_INTERVAL
        lease = granted.unwrap()
        key = f"{VM_PREFIX}{self._record.id}"
        written = self._store.put(key, encode_vm(self._record), lease)
        if isinstance(written, Failure):
            self._log_failure("register", written)
            return RETRY_INTERVAL
        self._lease = lease
        return RENEW_INTERVAL

    def _log_failure(self, step: str, result: Result[object, StoreError]) -> None:
        if isinstance(result, Failure):
            emit(RegistrationFailed(step=step, why=str(result.failure())))
