"""In-memory store and VM list of the platform with outages and lost answers."""

from __future__ import annotations

from dataclasses import dataclass, field

from returns.result import Failure, Success

from lagoonlatch.platform.store import (
    Entry,
    ListedVm,
    StoreConflict,
    StoreLeaseEnded,
    StoreOutcomeUnknown,
    StoreUnavailable,
    VmState,
)


@dataclass
class FakeStore:
    entry_by_key: dict[str, Entry] = field(default_factory=dict)
    keys_by_lease: dict[int, set[str]] = field(default_factory=dict)
    revision: int = 0
    unavailable: bool = False
    lose_answers: bool = False
    calls: int = 0

    def read(self, key):
        return self._guard(lambda: Success(self.entry_by_key.get(key)))

    def read_prefix(self, prefix):
        return self._guard(
            lambda: Success(
                tuple(
                    entry
                    for key, entry in sorted(self.entry_by_key.items())
                    if key.startswith(prefix)
                )
            )
        )

    def put_if(self, key, value, revision, lease=0):
        def write():
            current = self.entry_by_key.get(key)
            if (current.revision if current else 0) != revision:
                return Failure(StoreConflict(key, current))
            if lease and lease not in self.keys_by_lease:
                return Failure(StoreLeaseEnded(lease))
            self.revision += 1
            self.entry_by_key[key] = Entry(key, value, self.revision)
            for keys in self.keys_by_lease.values():
                keys.discard(key)
            if lease:
                self.keys_by_lease[lease].add(key)
            if self.lose_answers:
                return Failure(StoreOutcomeUnknown("answer lost"))
            return Success(self.entry_by_key[key])

        return self._guard(write)

    def grant_lease(self, duration):
        def grant():
            self.revision += 1
            self.keys_by_lease[self.revision] = set()
            return Success(self.revision)

        return self._guard(grant)

    def renew_lease(self, lease):
        known = lease in self.keys_by_lease
        ended = Failure(StoreLeaseEnded(lease))
        return self._guard(lambda: Success(None) if known else ended)

    def revoke_lease(self, lease):
        return self._guard(lambda: Success(self.end_lease(lease)))

    def end_lease(self, lease):
        for key in self.keys_by_lease.pop(lease, ()):
            self.entry_by_key.pop(key, None)

    def _guard(self, call):
        self.calls += 1
        return Failure(StoreUnavailable("store is out")) if self.unavailable else call()


@dataclass
class FakeVmList:
    """Lists the VMs in `listed`, which a test can leave outdated."""

    listed: set[str] = field(default_factory=set)
    unavailable: bool = False
    calls: int = 0

    def read_vms(self):
        self.calls += 1
        if self.unavailable:
            return Failure(StoreUnavailable("list is out"))
        return Success(
            tuple(
                ListedVm(vm, "127.0.0.1", "dc", VmState.LIVE)
                for vm in sorted(self.listed)
            )
        )
