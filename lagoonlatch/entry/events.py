"""The lines that an entry VM writes, one type for each.

docs/OPERATIONS.md lists them; a test keeps the two alike.
"""

from __future__ import annotations

import logging
import re
from collections.abc import Iterator
from dataclasses import dataclass, fields
from typing import ClassVar, TypeVar

from lagoonlatch.clock import Millis

_TYPES_BY_NAME: dict[str, type[LogEvent]] = {}


class LogEvent:
    """A line; its fields are those of the data class."""

    level: ClassVar[int] = logging.INFO
    name: ClassVar[str] = ""


E = TypeVar("E", bound=type[LogEvent])


def log_event(level: int = logging.INFO):
    """Return a decorator that registers a line's type under its name."""

    def decorate(kind: E) -> E:
        kind = dataclass(frozen=True, kw_only=True)(kind)
        kind.level = level
        kind.name = re.sub(r"(?<!^)(?=[A-Z])", "_", kind.__name__).lower()
        _TYPES_BY_NAME[kind.name] = kind
        return kind

    return decorate


def describe_events() -> Iterator[tuple[str, str, str]]:
    """Yield name, fields and meaning of each line, sorted by name."""
    for name, kind in sorted(_TYPES_BY_NAME.items()):
        names = ", ".join(f"`{field.name}`" for field in fields(kind))
        yield name, names, (kind.__doc__ or "").strip().splitlines()[0]


@log_event()
class RequestEnded(LogEvent):
    """A request got its final answer; `why` is empty if it went as planned."""

    request: str
    status: int
    why: str
    route: str
    service: str
    organisation: str
    upstream: str
    attempts: int
    waited_ms: int
    total_ms: int
    config: int
    facts_age_ms: int


@log_event()
class AttemptFailed(LogEvent):
    """One upstream did not answer a request; what follows is decided from this."""

    request: str
    upstream: str
    outcome: str
    why: str
    took_ms: int
    load: float


@log_event(logging.WARNING)
class RequestQuarantined(LogEvent):
    """A request has ended so many upstreams that it is refused for a while."""

    fingerprint: str
    deaths: int


@log_event()
class CallerBytesRejected(LogEvent):
    """A caller's bytes were no request that can be served."""

    status: int
    why: str


@log_event(logging.ERROR)
class RequestCrashed(LogEvent):
    """A defect of this program ended a request."""

    request: str
    why: str


@log_event()
class ConfigurationInForce(LogEvent):
    """A newer configuration is in force on this VM."""

    version: int
    routes: int
    organisations: int


@log_event(logging.WARNING)
class ConfigurationUnreadable(LogEvent):
    """A configuration in the store could not be read; the old one stays."""

    why: str


@log_event()
class EvacuationsChanged(LogEvent):
    """The data centres that get no requests have changed."""

    data_centres: str


@log_event()
class FactsRead(LogEvent):
    """The first reading of the store has brought so many upstreams and VMs."""

    upstreams: int
    vms: int


@log_event()
class UpstreamHeld(LogEvent):
    """An upstream's entry is gone, but may only have lapsed; it is used meanwhile."""

    upstream: str
    hold_ms: int


@log_event()
class UpstreamLeaving(LogEvent):
    """An upstream, or a VM that it answered, says that it leaves."""

    upstream: str
    told_by: str


@log_event()
class UpstreamResting(LogEvent):
    """An upstream wants nothing from this VM for a while."""

    upstream: str
    rest_ms: int


@log_event(logging.WARNING)
class UpstreamWishOdd(LogEvent):
    """An upstream's wish for rest can't be read, or is cut to the longest one."""

    upstream: str
    why: str


@log_event()
class UpstreamKnown(LogEvent):
    """The store tells of an upstream, anew or with a change."""

    upstream: str
    service: str
    data_centre: str
    draining: bool
    cold_ms: int


@log_event()
class UpstreamGone(LogEvent):
    """An upstream is used no more."""

    upstream: str
    why: str


@log_event(logging.WARNING)
class UpstreamEntryOdd(LogEvent):
    """An entry in the store names no upstream that can be used."""

    upstream: str
    why: str


@log_event()
class UpstreamSuspected(LogEvent):
    """An upstream gets nothing until it answers a health check."""

    upstream: str
    why: str


@log_event()
class UpstreamTrusted(LogEvent):
    """A suspected upstream has answered its health check."""

    upstream: str
    after_ms: int
    cold_ms: int


@log_event()
class VmKnown(LogEvent):
    """The store tells of another VM, anew or with a change."""

    subject: str
    ready: bool
    run: int


@log_event()
class VmGone(LogEvent):
    """The store's entry of a VM has ended."""

    subject: str


@log_event(logging.WARNING)
class VmEntryOdd(LogEvent):
    """An entry in the store names no VM that can be used."""

    why: str


@log_event(logging.WARNING)
class StoreLost(LogEvent):
    """A call to the store has failed; facts are as old as `revision`."""

    why: str
    revision: int


@log_event()
class StoreRegained(LogEvent):
    """The store answers again."""

    outage_ms: int
    revision: int


@log_event()
class WatchHistoryGone(LogEvent):
    """The store has dropped the changes since `revision`; all is read anew."""

    revision: int


@log_event(logging.WARNING)
class WatchSilent(LogEvent):
    """The store has not told this VM's watch of changes that other VMs know."""

    since: int
    revision: int


@log_event()
class StandingChanged(LogEvent):
    """A change between watching the store and listening to VMs that do."""

    standing: str
    revision: int


@log_event()
class NewsTaken(LogEvent):
    """Another VM has answered with changes of the store that this one missed."""

    peer: str
    revision: int


@log_event()
class NewsFailed(LogEvent):
    """A call to another VM for what this one misses has failed."""

    peer: str
    why: str


@log_event(logging.WARNING)
class RegistrationFailed(LogEvent):
    """A step of this VM's own entry in the store failed; it is tried again."""

    step: str
    why: str


@log_event(logging.DEBUG)
class DatagramLost(LogEvent):
    """A datagram could not be sent or had no receiver."""

    peer: str
    why: str


@log_event(logging.WARNING)
class HomeSilent(LogEvent):
    """The VM that counts an upstream's slots doesn't answer; the next one counts."""

    subject: str
    upstream: str


@log_event(logging.WARNING)
class DatagramUnreadable(LogEvent):
    """Bytes on the peers' port are no datagram of a peer."""

    source: str
    why: str


@log_event()
class Started(LogEvent):
    """The process has started."""

    first_start: bool
    run: int


@log_event()
class Reloaded(LogEvent):
    """The settings file was read again."""

    store: str


@log_event(logging.ERROR)
class ReloadFailed(LogEvent):
    """The settings file could not be read; the old settings stay."""

    why: str


@log_event()
class Stopping(LogEvent):
    """A planned stop has begun."""

    connections: int


@log_event()
class Stopped(LogEvent):
    """The process ends; `connections` are cut."""

    connections: int
    after_ms: Millis


@log_event(logging.ERROR)
class TaskFailed(LogEvent):
    """A task that must last as long as the process has ended; so does the process."""

    why: str


@log_event(logging.WARNING)
class LinesLeftOut(LogEvent):
    """Lines of one kind came too fast, or their reader is too slow."""

    kind: str
    count: int
