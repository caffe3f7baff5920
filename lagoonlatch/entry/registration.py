"""Write and renew the entries of this VM in the store."""

from __future__ import annotations

from dataclasses import replace

import gevent
from returns.result import Failure, Result

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.entry.events import RegistrationFailed
from lagoonlatch.entry.journal import emit
from lagoonlatch.entry.outage import OutageDetector
from lagoonlatch.platform.kv import KeyValueStore, Write
from lagoonlatch.platform.registrations import (
    ROSTER_PREFIX,
    VM_PREFIX,
    encode_roster,
    encode_vm,
)
from lagoonlatch.platform.store import StoreError, StoreLeaseEnded
from lagoonlatch.steering.model import VmRecord

LEASE_DURATION: Millis = 5_000.0
"""Time after which the entry of a dead VM ends. VMs that received its heartbeats notice
its silence sooner."""

RENEW_INTERVAL: Millis = 2_000.0
"""Interval of renewals. A renewal and some retries may fail before the lease ends."""

RETRY_INTERVAL: Millis = 500.0
"""Pause before a failed call is retried."""


class Registration:
    """Keep the entry of this VM alive under a lease, and its id in the roster."""

    def __init__(
        self,
        store: KeyValueStore,
        record: VmRecord,
        outage_detector: OutageDetector,
        clock: Clock,
    ) -> None:
        self._store = store
        self._outage_detector = outage_detector
        self._record = record
        self._clock = clock
        self._lease: int | None = None
        self._is_deregistered = False

    def run(self) -> None:
        """Register this VM, then renew its lease until it is deregistered."""
        while not self._is_deregistered:
            gevent.sleep(self._step() / MILLIS_PER_SECOND)

    def deregister(self) -> None:
        """Revoke the lease of this VM, so that no more callers are sent to it."""
        self._is_deregistered = True
        self._record = replace(self._record, is_ready=False)
        if self._lease is not None:
            self._log_failure("leave", self._store.revoke_lease(self._lease))

    def _step(self) -> Millis:
        if self._lease is None:
            return self._register()
        sent = self._clock.now()
        renewed = self._store.renew_lease(self._lease)
        if not isinstance(renewed, Failure):
            self._outage_detector.note_success()
            return RENEW_INTERVAL
        self._log_failure("renew", renewed)
        if isinstance(renewed.failure(), StoreLeaseEnded):
            self._outage_detector.note_success()
            self._lease = None
            return 0.0
        self._outage_detector.note_failure(sent)
        return RETRY_INTERVAL

    def _register(self) -> Millis:
        granted = self._store.grant_lease(LEASE_DURATION)
        if isinstance(granted, Failure):
            self._log_failure("grant", granted)
            return RETRY_INTERVAL
        lease = granted.unwrap()
        id_ = self._record.id
        written = self._store.put_all(
            [
                Write(f"{ROSTER_PREFIX}{id_}", encode_roster(self._record.data_centre)),
                Write(f"{VM_PREFIX}{id_}", encode_vm(self._record), lease),
            ]
        )
        if isinstance(written, Failure):
            self._log_failure("register", written)
            return RETRY_INTERVAL
        self._lease = lease
        return RENEW_INTERVAL

    def _log_failure(self, step: str, result: Result[object, StoreError]) -> None:
        if isinstance(result, Failure):
            emit(RegistrationFailed(step=step, why=str(result.failure())))
