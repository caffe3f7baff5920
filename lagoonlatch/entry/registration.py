"""Write and renew the entries of this VM in the store."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace

import gevent
from returns.result import Failure, Result

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.entry.events import RegistrationFailed
from lagoonlatch.entry.journal import emit
from lagoonlatch.entry.outage import OutageDetector
from lagoonlatch.platform.kv import KeyValueStore, Lease, Write
from lagoonlatch.platform.registrations import (
    ROSTER_PREFIX,
    VM_PREFIX,
    decode_vm,
    encode_roster,
    encode_vm,
)
from lagoonlatch.platform.store import StoreConflict, StoreError, StoreLeaseEnded
from lagoonlatch.steering.model import VmRecord

LEASE_DURATION: Millis = 5_000.0
"""Time after which the entry of a dead VM ends. VMs that received its heartbeats notice
its silence sooner."""

RENEW_INTERVAL: Millis = 2_000.0
"""Interval of renewals. A renewal and some retries may fail before the lease ends."""

RETRY_INTERVAL: Millis = 500.0
"""Average pause before a failed call is retried."""

MAX_REGISTRATION_DELAY: Millis = 1_000.0
"""Longest pause before a VM whose lease has ended registers again. All VMs may notice
that at the same time, when the store answers again after an outage or a restore."""

MAX_MISSED_RENEWALS = 2
"""Number of renewals after which an entry that the store doesn't show is written again.
A change of the store reaches all VMs between two renewals."""


class Registration:
    """Keep the entry of this VM alive under a lease, and its id in the roster.

    A restored store may lack the entry, and give the id of the lease to another VM.
    Each VM notices the new era at its next renewal, and writes its entry again.

    Parameters
    ----------
    is_listed : callable
        Returns whether the store contains the entry, as far as this VM knows.
    configuration_version : callable
        Returns the version of the configuration in force; 0 before the first. The entry
        states it, so that VMs that start later notice if a restored store lacks it.
    """

    def __init__(
        self,
        store: KeyValueStore,
        record: VmRecord,
        is_listed: Callable[[], bool],
        configuration_version: Callable[[], int],
        outage_detector: OutageDetector,
        clock: Clock,
    ) -> None:
        self._store = store
        self._outage_detector = outage_detector
        self._record = record
        self._is_listed = is_listed
        self._configuration_version = configuration_version
        self._clock = clock
        self._lease: Lease | None = None
        self._revision = 0
        self._missed_renewals = 0
        self._is_deregistered = False

    def run(self) -> None:
        """Register this VM, then renew its lease until it is deregistered."""
        while not self._is_deregistered:
            gevent.sleep(self._step() / MILLIS_PER_SECOND)

    def deregister(self) -> None:
        """Remove the entry of this VM, so that no more callers are sent to it.

        The lease isn't ended: after a restore, another VM may have one of its id.
        """
        self._is_deregistered = True
        if not self._revision:
            return
        key = f"{VM_PREFIX}{self._record.id}"
        removed = self._store.delete_if(key, self._revision)
        if isinstance(removed, Failure) and isinstance(
            removed.failure(), StoreConflict
        ):
            # A restored store contains the entry at another revision, or lacks it.
            current = removed.failure().current
            if current is None or not self._is_own(current.key, current.value):
                return
            removed = self._store.delete_if(key, current.revision)
        self._log_failure("leave", removed)

    def _is_own(self, key: str, value: bytes) -> bool:
        return (
            decode_vm(key, value)
            .map(lambda record: record.run == self._record.run)
            .value_or(False)
        )

    def _step(self) -> Millis:
        if self._lease is None:
            return self._register()
        sent = self._clock.now()
        renewed = self._store.renew_lease(self._lease)
        if not isinstance(renewed, Failure):
            self._outage_detector.note_success()
            self._missed_renewals = (
                0 if self._is_listed() else self._missed_renewals + 1
            )
            if self._missed_renewals >= MAX_MISSED_RENEWALS:
                # For example, a write of an earlier era was carried out after the
                # restore and has put the entry under another VM's lease.
                self._lease = None
                return 0.0
            return RENEW_INTERVAL
        self._log_failure("renew", renewed)
        if isinstance(renewed.failure(), StoreLeaseEnded):
            self._outage_detector.note_success()
            self._lease = None
            return random.uniform(0.0, MAX_REGISTRATION_DELAY)
        self._outage_detector.note_failure(sent)
        return _retry_delay()

    def _register(self) -> Millis:
        granted = self._store.grant_lease(LEASE_DURATION)
        if isinstance(granted, Failure):
            self._log_failure("grant", granted)
            return _retry_delay()
        if self._is_deregistered:
            return 0.0
        lease = granted.unwrap()
        record = replace(
            self._record,
            era=lease.era,
            configuration_version=self._configuration_version(),
        )
        written = self._store.put_all(
            [
                Write(f"{ROSTER_PREFIX}{record.id}", encode_roster(record.data_centre)),
                Write(f"{VM_PREFIX}{record.id}", encode_vm(record), lease),
            ]
        )
        if isinstance(written, Failure):
            self._log_failure("register", written)
            return _retry_delay()
        self._lease, self._revision = lease, written.unwrap()
        self._missed_renewals = 0
        return RENEW_INTERVAL

    def _log_failure(self, step: str, result: Result[object, StoreError]) -> None:
        if isinstance(result, Failure):
            emit(RegistrationFailed(step=step, why=str(result.failure())))


def _retry_delay() -> Millis:
    return RETRY_INTERVAL * random.uniform(0.5, 1.5)
