"""What an instance says of itself; hints that may lag or mislead."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result, Success

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.upstreams.connections import ConnectionPool, ConnectionSettings
from lagoonlatch.upstreams.http import UNREACHABLE_RETRY_AFTER, Exchange
from lagoonlatch.upstreams.outcomes import (
    Answered,
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
    UpstreamOutcome,
    UpstreamRequest,
)

LOAD_PATH = "/load"
HEALTH_PATH = "/health"
POLL_TIMEOUT: Millis = 300.0
POLL_CONNECTIONS = 2

_LARGEST_REPORT = 65_536
_FIRST_ERROR_STATUS = 400
_GONE = (
    NotRun(NotRunReason.UNREACHABLE, UNREACHABLE_RETRY_AFTER),
    Unknown(UnknownReason.CLOSED),
)
_SILENCE = (Unknown(UnknownReason.TIMED_OUT), Unknown(UnknownReason.SILENT))


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """The load that an instance reports; fields that it leaves out are None."""

    in_flight: int | None = None
    connections: int | None = None
    slots: int | None = None
    draining: bool = False


@dataclass(frozen=True)
class Polled:
    """A report.

    Parameters
    ----------
    asked : Millis
        When it was asked for, which is before it was made.
    old_connection_silent : bool
        Whether an old connection has given no answer since the last report.
    """

    report: LoadReport
    asked: Millis
    old_connection_silent: bool


@dataclass(frozen=True)
class PollFailed:
    """The instance did not answer on a new connection either.

    Parameters
    ----------
    gone : bool
        Whether the connection was refused, or closed without an answer; otherwise
        only the answer was missing.
    """

    gone: bool


class LoadPoller:
    """Asks one instance for its load.

    The poller keeps a connection of its own open. If that falls silent while a new one
    works, something between has lost track of the old connections, and those that
    carry requests may be lost as well.
    """

    def __init__(
        self, address: str, clock: Clock, settings: ConnectionSettings
    ) -> None:
        self._address = address
        self._clock = clock
        self._settings = settings
        self._fell_silent = False
        self._pool = ConnectionPool(address, POLL_CONNECTIONS, clock, settings)

    def poll(self) -> Result[Polled, PollFailed]:
        """Ask for the load, on a new connection if the old one does not answer."""
        kept = self._pool.open_count > 0
        asked = self._clock.now()
        outcome = self._ask(LOAD_PATH, self._pool)
        if kept and isinstance(outcome, Failure):
            self._fell_silent |= outcome.failure() in _SILENCE
            asked = self._clock.now()
            outcome = self._ask(LOAD_PATH, self._pool)
        if not isinstance(outcome, Success):
            return Failure(PollFailed(outcome.failure() in _GONE))
        fell_silent, self._fell_silent = self._fell_silent, False
        return Success(Polled(_parse(outcome.unwrap()), asked, fell_silent))

    def process_gone(self) -> bool:
        """Return whether a new connection is refused or closed without an answer."""
        probe = ConnectionPool(self._address, 1, self._clock, self._settings)
        outcome = self._ask(HEALTH_PATH, probe)
        probe.close()
        return isinstance(outcome, Failure) and outcome.failure() in _GONE

    def close(self) -> None:
        """Close the poller's connections."""
        self._pool.close()

    def _ask(self, path: str, pool: ConnectionPool) -> UpstreamOutcome:
        now = self._clock.now()
        request = UpstreamRequest(
            request_id=f"poll-{now:.3f}",
            organisation="",
            service_id="",
            method="GET",
            target=path,
            deadline=POLL_TIMEOUT,
            idempotent=True,
        )
        until = now + POLL_TIMEOUT
        exchange = Exchange(request, pool, self._clock, until, _LARGEST_REPORT)
        try:
            return exchange.perform()
        finally:
            exchange.close()


def _parse(answer: Answered) -> LoadReport:
    if answer.status >= _FIRST_ERROR_STATUS:
        return LoadReport()
    try:
        return msgspec.json.decode(answer.body, type=LoadReport)
    except msgspec.DecodeError:
        return LoadReport()
