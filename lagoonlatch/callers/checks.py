"""The checks that a caller's request passes before it may run."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from returns.result import Failure, Result, Success

from lagoonlatch.callers.authentication import (
    check_exposure,
    key_digest,
    organisations_by_key_digest,
    presented_key,
    without_keys,
)
from lagoonlatch.callers.parsing import (
    DEADLINE_HEADER,
    HttpRequest,
    check_path,
    find_route,
    read_body,
    read_deadline,
    read_idempotency_key,
    without_headers,
)
from lagoonlatch.callers.refusals import Refusal
from lagoonlatch.clock import Millis
from lagoonlatch.config.model import Configuration, Route, Service
from lagoonlatch.dispatch.request import OPEN_ORGANISATION, CallerRequest

REQUEST_ID_HEADER = "Lagoonlatch-Request-Id"
NO_CONFIGURATION_RETRY_AFTER: Millis = 1_000.0
ISOLATED_RETRY_AFTER: Millis = 5_000.0

_DROPPED_HEADERS = frozenset(
    {"host", "content-length", DEADLINE_HEADER, REQUEST_ID_HEADER.lower()}
)


class Keys(Protocol):
    """What decides which keys are honoured."""

    def configuration(self) -> Configuration:
        """Return the configuration in force."""

    def keys_confirmed(self) -> bool:
        """Return whether keys may be trusted, being confirmed recently enough."""


@dataclass(frozen=True)
class Routed:
    """The route of a request.

    Parameters
    ----------
    service_id : str
        The service asked for.
    target : str
        Path and query as the upstream sees them.
    """

    service_id: str
    target: str
    service: Service
    route: Route


class RequestChecks:
    """Turns HTTP requests into requests that may run."""

    def __init__(self, keys: Keys) -> None:
        self._keys = keys
        self._index: tuple[Configuration | None, Mapping[str, str]] = (None, {})

    def check(
        self,
        request: HttpRequest,
        environ: dict[str, Any],
        request_id: str,
        began: Millis,
    ) -> Result[CallerRequest, Refusal]:
        """Return the request after all checks, or why it may not run.

        Parameters
        ----------
        environ : dict
            The WSGI environment; its body is read.
        began : Millis
            When the request arrived; its deadline counts from then.
        """
        routed = self.route(request)
        if isinstance(routed, Failure):
            return routed
        early = self._authenticate(request, routed.unwrap().route)
        if isinstance(early, Failure):
            return early
        body = read_body(environ)
        if isinstance(body, Failure):
            return body
        # Again: the key may have been withdrawn while the body arrived.
        organisation = self._authenticate(request, routed.unwrap().route)
        return organisation.bind(
            lambda checked: _compose(
                request, request_id, began, routed.unwrap(), checked, body.unwrap()
            )
        )

    def route(self, request: HttpRequest) -> Result[Routed, Refusal]:
        """Return the route of a request, or that there is none."""
        services_by_id = self._keys.configuration().services_by_id
        if not services_by_id:
            retry_after = NO_CONFIGURATION_RETRY_AFTER
            return Failure(Refusal("no-configuration", "", retry_after))
        service_id, target = request.service_target()
        service = services_by_id.get(service_id)
        if service is None:
            return Failure(self.unknown_service(service_id))
        path_checked = check_path(target)
        if isinstance(path_checked, Failure):
            return path_checked
        route = find_route(service, request.method, target)
        if route is None:
            return Failure(_unknown_route(request.method, target, service))
        return Success(Routed(service_id, target, service, route))

    def organisation_of(self, key: str | None) -> str | None:
        """Return the organisation whose key it is, or None."""
        if not key:
            return None
        configuration = self._keys.configuration()
        if self._index[0] is not configuration:
            index = organisations_by_key_digest(configuration)
            self._index = (configuration, index)
        return self._index[1].get(key_digest(key))

    def unknown_service(self, service: str) -> Refusal:
        """Return the refusal that lists the services."""
        known = sorted(self._keys.configuration().services_by_id)
        valid = ", ".join(known) or "none yet"
        return Refusal("unknown-service", f"service {service!r}; valid: {valid}")

    def _authenticate(self, request: HttpRequest, route: Route) -> Result[str, Refusal]:
        if route.open:
            return Success(OPEN_ORGANISATION)
        key = presented_key(request.headers)
        if not key:
            detail = "send the key in Authorization: Bearer, or X-Api-Key"
            return Failure(Refusal("missing-key", detail))
        organisation = self.organisation_of(key)
        if organisation is None:
            return Failure(Refusal("unknown-key"))
        if not self._keys.keys_confirmed():
            detail = "this data centre is cut off and can't confirm keys"
            return Failure(Refusal("isolated", detail, ISOLATED_RETRY_AFTER))
        return Success(organisation)


def _compose(
    request: HttpRequest,
    request_id: str,
    began: Millis,
    routed: Routed,
    organisation: str,
    body: bytes,
) -> Result[CallerRequest, Refusal]:
    key = presented_key(request.headers)
    if key:
        exposed = check_exposure(key, routed.target, body)
        if isinstance(exposed, Failure):
            return exposed
    allowed = read_deadline(request, routed.service)
    if isinstance(allowed, Failure):
        return allowed
    idempotency_key = read_idempotency_key(request)
    if isinstance(idempotency_key, Failure):
        return idempotency_key
    headers = without_keys(request.headers, key)
    return Success(
        CallerRequest(
            request_id=request_id,
            organisation=organisation,
            service=routed.service_id,
            method=request.method,
            target=routed.target,
            headers=without_headers(headers, _DROPPED_HEADERS),
            body=body,
            deadline=began + allowed.unwrap(),
            idempotent=routed.route.idempotent,
            idempotency_key=idempotency_key.unwrap(),
            client=request.client,
        )
    )


def _unknown_route(method: str, target: str, service: Service) -> Refusal:
    valid = ", ".join(f"{item.method} {item.path_prefix}" for item in service.routes)
    path = target.partition("?")[0]
    return Refusal("unknown-route", f"{method} {path!r}; valid: {valid}")
