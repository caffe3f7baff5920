"""The header fields that the platform gives a meaning, decoded once."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis

HeaderList = list[tuple[bytes, bytes]]

_TOKEN_SCHEME = b"token"
_AFFINITY_COOKIE = b"Affinity-Key"

_LEAVING = b"server-leaving"
_REST = b"retry-after"
_RATE_LIMIT = b"server-limit"
_UNAVAILABLE = 503

_SHOWN = 40
"""Bytes of a value that a log line shows."""

LONGEST_REST: Millis = 60_000.0
"""A wish for a longer rest is taken for an error: an upstream that is replaced is gone
by then, and one that isn't must not be lost for an hour by one wrong number."""

USUAL_WORK_PERCENT = 100

# Set by this system; a caller's own are not passed on.
_OWN_REQUEST_FIELDS = frozenset(
    {b"authorization", b"tenant", b"expect-instance", b"deadline-ms"}
)


@dataclass(frozen=True, kw_only=True)
class RequestFields:
    """What a caller's header says.

    Parameters
    ----------
    request_id : bytes
        Names this attempt of the caller; empty if it names none.
    time_left : Millis or None
        How long the caller will wait.
    key : str or None
        The key shown; None without one.
    affinity : str
        Names the object that the request is about; empty for none.
    """

    request_id: bytes
    time_left: Millis | None
    key: str | None
    affinity: str


@dataclass(frozen=True, kw_only=True)
class UpstreamLoad:
    """What an upstream says of its load.

    Parameters
    ----------
    work_percent : int
        How long work takes at this moment, as a percentage of its usual duration; 100
        if the upstream doesn't say.
    """

    running: int
    waiting: int
    slots: int
    work_percent: int = USUAL_WORK_PERCENT


@dataclass(frozen=True, kw_only=True)
class AnswerFields:
    """What an upstream's header says.

    Parameters
    ----------
    request_id : bytes
        The request that it answers; empty if it doesn't say.
    not_run : bool
        Whether it states that it has not run the request.
    load : UpstreamLoad or None
        Its load, if it tells it.
    keep_alive : Millis or None
        When it closes the connection if idle.
    upstream : str
        Id of the upstream, in health answers and misdirected requests.
    cold_left : Millis
        How long it stays cold; 0 if it isn't.
    is_leaving : bool
        Whether it says that it leaves.
    rest : Millis
        For how long it wants nothing from this VM, at most `LONGEST_REST`; 0 if it
        doesn't say.
    rate_limit : float or None
        Requests a second that it takes from all VMs together; None without a limit.
    odd : str
        What could not be decoded of its wishes; empty if nothing.
    """

    request_id: bytes
    not_run: bool
    load: UpstreamLoad | None
    keep_alive: Millis | None
    upstream: str
    cold_left: Millis
    is_leaving: bool = False
    rest: Millis = 0.0
    rate_limit: float | None = None
    odd: str = ""


def read_request_fields(headers: Iterable[tuple[bytes, bytes]]) -> RequestFields:
    """Decode a caller's header; names are in lower case."""
    value_by_name = dict(headers)
    return RequestFields(
        request_id=value_by_name.get(b"request-id", b""),
        time_left=_positive(value_by_name.get(b"deadline-ms")),
        key=_key(value_by_name.get(b"authorization")),
        affinity=_affinity(value_by_name.get(b"cookie", b"")),
    )


def own_request_fields(
    upstream: str, time_left: Millis, organisation: str | None
) -> HeaderList:
    """Return the fields that an upstream gets from this system."""
    fields = [
        (b"Expect-Instance", upstream.encode()),
        (b"Deadline-Ms", str(max(int(time_left), 1)).encode()),
    ]
    if organisation is not None:
        fields.append((b"Tenant", organisation.encode()))
    return fields


def is_own_request_field(name: bytes) -> bool:
    """Return whether this system sets or removes the field `name` (lower case)."""
    return name in _OWN_REQUEST_FIELDS


def retry_after(delay: Millis) -> tuple[bytes, bytes]:
    """Return the field that tells when to come back."""
    seconds = math.ceil(delay) / MILLIS_PER_SECOND
    return b"Retry-After", f"{seconds:g}".encode()


def read_answer_fields(
    headers: Iterable[tuple[bytes, bytes]], status: int = 0
) -> AnswerFields:
    """Decode an upstream's header; names are in lower case."""
    fields = list(headers)
    value_by_name = dict(fields)
    rest, odd_rest = _rest(fields) if status == _UNAVAILABLE else (0.0, "")
    rate_limit, odd_limit = _rate_limit(fields)
    return AnswerFields(
        request_id=value_by_name.get(b"request-id", b""),
        not_run=b"not-run" in value_by_name,
        load=_load(value_by_name.get(b"server-load")),
        keep_alive=_keep_alive(value_by_name.get(b"keep-alive", b"")),
        upstream=value_by_name.get(b"instance-id", b"").decode("latin-1"),
        cold_left=_positive(value_by_name.get(b"cold-ms")) or 0.0,
        # Of several fields the one that asks for more care counts.
        is_leaving=any(
            name == _LEAVING and value.strip() == b"1" for name, value in fields
        ),
        rest=rest,
        rate_limit=rate_limit,
        odd="; ".join(filter(None, (odd_rest, odd_limit))),
    )


def for_callers(status: int, headers: HeaderList) -> HeaderList:
    """Return an upstream's header without what it says to VMs alone.

    A caller that took the upstream's wish for its own would stay away though others
    serve the request.
    """
    hidden = {_LEAVING, _RATE_LIMIT} | ({_REST} if status == _UNAVAILABLE else set())
    return [(name, value) for name, value in headers if name.lower() not in hidden]


_MAX_DIGITS = 9
"""Digits of a number in a field; a longer one can't be a count or a time."""


def _rest(fields: HeaderList) -> tuple[Millis, str]:
    """Return the longest sound wish for rest, and what could not be decoded."""
    rest, odd = 0.0, ""
    for name, value in fields:
        if name != _REST:
            continue
        try:
            seconds = float(value)
        except ValueError:
            seconds = math.nan
        if not 0.0 <= seconds < math.inf:
            odd = f"{value[:_SHOWN]!r} is no number of seconds"
            continue
        if seconds * MILLIS_PER_SECOND > LONGEST_REST:
            odd = f"{value[:_SHOWN]!r} is over {LONGEST_REST / MILLIS_PER_SECOND:g} s"
        rest = max(rest, min(seconds * MILLIS_PER_SECOND, LONGEST_REST))
    return rest, odd


def _rate_limit(fields: HeaderList) -> tuple[float | None, str]:
    """Return the lowest valid rate limit, and what could not be decoded."""
    rate_limit, odd = None, ""
    for name, value in fields:
        if name != _RATE_LIMIT:
            continue
        try:
            rate = float(value)
        except ValueError:
            rate = math.nan
        if not 0.0 <= rate < math.inf:
            odd = f"{value[:_SHOWN]!r} is no number of requests a second"
            continue
        rate_limit = rate if rate_limit is None else min(rate, rate_limit)
    return rate_limit, odd


def _positive(value: bytes | None) -> Millis | None:
    try:
        number = float(value) if value is not None else 0.0
    except ValueError:
        return None
    return number if 0.0 < number < math.inf else None


def _key(value: bytes | None) -> str | None:
    if value is None:
        return None
    scheme, _, key = value.partition(b" ")
    if scheme.lower() != _TOKEN_SCHEME:
        return ""
    return key.strip().decode("latin-1")


def _affinity(cookies: bytes) -> str:
    for cookie in cookies.split(b";"):
        name, _, value = cookie.strip().partition(b"=")
        if name == _AFFINITY_COOKIE:
            return value.decode("latin-1")
    return ""


def _load(value: bytes | None) -> UpstreamLoad | None:
    if value is None:
        return None
    numbers = [_whole_number(part) for part in value.split(b",")]
    if len(numbers) < 3 or None in numbers[:3]:
        return None
    running, waiting, slots = numbers[:3]
    # Later versions of the protocol may add figures, so others don't make it invalid.
    work_percent = numbers[3] if len(numbers) > 3 else None
    return UpstreamLoad(
        running=running,
        waiting=waiting,
        slots=slots,
        work_percent=work_percent or USUAL_WORK_PERCENT,
    )


def _keep_alive(value: bytes) -> Millis | None:
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        number = _whole_number(seconds)
        if name.lower() == b"timeout" and number is not None:
            return number * MILLIS_PER_SECOND
    return None


def _whole_number(text: bytes) -> int | None:
    digits = text.strip()
    return int(digits) if digits.isdigit() and len(digits) <= _MAX_DIGITS else None


def is_stamp(name: bytes) -> bool:
    """Return whether `name` (lower case) is the field by which an upstream signs."""
    return name == b"server-stamp"


def health_request_fields(address: str) -> HeaderList:
    """Return the header of a health check at ``IP:port``."""
    return [(b"Host", address.encode())]
