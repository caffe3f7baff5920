"""The messages of an exchange: heads of requests and bounded answers."""

from __future__ import annotations

import re

from geventhttpclient.response import HEADER_STATE_FIELD, HTTPResponse
from returns.result import Failure, Success

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.upstreams import headers as names
from lagoonlatch.upstreams.outcomes import (
    Answered,
    Headers,
    NotRun,
    NotRunReason,
    UnknownReason,
    UpstreamOutcome,
    UpstreamRequest,
)

DEFAULT_RETRY_AFTER: Millis = 1_000.0

MAX_FIELDS = 256
MAX_FIELDS_LENGTH = 64 * 1024
"""Limits of the header fields of an answer: their number, and the characters of all
names and values."""

_REFUSED_STATUS = 503
_INTERIM_STATUSES = range(100, 200)
_METHOD = re.compile(r"[A-Z]{1,32}")
_TARGET = re.compile(r"/[\x21-\x7e]*")


class BoundedResponse(HTTPResponse):
    """Parses one answer; notes a part above its limit and bytes beyond the end."""

    def __init__(self, method: str, largest_body: int) -> None:
        super().__init__(method=method)
        self._largest_body = largest_body
        self._received = False
        self._field_count = 0
        self._fields_length = 0
        self.final = False
        self.surplus = False
        self.too_large = False

    @property
    def body(self) -> bytes:
        """The body received so far."""
        return bytes(self._body_buffer)

    def feed(self, data: bytes) -> None:
        """Parse the next bytes."""
        self._received = True
        super().feed(data)

    def reason_when_closed(self) -> UnknownReason:
        """Return what an end of the stream before the end of the answer means."""
        return UnknownReason.NOT_WHOLE if self._received else UnknownReason.CLOSED

    def _on_message_begin(self):
        if self.final:
            self.surplus = True
        else:
            super()._on_message_begin()

    def _on_header_field(self, string):
        # The name of a field may come in several parts.
        self._field_count += self._header_state != HEADER_STATE_FIELD
        super()._on_header_field(string)
        self._limit_fields(len(string))

    def _on_header_value(self, string):
        super()._on_header_value(string)
        self._limit_fields(len(string))

    def _limit_fields(self, length: int) -> None:
        """Count fields of the head, of interim answers and of trailers."""
        self._fields_length += length
        if self._field_count > MAX_FIELDS or self._fields_length > MAX_FIELDS_LENGTH:
            self.too_large = True
            self.final = True

    def _on_body(self, buf):
        if self.surplus:
            return
        super()._on_body(buf)
        if len(self._body_buffer) > self._largest_body:
            self.too_large = True
            self.final = True

    def _on_message_complete(self):
        super()._on_message_complete()
        if self.get_code() not in _INTERIM_STATUSES:
            self.final = True


def request_head(request: UpstreamRequest, host: str) -> bytes | None:
    """Return the head of a request without its deadline, or None if malformed."""
    own = (
        ("Host", host),
        (names.REQUEST_ID, request.request_id),
        (names.ORGANISATION, request.organisation),
        ("Content-Length", str(len(request.body))),
    )
    lines = own + names.forwarded(request.headers)
    valid = _METHOD.fullmatch(request.method) and _TARGET.fullmatch(request.target)
    if not valid or not names.well_formed(lines):
        return None
    text = f"{request.method} {request.target} HTTP/1.1\r\n"
    text += "".join(f"{name}: {value}\r\n" for name, value in lines)
    return text.encode("latin-1")


def outcome_of(answer: BoundedResponse) -> UpstreamOutcome:
    """Return the outcome that a whole answer stands for."""
    status = answer.get_code()
    refused = answer.get(names.NOT_RUN, "") == "true"
    if status == _REFUSED_STATUS and refused:
        retry_after = _retry_after_of(answer.get("Retry-After", ""))
        return Failure(NotRun(NotRunReason.REFUSED_BY_UPSTREAM, retry_after))
    received: Headers = tuple(answer.items())
    return Success(Answered(status, names.returned(received), answer.body))


def _retry_after_of(value: str) -> Millis:
    return float(value) * MILLIS_PER_SECOND if value.isdigit() else DEFAULT_RETRY_AFTER
