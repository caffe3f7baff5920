"""Serve look-ups, readiness checks and metrics over HTTP."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from gevent.pywsgi import WSGIServer

from lagoonlatch.entry.metrics import METRICS_PATH, EntryMetrics
from lagoonlatch.entry.placement_query import (
    MAX_SHOWN_LENGTH,
    WHERE_PATH,
    InvalidQueryError,
    read_placement_query,
)
from lagoonlatch.metrics import CONTENT_TYPE
from lagoonlatch.platform.directory import (
    LOOKUP_PATH,
    READINESS_PATH,
    encode_lookup_answer,
    read_lookup_query,
)
from lagoonlatch.platform.endpoint import Endpoint
from lagoonlatch.steering.explanation import PlacementExplainer
from lagoonlatch.steering.lookup import Lookup

Responder = Callable[[dict[str, Any]], tuple[str, str, bytes]]
"""Returns the status line, content type and body for a WSGI environment."""


def serve_lookups(address: str, lookup: Lookup) -> WSGIServer:
    """Start serving look-ups of the VMs that a caller may use."""

    def respond(environ: dict[str, Any]) -> tuple[str, str, bytes]:
        if environ["PATH_INFO"] != LOOKUP_PATH:
            return "404 Not Found", "text/plain", b""
        query = read_lookup_query(environ.get("QUERY_STRING", ""))
        found = lookup.find(query.region, query.data_centre)
        if not found:
            return "503 Service Unavailable", "text/plain", b"no VM is ready"
        body = encode_lookup_answer(found, lookup.ttl)
        return "200 OK", "application/json", body

    return _serve(address, respond)


def serve_readiness(address: str, is_ready: Callable[[], bool]) -> WSGIServer:
    """Start serving the readiness checks of the platform."""

    def respond(environ: dict[str, Any]) -> tuple[str, str, bytes]:
        if environ["PATH_INFO"] != READINESS_PATH:
            return "404 Not Found", "text/plain", b""
        if is_ready():
            return "200 OK", "text/plain", b"ready"
        return "503 Service Unavailable", "text/plain", b"not ready"

    return _serve(address, respond)


def serve_metrics(
    address: str, metrics: EntryMetrics, explainer: PlacementExplainer
) -> WSGIServer:
    """Start serving the metrics and explanations of placements."""

    def respond(environ: dict[str, Any]) -> tuple[str, str, bytes]:
        if environ["PATH_INFO"] == WHERE_PATH:
            return _explain_placement(environ, explainer)
        if environ["PATH_INFO"] != METRICS_PATH:
            return "404 Not Found", "text/plain", b""
        return "200 OK", CONTENT_TYPE, metrics.render()

    return _serve(address, respond)


def _explain_placement(
    environ: dict[str, Any], explainer: PlacementExplainer
) -> tuple[str, str, bytes]:
    method = environ["REQUEST_METHOD"]
    if method != "GET":
        text = f"method {method[:MAX_SHOWN_LENGTH]!r} is not valid; valid: GET"
        return "405 Method Not Allowed", "text/plain", text.encode()
    try:
        question = read_placement_query(
            environ.get("QUERY_STRING", ""), environ.get("HTTP_AUTHORIZATION", "")
        )
    except InvalidQueryError as error:
        return "400 Bad Request", "text/plain", str(error).encode()
    body = msgspec.json.encode(explainer.explain(question))
    return "200 OK", "application/json", body


def _serve(address: str, respond: Responder) -> WSGIServer:
    def application(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        status, content_type, body = respond(environ)
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        start_response(status, headers)
        return [body]

    server = WSGIServer(
        Endpoint.from_address(address).pair, application, log=None, error_log=None
    )
    server.start()
    return server
