"""Define the counters, gauges and histograms of an entry VM."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from aioprometheus import Gauge

from lagoonlatch.clock import Millis
from lagoonlatch.metrics import MetricSet

METRICS_PATH = "/metrics"


class EntryMetrics(MetricSet):
    """Metrics of an entry VM. Its methods are named after the events that they record.

    Parameters
    ----------
    vm, data_centre : str
        Labels of every metric.
    """

    def __init__(self, vm: str, data_centre: str) -> None:
        super().__init__(vm=vm, data_centre=data_centre)
        self._gauges: list[tuple[Gauge, Callable[[], float]]] = []
        self._service_gauges: list[tuple[Gauge, Callable[[], Mapping[str, float]]]] = []
        self._requests = self._counter("requests_total", "Requests by route and status")
        self._refusals = self._counter("refusals_total", "Refused requests by reason")
        self._attempts = self._counter(
            "attempts_total", "Attempts at upstreams by service and outcome"
        )
        self._limited = self._counter(
            "limited_requests_total",
            "Requests kept away from an upstream by its rate limit, by service",
        )
        self._latencies = self._latency(
            "request_milliseconds", "From a request's header to its answer, by route"
        )
        self._waiting = self._latency(
            "waiting_milliseconds", "Waiting for a slot, by service"
        )
        self._store = self._latency("store_call_milliseconds", "Calls to the store")
        self._store_calls = self._counter(
            "store_calls_total", "Calls to the store by call and result"
        )

        self._odd_eras = self._counter(
            "store_odd_eras_total", "Answers of the store whose era can't be read"
        )

    def request_ended(self, route: str, status: int, why: str, total: Millis) -> None:
        """Record the final answer to a request."""
        self._requests.inc({"route": route, "status": str(status)})
        self._latencies.observe({"route": route}, total)
        if why:
            self._refusals.inc({"reason": why})

    def attempt_ended(self, service: str, outcome: str) -> None:
        """Count an attempt at an upstream."""
        self._attempts.inc({"service": service, "outcome": outcome})

    def limited(self, service: str) -> None:
        """Count a request that the rate limit of an upstream has sent elsewhere."""
        self._limited.inc({"service": service})

    def waited(self, service: str, duration: Millis) -> None:
        """Record how long a request waited for a slot."""
        self._waiting.observe({"service": service}, duration)

    def store_called(self, call: str, result: str, duration: Millis) -> None:
        """Count a call to the store, and record its duration unless it is a watch."""
        self._store_calls.inc({"call": call, "result": result})
        if call != "watch":
            self._store.observe({"call": call}, duration)

    def odd_era_received(self) -> None:
        """Count an answer of the store whose era can't be read."""
        self._odd_eras.inc({})

    def add_gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value `read` returns whenever the metrics are collected."""
        self._gauges.append((self._gauge(name, text), read))

    def add_service_gauge(
        self, name: str, text: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Add a gauge with a value for each service that `read` returns."""
        self._service_gauges.append((self._gauge(name, text), read))

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        for gauge, read in self._gauges:
            gauge.set({}, read())
        for gauge, read_by_service in self._service_gauges:
            for service, value in read_by_service().items():
                gauge.set({"service": service}, value)
        return super().render()
