"""The WSGI application that a daemon serves to operators."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

import msgspec

from lagoonlatch.clock import Stamp
from lagoonlatch.events import Event
from lagoonlatch.metrics import CONTENT_TYPE as METRICS_TYPE
from lagoonlatch.operators.status import (
    Status,
    encode_events,
    encode_status,
    parse_stamp,
)

JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class AdminApp:
    """Status, events, drain and metrics of one daemon over HTTP.

    Parameters
    ----------
    status : callable
        Returns the daemon's status.
    events : callable
        Returns the events later than a stamp, oldest first.
    drain : callable
        Begins the planned stop and returns at once; harmless when repeated.
    metrics : callable
        Returns the metrics in Prometheus's text format.
    """

    def __init__(
        self,
        status: Callable[[], Status],
        events: Callable[[Stamp], tuple[Event, ...]],
        drain: Callable[[], None],
        metrics: Callable[[], bytes],
    ) -> None:
        self._status = status
        self._events = events
        self._drain = drain
        self._metrics = metrics
        self._handler_by_path: dict[str, dict[str, Callable]] = {
            "/healthz": {"GET": self._get_health},
            "/v1/status": {"GET": self._get_status},
            "/v1/events": {"GET": self._get_events},
            "/v1/drain": {"POST": self._post_drain},
            "/metrics": {"GET": self._get_metrics},
        }

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        handler_by_method = self._handler_by_path.get(path)
        if handler_by_method is None:
            valid = ", ".join(self._handler_by_path)
            return _problem(
                start_response, "404 Not Found", f"no path {path!r}; valid: {valid}"
            )
        if method not in handler_by_method:
            valid = ", ".join(handler_by_method)
            return _problem(
                start_response,
                "405 Method Not Allowed",
                f"{path} takes no {method}; valid: {valid}",
            )
        return handler_by_method[method](environ, start_response)

    def _get_health(self, _environ, start_response):
        # A leaving VM tells balancers and scripts to turn elsewhere.
        if self._status().leaving:
            return _answer(start_response, "503 Leaving", "text/plain", b"leaving\n")
        return _answer(start_response, "200 OK", "text/plain", b"ok\n")

    def _get_status(self, _environ, start_response):
        return _answer(
            start_response, "200 OK", JSON_TYPE, encode_status(self._status())
        )

    def _get_events(self, environ, start_response):
        text = parse_qs(environ.get("QUERY_STRING", "")).get("since", ["0"])[0]
        stamp = parse_stamp(text)
        if stamp is None:
            return _problem(
                start_response,
                "400 Bad Request",
                f"since {text!r} is no stamp; valid: millis or millis.counter",
            )
        return _answer(
            start_response, "200 OK", JSON_TYPE, encode_events(self._events(stamp))
        )

    def _post_drain(self, _environ, start_response):
        self._drain()
        return _answer(
            start_response, "202 Accepted", JSON_TYPE, encode_status(self._status())
        )

    def _get_metrics(self, _environ, start_response):
        return _answer(start_response, "200 OK", METRICS_TYPE, self._metrics())


def _answer(start_response, status, content_type, body):
    headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    start_response(status, headers)
    return [body]


def _problem(start_response, status, detail):
    code, _, title = status.partition(" ")
    body = msgspec.json.encode({"title": title, "status": int(code), "detail": detail})
    return _answer(start_response, status, PROBLEM_TYPE, body)
