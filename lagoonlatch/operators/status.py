"""What one daemon says of itself to operators, and its JSON."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from lagoonlatch.clock import Stamp
from lagoonlatch.events import Event


@dataclass(frozen=True, kw_only=True)
class Status:
    """The state of one daemon.

    Parameters
    ----------
    vm : str
        The VM's id.
    incarnation : int
        Rises with each start of the daemon on this VM.
    data_centre, region : str
        Where the VM stands.
    configuration_version : int
        The version in force; 0 before the first.
    configuration_change_id : str
        The change that made that version.
    leaving : bool
        Whether a planned stop has begun.
    peers_alive : tuple of str
        Ids of the other VMs that answer.
    owned_slots_by_scope : mapping of str to int
        Ownership slots held.
    in_flight : int
        Requests of callers that are not answered yet.
    """

    vm: str
    incarnation: int
    data_centre: str
    region: str
    configuration_version: int
    configuration_change_id: str = ""
    leaving: bool = False
    peers_alive: tuple[str, ...] = ()
    owned_slots_by_scope: Mapping[str, int] = field(default_factory=dict)
    in_flight: int = 0


def encode_status(status: Status) -> bytes:
    """Return the JSON of a status."""
    return msgspec.json.encode(status)


def decode_status(document: bytes) -> Status:
    """Return the status in `document`.

    Raises
    ------
    msgspec.DecodeError
        If it is none.
    """
    return msgspec.json.decode(document, type=Status)


def encode_events(events: tuple[Event, ...]) -> bytes:
    """Return the JSON of events, oldest first."""
    return msgspec.json.encode(events)


def decode_events(document: bytes) -> tuple[Event, ...]:
    """Return the events in `document`.

    Raises
    ------
    msgspec.DecodeError
        If there are none.
    """
    return msgspec.json.decode(document, type=tuple[Event, ...])


def parse_stamp(text: str) -> Stamp | None:
    """Return the stamp written as ``millis`` or ``millis.counter``, else None."""
    millis, _, counter = text.partition(".")
    if not millis.isdecimal() or not (counter or "0").isdecimal():
        return None
    return Stamp(int(millis), int(counter or "0"))


def format_stamp(stamp: Stamp) -> str:
    """Return a stamp as ``millis.counter``."""
    return f"{stamp.millis}.{stamp.counter}"
