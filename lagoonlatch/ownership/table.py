"""The table of the owners of a scope's slots, and its codec."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec
import xxhash
from returns.result import Failure, Result, Success

DEFAULT_SLOT_COUNT = 64


@dataclass(frozen=True)
class Owner:
    """One run of one VM.

    Parameters
    ----------
    vm : str
        The VM's id.
    incarnation : int
        Increases each time the VM's process starts.
    """

    vm: str
    incarnation: int


@dataclass(frozen=True)
class OwnershipTable:
    """The owner of each slot of a scope.

    Parameters
    ----------
    generation : int
        Increases by one with each write. Unlike the store's own revisions, it
        keeps increasing when the store is restored to an older state.
    owner_by_slot : Mapping of int to Owner
        Slots without an owner are absent.
    """

    generation: int = 0
    owner_by_slot: Mapping[int, Owner] = field(default_factory=dict)

    def slots_of(self, owner: Owner) -> frozenset[int]:
        """Return the slots that `owner` owns."""
        return frozenset(
            slot
            for slot, slot_owner in self.owner_by_slot.items()
            if slot_owner == owner
        )

    def with_owners(self, owner_by_slot: Mapping[int, Owner]) -> OwnershipTable:
        """Return the next generation of the table, updated with `owner_by_slot`."""
        merged = {**self.owner_by_slot, **owner_by_slot}
        return OwnershipTable(self.generation + 1, dict(sorted(merged.items())))


_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(OwnershipTable, strict=False)


def encode_table(table: OwnershipTable) -> bytes:
    """Return the table as JSON."""
    return _ENCODER.encode(table)


def decode_table(document: bytes) -> Result[OwnershipTable, str]:
    """Return the table in `document`, or a message that describes the error."""
    try:
        return Success(_DECODER.decode(document))
    except msgspec.DecodeError as error:
        return Failure(f"ownership table is malformed: {error}")


def hash_parts(*parts: str) -> int:
    """Return a 64-bit hash of `parts`, which is the same on every VM."""
    return xxhash.xxh3_64_intdigest("\0".join(parts).encode())


def slot_of(key: str, slot_count: int = DEFAULT_SLOT_COUNT) -> int:
    """Return the slot of `key`, from 0 to ``slot_count - 1``; the same on every VM."""
    return hash_parts(key) % slot_count
