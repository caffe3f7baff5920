"""Propagate changes of the store from VM to VM, and answer VMs that missed some."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable

import gevent

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.entry.codec import (
    MAX_PIECE_BYTES,
    PatchAssembler,
    decode_batch,
    decode_behind,
    encode_batch,
    encode_patch,
    split_batch,
)
from lagoonlatch.entry.generated import ttypes as wire
from lagoonlatch.entry.replica import Batch, StoreReplica
from lagoonlatch.entry.versions import Patch
from lagoonlatch.platform.operator_keys import CONFIGURATION_KEY
from lagoonlatch.steering.model import VmRecord
from lagoonlatch.steering.neighbours import Neighbours
from lagoonlatch.steering.relays import (
    Partition,
    choose_far_recipients,
    choose_near_recipients,
)

REGION_TIMEOUT: Millis = 150.0
"""Delay after which a VM that got a change from another region sends it to its own
region, unless a VM there has already done so. The store answers the watchers of all
regions within a few round trips of each other."""

DATAGRAM_OVERHEAD_BYTES = 200
"""Approximate size of a datagram without changes."""

MAX_REPLY_DATAGRAMS = 8
"""Limit of the datagrams in one reply. A VM that misses more changes reads them by a
call, whose transport retransmits what a full link loses."""


class ChangePropagator:
    """Send changes of the store to other VMs, and handle those that they send.

    Parameters
    ----------
    send : callable
        Sends a datagram to some VMs.
    on_behind : callable
        Is called when this VM is known to lack changes.
    """

    def __init__(
        self,
        replica: StoreReplica,
        neighbours: Neighbours,
        send: Callable[[Iterable[VmRecord], wire.Datagram], None],
        on_behind: Callable[[], None],
    ) -> None:
        self._replica = replica
        self._neighbours = neighbours
        self._send = send
        self._on_behind = on_behind
        self._assembler = PatchAssembler()
        self._near_position = (0, 0)
        self._near_version = 0
        self._far_since: tuple[int, int] | None = None
        self._far_base: int | None = None

    def propagate(self, batch: Batch) -> None:
        """Send changes from this VM's watch to its region and some VMs of others."""
        has_configuration = any(c.key == CONFIGURATION_KEY for c in batch.changes)
        others = tuple(c for c in batch.changes if c.key != CONFIGURATION_KEY)
        sent_batch = Batch(
            since=batch.since,
            until=batch.until,
            changes=others,
            era=batch.era,
            configuration_version=self._replica.newest_configuration_version,
            configuration_revision=self._replica.configuration_revision,
            hold_left=self._replica.hold_left(),
        )
        versions = self._replica.versions
        patch = versions.patch_from(versions.previous) if has_configuration else None
        datagrams = _encode(sent_batch, patch)
        self._send_near(datagrams)
        self._send_far(datagrams)

    def handle_batch(self, wire_batch: wire.Batch, spread: wire.Spread | None) -> None:
        """Apply changes from another VM, and relay them as `spread` states.

        They are relayed to a partition of the region or, later, to the whole region; if
        `spread` is None, they are not relayed.
        """
        if wire_batch.era is None:
            # A VM of an earlier build; its revisions can't be compared.
            return
        batch = decode_batch(wire_batch)
        if spread is not None:
            self._relay_to_partition(wire.Datagram(batch=wire_batch), spread)
            if spread.is_far:
                self._send_to_region_later(since=(batch.era, batch.since))
            else:
                until = (batch.era, batch.until)
                self._near_position = max(self._near_position, until)
        if not self._replica.apply_batch(batch) or self._replica.lacks_configuration:
            self._on_behind()

    def handle_patch(self, piece: wire.Patch, spread: wire.Spread | None) -> None:
        """Add a piece of a patch from another VM, and relay it as in `handle_batch`."""
        if piece.version is None:
            return
        if spread is not None:
            self._relay_to_partition(wire.Datagram(patch=piece), spread)
            if spread.is_far:
                self._send_to_region_later(base=piece.base_version or 0)
            else:
                self._near_version = max(self._near_version, piece.version)
        patch = self._assembler.add(piece)
        if patch is not None and not self._replica.apply_patch(patch):
            self._on_behind()

    def answer(self, query: wire.Behind) -> list[wire.Datagram]:
        """Return the datagrams that bring another VM up to this VM's knowledge."""
        replica = self._replica
        known = decode_behind(query, replica)
        batch = patch = None
        if replica.knowledge.position > known.position:
            batch = replica.batch_since(known.revision, known.era)
            if batch is None:
                return [wire.Datagram(large=wire.Large(replica.revision))]
        if replica.configuration_version > known.version:
            patch = replica.versions.patch_from(known.version)
        if batch is None and patch is None:
            return []
        datagrams = _encode(batch, patch)
        if len(datagrams) > MAX_REPLY_DATAGRAMS or not datagrams:
            return [wire.Datagram(large=wire.Large(replica.revision))]
        return datagrams

    def _send_near(self, datagrams: Iterable[wire.Datagram]) -> None:
        near_by_id = {vm.id: vm for vm in self._neighbours.near}
        ready_ids = [vm.id for vm in self._neighbours.ready() if vm.id in near_by_id]
        for datagram in datagrams:
            recipients = choose_near_recipients(
                list(near_by_id), ready_ids, _size_of(datagram)
            )
            vms_by_partition: defaultdict[Partition | None, list[VmRecord]] = (
                defaultdict(list)
            )
            for vm, partition in recipients.items():
                vms_by_partition[partition].append(near_by_id[vm])
            for partition, vms in vms_by_partition.items():
                spread = wire.Spread(
                    part=partition.index if partition is not None else 0,
                    parts=partition.count if partition is not None else 0,
                    is_far=False,
                )
                self._send(vms, _with_spread(datagram, spread))

    def _send_far(self, datagrams: Iterable[wire.Datagram]) -> None:
        vms_by_region = self._neighbours.ready_far_by_region()
        vms_by_id = {vm.id: vm for vms in vms_by_region.values() for vm in vms}
        ids_by_region = {
            region: [vm.id for vm in vms] for region, vms in vms_by_region.items()
        }
        recipients = [vms_by_id[vm] for vm in choose_far_recipients(ids_by_region)]
        spread = wire.Spread(part=0, parts=0, is_far=True)
        for datagram in datagrams:
            self._send(recipients, _with_spread(datagram, spread))

    def _relay_to_partition(self, datagram: wire.Datagram, spread: wire.Spread) -> None:
        if not spread.parts:
            return
        partition = Partition(index=spread.part, count=spread.parts)
        members = [vm for vm in self._neighbours.near if partition.contains(vm.id)]
        self._send(members, _with_spread(datagram, wire.Spread(0, 0, False)))

    def _send_to_region_later(
        self, since: tuple[int, int] | None = None, base: int | None = None
    ) -> None:
        """Send changes from another region to this one later, unless a VM here does.

        Parameters
        ----------
        since : tuple of int or None
            Era and revision after which the changes begin.
        base : int or None
            Version on which the patch is based.
        """
        is_scheduled = self._far_since is not None or self._far_base is not None
        if since is not None:
            self._far_since = min(since, self._far_since or since)
        if base is not None:
            self._far_base = min(base, self._far_base or base)
        if not is_scheduled:
            gevent.spawn_later(REGION_TIMEOUT / MILLIS_PER_SECOND, self._send_to_region)

    def _send_to_region(self) -> None:
        since, base = self._far_since, self._far_base
        self._far_since = self._far_base = None
        replica = self._replica
        batch = patch = None
        position = replica.knowledge.position
        if since is not None and position > max(since, self._near_position):
            era, revision = max(since, self._near_position)
            batch = replica.batch_since(revision, era)
        if base is not None and replica.configuration_version > self._near_version:
            patch = replica.versions.patch_from(base)
        if batch is not None or patch is not None:
            self._near_position = max(self._near_position, position)
            self._send_near(_encode(batch, patch))


def _encode(batch: Batch | None, patch: Patch | None) -> list[wire.Datagram]:
    """Return the datagrams of both, the changes first.

    A batch that can't be split into datagrams is left out. Other VMs learn this VM's
    revision from its heartbeats and query it for the changes.
    """
    pieces = split_batch(batch) if batch is not None else None
    datagrams = [wire.Datagram(batch=encode_batch(piece)) for piece in pieces or ()]
    if patch is not None:
        datagrams += [wire.Datagram(patch=piece) for piece in encode_patch(patch)]
    return datagrams


def _size_of(datagram: wire.Datagram) -> int:
    if datagram.patch is not None:
        return DATAGRAM_OVERHEAD_BYTES + len(datagram.patch.data)
    changes = datagram.batch.changes
    size = sum(len(c.key) + len(c.value or b"") for c in changes)
    return DATAGRAM_OVERHEAD_BYTES + min(size, MAX_PIECE_BYTES)


def _with_spread(datagram: wire.Datagram, spread: wire.Spread) -> wire.Datagram:
    return wire.Datagram(batch=datagram.batch, patch=datagram.patch, spread=spread)
