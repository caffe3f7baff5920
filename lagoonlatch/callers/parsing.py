"""Reading a caller's HTTP request."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from returns.result import Failure, Result, Success

from lagoonlatch.callers.refusals import Refusal
from lagoonlatch.callers.server import HEADERS_KEY, TARGET_KEY
from lagoonlatch.clock import Millis
from lagoonlatch.config.model import Route, Service

DEADLINE_HEADER = "lagoonlatch-deadline"
IDEMPOTENCY_HEADER = "idempotency-key"
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_IDEMPOTENCY_KEY_LENGTH = 255
SERVICES_PATH = "/v1/services/"


@dataclass(frozen=True)
class HttpRequest:
    """A caller's request as HTTP brings it, its body not yet read.

    Parameters
    ----------
    path, query : str
        As received, not decoded.
    client : str
        The caller's IP address.
    """

    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    client: str

    @classmethod
    def from_environ(cls, environ: dict[str, Any]) -> HttpRequest:
        """Return the request of a WSGI environment of `CallerServer`."""
        target = urlsplit(environ[TARGET_KEY])
        return cls(
            environ["REQUEST_METHOD"],
            target.path,
            target.query,
            environ[HEADERS_KEY],
            environ["REMOTE_ADDR"],
        )

    def header(self, name: str) -> str | None:
        """Return the first value of the header `name` (lower case)."""
        for given, value in self.headers:
            if given.lower() == name:
                return value.strip()
        return None

    def parameter(self, name: str) -> str:
        """Return the first value of a query parameter, or an empty string."""
        return parse_qs(self.query).get(name, [""])[0]

    def service_target(self) -> tuple[str, str]:
        """Return the service's id and the target that its upstream sees."""
        rest = self.path[len(SERVICES_PATH) :]
        service, _, path = rest.partition("/")
        query = f"?{self.query}" if self.query else ""
        return service, f"/{path}{query}"


def find_route(service: Service, method: str, target: str) -> Route | None:
    """Return the route with the longest prefix of `target` that takes `method`."""
    path = target.partition("?")[0]
    matching = [
        route
        for route in service.routes
        if route.method in ("*", method) and path.startswith(route.path_prefix)
    ]
    return max(matching, key=_precedence, default=None)


def check_path(target: str) -> Result[None, Refusal]:
    """Refuse dot segments, also encoded ones.

    An upstream that resolves them would serve another path than the one whose
    route, and so whose need of a key, was decided here.
    """
    path = unquote(target.partition("?")[0]).replace("\\", "/")
    if any(segment in (".", "..") for segment in path.split("/")):
        return Failure(Refusal("malformed-request", "the path has dot segments"))
    return Success(None)


def read_body(environ: dict[str, Any]) -> Result[bytes, Refusal]:
    """Return the whole body, or a refusal if it is too large or cut short."""
    length = environ.get("CONTENT_LENGTH") or ""
    if length and int(length) > MAX_BODY_BYTES:
        return Failure(_too_large(length))
    try:
        body = environ["wsgi.input"].read(MAX_BODY_BYTES + 1)
    except OSError as error:
        return Failure(Refusal("malformed-request", f"body cut short: {error}"))
    if len(body) > MAX_BODY_BYTES:
        return Failure(_too_large("unannounced"))
    if length and len(body) != int(length):
        detail = f"body has {len(body)} of {length} bytes"
        return Failure(Refusal("malformed-request", detail))
    return Success(body)


def read_deadline(request: HttpRequest, service: Service) -> Result[Millis, Refusal]:
    """Return how many milliseconds the request may take."""
    text = request.header(DEADLINE_HEADER)
    if text is None:
        return Success(service.deadline)
    try:
        asked = float(text)
    except ValueError:
        asked = math.nan
    if not 0.0 < asked < math.inf:
        detail = f"{DEADLINE_HEADER} {text!r} is no duration; valid: above 0 ms"
        return Failure(Refusal("malformed-request", detail))
    return Success(min(asked, service.deadline))


def read_idempotency_key(request: HttpRequest) -> Result[str, Refusal]:
    """Return the idempotency key, or an empty string if there is none."""
    key = (request.header(IDEMPOTENCY_HEADER) or "").strip('"')
    if len(key) > MAX_IDEMPOTENCY_KEY_LENGTH:
        detail = (
            f"{IDEMPOTENCY_HEADER} has {len(key)} characters; "
            f"valid: up to {MAX_IDEMPOTENCY_KEY_LENGTH}"
        )
        return Failure(Refusal("malformed-request", detail))
    return Success(key)


def without_headers(
    headers: Sequence[tuple[str, str]], names: frozenset[str]
) -> tuple[tuple[str, str], ...]:
    """Return `headers` without those called `names` (lower case)."""
    return tuple(item for item in headers if item[0].lower() not in names)


def _precedence(route: Route) -> tuple[int, bool]:
    return len(route.path_prefix), route.method != "*"


def _too_large(length: str) -> Refusal:
    detail = f"body of {length} bytes; valid: up to {MAX_BODY_BYTES}"
    return Refusal("body-too-large", detail)
