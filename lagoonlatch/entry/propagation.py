"""Passes changes of the store on from VM to VM, and answers those that missed some."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable

import gevent

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.entry.codec import (
    PIECE_BYTES,
    PatchAssembler,
    decode_batch,
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

NEAR_PATIENCE: Millis = 150.0
"""News from another region is passed on in this one if no VM here has done so by then;
the watchers of all regions are answered within some round trips of each other."""

DATAGRAM_BYTES = 200
"""Of a datagram without changes, roughly."""

MOST_DATAGRAMS = 8
"""Answers to one VM that missed changes; more are read by a call, which waits for a
link that is full."""


class ChangePropagator:
    """Passes on what the store has told.

    Parameters
    ----------
    send : callable
        Sends a datagram to some VMs.
    on_behind : callable
        Is called when something is known to be missing here.
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
        self._near_until = 0
        self._near_configuration = 0
        self._far_since: int | None = None
        self._far_base: int | None = None

    def propagate(self, batch: Batch) -> None:
        """Tell this region, and a few VMs of others, what this VM's watch has told."""
        has_configuration = any(c.key == CONFIGURATION_KEY for c in batch.changes)
        others = tuple(c for c in batch.changes if c.key != CONFIGURATION_KEY)
        told = Batch(
            since=batch.since,
            until=batch.until,
            changes=others,
            configuration=self._replica.newest_configuration,
            lapse_left=self._replica.lapse_left(),
        )
        versions = self._replica.versions
        patch = versions.patch_from(versions.previous) if has_configuration else None
        datagrams = _encode(told, patch)
        self._tell_near(datagrams)
        self._tell_far(datagrams)

    def handle_batch(self, told: wire.Batch, spread: wire.Spread | None) -> None:
        """Take in changes that another VM passes on."""
        batch = decode_batch(told)
        if spread is not None:
            self._relay(wire.Datagram(batch=told), spread)
            if spread.is_far:
                self._await_near(since=batch.since)
            else:
                self._near_until = max(self._near_until, batch.until)
        if not self._replica.handle_batch(batch) or self._lacks_configuration():
            self._on_behind()

    def handle_patch(self, piece: wire.Patch, spread: wire.Spread | None) -> None:
        """Take in a piece of a configuration that another VM passes on."""
        if spread is not None:
            self._relay(wire.Datagram(patch=piece), spread)
            if spread.is_far:
                self._await_near(base=piece.base)
            else:
                self._near_configuration = max(self._near_configuration, piece.revision)
        patch = self._assembler.add(piece)
        if patch is not None and not self._replica.handle_patch(patch):
            self._on_behind()

    def answer(self, asked: wire.Behind) -> list[wire.Datagram]:
        """Return what a VM misses that this one knows."""
        replica = self._replica
        batch = patch = None
        if replica.revision > asked.revision:
            batch = replica.batch_since(asked.revision)
            if batch is None:
                return [wire.Datagram(large=wire.Large(replica.revision))]
        if replica.configuration > asked.configuration:
            patch = replica.versions.patch_from(asked.configuration)
        if batch is None and patch is None:
            return []
        datagrams = _encode(batch, patch)
        if len(datagrams) > MOST_DATAGRAMS or not datagrams:
            return [wire.Datagram(large=wire.Large(replica.revision))]
        return datagrams

    def _lacks_configuration(self) -> bool:
        return self._replica.newest_configuration > self._replica.configuration

    def _tell_near(self, datagrams: Iterable[wire.Datagram]) -> None:
        near_by_id = {vm.id: vm for vm in self._neighbours.near}
        able = [vm.id for vm in self._neighbours.ready() if vm.id in near_by_id]
        for datagram in datagrams:
            chosen = choose_near_recipients(list(near_by_id), able, _size_of(datagram))
            vms_by_part: defaultdict[Partition | None, list[VmRecord]] = defaultdict(
                list
            )
            for vm, part in chosen.items():
                vms_by_part[part].append(near_by_id[vm])
            for part, vms in vms_by_part.items():
                spread = wire.Spread(
                    part=part.index if part is not None else 0,
                    parts=part.count if part is not None else 0,
                    is_far=False,
                )
                self._send(vms, _with_spread(datagram, spread))

    def _tell_far(self, datagrams: Iterable[wire.Datagram]) -> None:
        vms_by_region = self._neighbours.ready_far_by_region()
        vms_by_id = {vm.id: vm for vms in vms_by_region.values() for vm in vms}
        ids_by_region = {
            region: [vm.id for vm in vms] for region, vms in vms_by_region.items()
        }
        chosen = [vms_by_id[vm] for vm in choose_far_recipients(ids_by_region)]
        spread = wire.Spread(part=0, parts=0, is_far=True)
        for datagram in datagrams:
            self._send(chosen, _with_spread(datagram, spread))

    def _relay(self, datagram: wire.Datagram, spread: wire.Spread) -> None:
        if not spread.parts:
            return
        part = Partition(index=spread.part, count=spread.parts)
        served = [vm for vm in self._neighbours.near if part.contains(vm.id)]
        self._send(served, _with_spread(datagram, wire.Spread(0, 0, False)))

    def _await_near(self, since: int | None = None, base: int | None = None) -> None:
        """Serve this region later, should no VM here pass on what has come from afar.

        Parameters
        ----------
        since, base : int or None
            Where the changes, or the patch, begin.
        """
        is_awaited = self._far_since is not None or self._far_base is not None
        if since is not None:
            self._far_since = min(since, self._far_since or since)
        if base is not None:
            self._far_base = min(base, self._far_base or base)
        if not is_awaited:
            gevent.spawn_later(NEAR_PATIENCE / MILLIS_PER_SECOND, self._serve_region)

    def _serve_region(self) -> None:
        since, base = self._far_since, self._far_base
        self._far_since = self._far_base = None
        replica = self._replica
        batch = patch = None
        if since is not None and replica.revision > max(since, self._near_until):
            batch = replica.batch_since(max(since, self._near_until))
        if base is not None and replica.configuration > self._near_configuration:
            patch = replica.versions.patch_from(base)
        if batch is not None or patch is not None:
            self._near_until = max(self._near_until, replica.revision)
            self._tell_near(_encode(batch, patch))


def _encode(batch: Batch | None, patch: Patch | None) -> list[wire.Datagram]:
    """Return the datagrams of both, the changes first.

    A batch that can't be cut small enough is left out; other VMs see that this one
    knows more, and ask.
    """
    pieces = split_batch(batch) if batch is not None else None
    datagrams = [wire.Datagram(batch=encode_batch(piece)) for piece in pieces or ()]
    if patch is not None:
        datagrams += [wire.Datagram(patch=piece) for piece in encode_patch(patch)]
    return datagrams


def _size_of(datagram: wire.Datagram) -> int:
    if datagram.patch is not None:
        return DATAGRAM_BYTES + len(datagram.patch.data)
    changes = datagram.batch.changes
    size = sum(len(c.key) + len(c.value or b"") for c in changes)
    return DATAGRAM_BYTES + min(size, PIECE_BYTES)


def _with_spread(datagram: wire.Datagram, spread: wire.Spread) -> wire.Datagram:
    return wire.Datagram(batch=datagram.batch, patch=datagram.patch, spread=spread)
