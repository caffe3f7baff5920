"""Define the log events of an entry VM, one class for each.

docs/OPERATIONS.md lists them, and a test compares that table with the classes.
"""

from __future__ import annotations

import logging
import re
from collections.abc import Iterator
from dataclasses import dataclass, fields
from typing import ClassVar, TypeVar

from lagoonlatch.clock import Millis

_EVENT_TYPE_BY_NAME: dict[str, type[LogEvent]] = {}


class LogEvent:
    """Base class of log events, which are data classes with the logged fields."""

    level: ClassVar[int] = logging.INFO
    name: ClassVar[str] = ""


E = TypeVar("E", bound=type[LogEvent])


def log_event(level: int = logging.INFO):
    """Return a decorator that registers the class of a log event under its name."""

    def decorate(event_type: E) -> E:
        event_type = dataclass(frozen=True, kw_only=True)(event_type)
        event_type.level = level
        event_type.name = re.sub(r"(?<!^)(?=[A-Z])", "_", event_type.__name__).lower()
        _EVENT_TYPE_BY_NAME[event_type.name] = event_type
        return event_type

    return decorate


def describe_events() -> Iterator[tuple[str, str, str]]:
    """Yield name, fields and meaning of each log event, sorted by name."""
    for name, event_type in sorted(_EVENT_TYPE_BY_NAME.items()):
        names = ", ".join(f"`{field.name}`" for field in fields(event_type))
        yield name, names, (event_type.__doc__ or "").strip().splitlines()[0]


@log_event()
class RequestEnded(LogEvent):
    """A request got its final answer; `why` is empty if nothing went wrong.

    `upstream_status` is the status of the latest whole answer of an upstream, 0 without
    one. `limited_by` is an upstream whose rate limit sent the request elsewhere.
    """

    request: str
    status: int
    why: str
    route: str
    service: str
    organisation: str
    upstream: str
    upstream_status: int
    limited_by: str
    attempts: int
    waited_ms: int
    total_ms: int
    config: int
    facts_age_ms: int


@log_event()
class AttemptFailed(LogEvent):
    """One upstream did not answer a request; the failure decides what follows."""

    request: str
    upstream: str
    outcome: str
    why: str
    took_ms: int
    load: float


@log_event(logging.WARNING)
class RequestQuarantined(LogEvent):
    """A request has ended several upstreams, and at most one copy at a time may run."""

    fingerprint: str
    deaths: int


@log_event()
class CallerBytesRejected(LogEvent):
    """The bytes from a caller are not a request that can be served."""

    status: int
    why: str


@log_event()
class BodyRefused(LogEvent):
    """A body was not read to its end, as bodies use the memory that they may."""

    request: str
    status: int
    why: str


@log_event()
class AnswerCutOff(LogEvent):
    """An answer was not written whole, so its connection has been ended."""

    why: str


@log_event()
class AnswerDiscarded(LogEvent):
    """An answer was not written, since the connection had ended before."""

    request: str
    status: int


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


@log_event()
class ConfigurationUncertain(LogEvent):
    """The store's configuration is not used yet, since VMs may have a later one.

    `latest` is the latest version that a VM's entry states, 0 if none does.
    """

    version: int
    latest: int


@log_event(logging.WARNING)
class RouteKindsUnknown(LogEvent):
    """A configuration names kinds of routes that this version doesn't know.

    Their requests may run once.
    """

    version: int
    kinds: str


@log_event(logging.WARNING)
class ConfigurationUnreadable(LogEvent):
    """A configuration in the store could not be read; the old one stays in force."""

    why: str


@log_event()
class EvacuationsChanged(LogEvent):
    """The set of data centres that get no requests has changed."""

    data_centres: str


@log_event()
class FactsRead(LogEvent):
    """The store was read for the first time; the entries that it holds are counted."""

    upstreams: int
    vms: int


@log_event()
class UpstreamHeld(LogEvent):
    """An upstream's entry is gone, perhaps only lapsed; it is used for `hold_ms`."""

    upstream: str
    hold_ms: int


@log_event()
class UpstreamLeaving(LogEvent):
    """An upstream is leaving, as reported by itself or by a VM that it answered."""

    upstream: str
    told_by: str


@log_event()
class UpstreamResting(LogEvent):
    """An upstream asks this VM to send it no requests for `rest_ms`."""

    upstream: str
    rest_ms: int


@log_event()
class UpstreamLimited(LogEvent):
    """An upstream has named or changed its limit, in requests a second."""

    upstream: str
    rate: float
    told_by: str


@log_event()
class UpstreamUnlimited(LogEvent):
    """An upstream has answered a newer request without its limit."""

    upstream: str
    told_by: str


@log_event(logging.WARNING)
class UpstreamWishOdd(LogEvent):
    """An upstream's rest time or limit can't be read, or its rest time is reduced."""

    upstream: str
    why: str


@log_event()
class UpstreamKnown(LogEvent):
    """The store holds a new or changed entry of an upstream."""

    upstream: str
    service: str
    data_centre: str
    draining: bool
    cold_ms: int


@log_event()
class UpstreamGone(LogEvent):
    """An upstream is no longer used."""

    upstream: str
    why: str


@log_event(logging.WARNING)
class UpstreamEntryOdd(LogEvent):
    """An entry in the store does not describe a usable upstream."""

    upstream: str
    why: str


@log_event()
class UpstreamSuspected(LogEvent):
    """An upstream gets no requests until it answers a health check."""

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
    """The store holds a new or changed entry of another VM."""

    subject: str
    ready: bool
    run: int


@log_event()
class VmGone(LogEvent):
    """The entry of a VM has been removed from the store."""

    subject: str


@log_event(logging.WARNING)
class VmEntryOdd(LogEvent):
    """An entry in the store does not describe a usable VM."""

    why: str


@log_event(logging.WARNING)
class RosterEntryOdd(LogEvent):
    """An entry in the store does not describe a VM of the roster."""

    why: str


@log_event(logging.ERROR)
class EntryFailed(LogEvent):
    """A defect of this program kept an entry of the store from being applied."""

    entry: str
    why: str


@log_event(logging.WARNING)
class StoreLost(LogEvent):
    """A call to the store has failed; its contents are known up to `revision`."""

    why: str
    revision: int


@log_event()
class StoreRegained(LogEvent):
    """The store answers again."""

    outage_ms: int
    revision: int


@log_event(logging.WARNING)
class StoreEraOdd(LogEvent):
    """The store states an era that can't be read; the known one stays."""

    era: str


@log_event(logging.WARNING)
class StoreRestored(LogEvent):
    """The store was restored from a copy, as a snapshot from `told_by` shows."""

    told_by: str
    known_era: int
    known_revision: int
    era: int
    revision: int


@log_event()
class RestoreSettling(LogEvent):
    """Entries that the restored store lacks or has in an older form, by kind.

    Those that it lacks stay in force and older ones are ignored for a while, unless
    they are written again.
    """

    missing_upstreams: int
    missing_vms: int
    missing_roster: int
    missing_evacuations: int
    older_upstreams: int
    older_others: int


@log_event()
class RestoreSettled(LogEvent):
    """The content of the restored store is in force; nothing is held any more."""


@log_event()
class WatchHistoryGone(LogEvent):
    """The store has dropped the changes since `revision`; all entries are reread."""

    revision: int


@log_event(logging.WARNING)
class SnapshotIgnored(LogEvent):
    """A snapshot of the store counts as older than what this VM knows."""

    era: int
    revision: int
    known_era: int
    known_revision: int


@log_event(logging.WARNING)
class WatchSilent(LogEvent):
    """The watch of this VM has missed changes of the store that other VMs know."""

    since: int
    revision: int


@log_event()
class StandingChanged(LogEvent):
    """The way in which this VM learns the contents of the store has changed."""

    standing: str
    revision: int


@log_event()
class NewsTaken(LogEvent):
    """Another VM has sent changes of the store that this VM had missed."""

    peer: str
    revision: int


@log_event()
class NewsFailed(LogEvent):
    """A call to another VM for missing changes has failed."""

    peer: str
    why: str


@log_event(logging.WARNING)
class RegistrationFailed(LogEvent):
    """A step of registering this VM in the store failed; it is tried again."""

    step: str
    why: str


@log_event(logging.DEBUG)
class DatagramLost(LogEvent):
    """A datagram could not be sent or had no receiver."""

    peer: str
    why: str


@log_event(logging.WARNING)
class HomeSilent(LogEvent):
    """The VM that counts an upstream's slots is silent; another VM counts them."""

    subject: str
    upstream: str


@log_event(logging.WARNING)
class DatagramUnreadable(LogEvent):
    """Bytes received on the peer port are not a valid datagram of a peer."""

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
    """The process ends and closes the remaining `connections`."""

    connections: int
    after_ms: Millis


@log_event(logging.ERROR)
class TaskFailed(LogEvent):
    """A task that must last as long as the process has failed, so the process ends."""

    why: str


@log_event(logging.WARNING)
class LinesLeftOut(LogEvent):
    """Lines of one kind were left out; they came too fast or their reader is slow."""

    kind: str
    count: int
