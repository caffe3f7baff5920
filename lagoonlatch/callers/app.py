"""The WSGI application for callers: look-ups and requests to services."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, Protocol

import structlog
from returns.result import Failure, Result, Success

from lagoonlatch.callers.authentication import presented_key
from lagoonlatch.callers.checks import REQUEST_ID_HEADER, Keys, RequestChecks
from lagoonlatch.callers.parsing import SERVICES_PATH, HttpRequest
from lagoonlatch.callers.refusals import Refusal
from lagoonlatch.callers.server import SOCKET_KEY, CallerWatch
from lagoonlatch.clock import Clock, Millis
from lagoonlatch.dispatch.request import OPEN_ORGANISATION, Answer, CallerRequest

LOOKUP_PATH = "/v1/lookup"
ISSUE_PATH = "/v1/idempotency-keys"
JSON_CONTENT_TYPE = "application/json"

_REQUEST_ID_BYTES = 12

_LOG = structlog.get_logger()

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class Steering(Keys, Protocol):
    """What the application asks of the daemon."""

    def look_up(self, service: str, client: str, organisation: str) -> bytes:
        """Return the JSON that says which VMs to use."""

    def issue_key(self) -> bytes:
        """Return the JSON with a new idempotency key of this VM."""

    def admit(self, organisation: str) -> Result[None, Refusal]:
        """Take one token of the organisation's bucket."""

    def run(self, request: CallerRequest) -> Result[Answer, Refusal]:
        """Have a request run and return its whole answer."""

    def leaving(self) -> bool:
        """Return whether the VM is in a planned stop."""


class RequestObserver(Protocol):
    """Counts requests."""

    def request_answered(
        self, organisation: str, service: str, outcome: str, latency: Millis
    ) -> None:
        """Note a request that was answered by an upstream."""

    def request_refused(self, organisation: str, reason: str) -> None:
        """Note a request that was refused."""

    def lookup_answered(self) -> None:
        """Note a look-up."""


class CallersApp:
    """Answers look-ups, issues idempotency keys and has requests run."""

    def __init__(
        self, steering: Steering, observer: RequestObserver, clock: Clock
    ) -> None:
        self._steering = steering
        self._observer = observer
        self._clock = clock
        self._checks = RequestChecks(steering)

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        request = HttpRequest.from_environ(environ)
        if request.path == LOOKUP_PATH and request.method == "GET":
            return self._look_up(request, start_response)
        if request.path == ISSUE_PATH and request.method == "POST":
            return self._send_json(start_response, self._steering.issue_key())
        if request.path.startswith(SERVICES_PATH):
            return self._serve(request, environ, start_response)
        refusal = Refusal("no-such-path", f"{request.method} {request.path!r}")
        return self._refuse(start_response, refusal, _new_request_id())

    def _look_up(self, request, start_response):
        self._observer.lookup_answered()
        service = request.parameter("service")
        if service not in self._steering.configuration().services_by_id:
            refusal = self._checks.unknown_service(service)
            return self._refuse(start_response, refusal, _new_request_id())
        key = presented_key(request.headers)
        organisation = self._checks.organisation_of(key) or OPEN_ORGANISATION
        document = self._steering.look_up(service, request.client, organisation)
        return self._send_json(start_response, document)

    def _serve(self, request, environ, start_response):
        began = self._clock.now()
        request_id = _new_request_id()
        service, target = request.service_target()
        organisation = OPEN_ORGANISATION
        checked = self._checks.check(request, environ, request_id, began)
        if isinstance(checked, Success):
            caller_request = checked.unwrap()
            organisation = caller_request.organisation
            with CallerWatch(environ[SOCKET_KEY]):
                outcome = self._run(caller_request)
        else:
            outcome = checked
        elapsed = self._clock.now() - began
        self._note(request, request_id, organisation, outcome, elapsed)
        if isinstance(outcome, Failure):
            return self._refuse(start_response, outcome.failure(), request_id)
        return self._send_answer(start_response, outcome.unwrap(), request_id)

    def _run(self, request: CallerRequest) -> Result[Answer, Refusal]:
        admitted = self._admit(request)
        if isinstance(admitted, Failure):
            return admitted
        return self._steering.run(request)

    def _admit(self, request: CallerRequest) -> Result[None, Refusal]:
        if request.organisation == OPEN_ORGANISATION:
            return Success(None)
        return self._steering.admit(request.organisation)

    def _note(self, request, request_id, organisation, outcome, elapsed):
        service, _ = request.service_target()
        if isinstance(outcome, Success):
            result = str(outcome.unwrap().status)
            self._observer.request_answered(organisation, service, result, elapsed)
        else:
            result = outcome.failure().kind
            self._observer.request_refused(organisation, result)
        _LOG.debug(
            "request",
            request_id=request_id,
            organisation=organisation,
            service=service,
            method=request.method,
            result=result,
            milliseconds=round(elapsed, 3),
        )

    def _send_json(self, start_response, document):
        headers = [("Content-Type", JSON_CONTENT_TYPE)]
        return self._send(start_response, 200, headers, document)

    def _refuse(self, start_response, refusal: Refusal, request_id: str):
        headers = refusal.headers()
        headers.append((REQUEST_ID_HEADER, request_id))
        body = refusal.body(request_id)
        return self._send(start_response, refusal.status, headers, body)

    def _send_answer(self, start_response, answer: Answer, request_id: str):
        headers = list(answer.headers)
        headers.append((REQUEST_ID_HEADER, request_id))
        return self._send(start_response, answer.status, headers, answer.body)

    def _send(self, start_response, status, headers, body):
        headers.append(("Content-Length", str(len(body))))
        if self._steering.leaving():
            headers.append(("Connection", "close"))
        start_response(f"{status} {_phrase(status)}", headers)
        return [body]


def _new_request_id() -> str:
    return secrets.token_hex(_REQUEST_ID_BYTES)


def _phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Status"
