"""The metrics of one daemon, rendered for GET /metrics.

aioprometheus's registry works without asyncio; only its own HTTP service needs it,
which is why the operators' WSGI server serves the rendered text.
"""

from __future__ import annotations

from typing import TypeVar

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from lagoonlatch.clock import Millis

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

M = TypeVar("M", Counter, Gauge, Histogram)

LATENCY_BUCKETS: list[Millis] = [
    1.0,
    2.0,
    5.0,
    10.0,
    20.0,
    50.0,
    100.0,
    200.0,
    500.0,
    1_000.0,
    2_000.0,
    5_000.0,
    10_000.0,
]


class MetricSet:
    """Metrics under one prefix with the same constant labels.

    Parameters
    ----------
    **labels : str
        Constant labels of every metric.
    """

    def __init__(self, **labels: str) -> None:
        self._registry = Registry()
        self._labels = labels

    def render(self) -> bytes:
        """Return all metrics in Prometheus's text format."""
        text, _ = render(self._registry, ["text/plain"])
        return text

    def _counter(self, name: str, doc: str) -> Counter:
        return self._add(Counter, name, doc)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return self._add(Gauge, name, doc)

    def _latency(self, name: str, doc: str) -> Histogram:
        return self._add(Histogram, name, doc, buckets=LATENCY_BUCKETS)

    def _add(self, kind: type[M], name: str, doc: str, **options: object) -> M:
        return kind(
            f"lagoonlatch_{name}",
            doc,
            const_labels=self._labels,
            registry=self._registry,
            **options,
        )


class FleetMetrics(MetricSet):
    """The metrics of one daemon; its method names say what happened.

    Parameters
    ----------
    vm, data_centre, region : str
        Constant labels of every metric.
    """

    def __init__(self, vm: str, data_centre: str, region: str) -> None:
        super().__init__(vm=vm, data_centre=data_centre, region=region)
        self._requests = self._counter(
            "requests_total", "Requests by organisation, service and outcome"
        )
        self._latencies = self._latency(
            "request_milliseconds", "Time from arrival to the last byte of the answer"
        )
        self._refusals = self._counter(
            "refusals_total", "Refused requests by organisation and reason"
        )
        self._lookups = self._counter("lookups_total", "Look-ups answered")
        self._store_calls = self._counter(
            "store_calls_total", "Calls to the platform's store by kind and result"
        )
        self._peer_calls = self._counter(
            "peer_calls_total", "Calls to other VMs by method and result"
        )
        self._version = self._gauge(
            "configuration_version", "Version of the configuration in force"
        )
        self._peers = self._gauge("peers_alive", "Other VMs that answer")
        self._slots = self._gauge("owned_slots", "Ownership slots held, by scope")
        self._in_flight = self._gauge("in_flight", "Requests at upstreams, by service")
        self._queued = self._gauge("queued", "Requests waiting, by service")

    def request_answered(
        self, organisation: str, service: str, outcome: str, latency: Millis
    ) -> None:
        """Count one answered request and its latency."""
        labels = {
            "organisation": organisation,
            "service": service,
            "outcome": outcome,
        }
        self._requests.inc(labels)
        self._latencies.observe({"service": service}, latency)

    def request_refused(self, organisation: str, reason: str) -> None:
        """Count one refused request."""
        self._refusals.inc({"organisation": organisation, "reason": reason})

    def lookup_answered(self) -> None:
        """Count one answered look-up."""
        self._lookups.inc({})

    def store_called(self, kind: str, result: str) -> None:
        """Count one call to the platform's store."""
        self._store_calls.inc({"kind": kind, "result": result})

    def peer_called(self, method: str, result: str) -> None:
        """Count one call to another VM."""
        self._peer_calls.inc({"method": method, "result": result})

    def set_configuration_version(self, version: int) -> None:
        """Set the version of the configuration in force."""
        self._version.set({}, version)

    def set_peers_alive(self, count: int) -> None:
        """Set how many other VMs answer."""
        self._peers.set({}, count)

    def set_owned_slots(self, scope: str, count: int) -> None:
        """Set how many ownership slots of `scope` this VM holds."""
        self._slots.set({"scope": scope}, count)

    def set_load(self, service: str, in_flight: int, queued: int) -> None:
        """Set a service's requests at upstreams and in the queue."""
        self._in_flight.set({"service": service}, in_flight)
        self._queued.set({"service": service}, queued)
