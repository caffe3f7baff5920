"""Sample records and objects for the tests of the steering package."""

from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.model import (
    Organisation,
    Route,
    RouteKind,
    Service,
    UpstreamRecord,
    WeightedService,
)
from lagoonlatch.steering.upstreams import UpstreamTable

REGION_BY_DATA_CENTRE = {"n-a": "north", "n-b": "north", "s-a": "south", "m-a": "mid"}


def make_record(upstream_id, service="ledger", data_centre="n-a", **fields):
    """Return a record of a ready upstream."""
    values = {
        "address": "10.0.0.1:80",
        "slots": 3,
        "is_draining": False,
        "cold_left": 0.0,
        "born": 1.0,
    } | fields
    return UpstreamRecord(
        id=upstream_id, service=service, data_centre=data_centre, **values
    )


def make_service(service_id="ledger", cold_rate=8.0):
    """Return a service whose upstreams are cold for 3 s."""
    return Service(
        id=service_id,
        health_path="/healthz",
        max_connections=100,
        cold_duration=3_000.0,
        cold_rate=cold_rate,
    )


def make_route(route_id="lookup", parts=(("ledger", 1.0),), **fields):
    """Return a route whose requests are safe to retry."""
    values = {
        "host": "h.example",
        "path_prefix": f"/{route_id}/",
        "kind": RouteKind.SAFE,
        "timeout": 1_200.0,
        "goal": 600.0,
        "priority": 1,
        "max_attempts": 2,
    } | fields
    return Route(
        id=route_id,
        parts=tuple(WeightedService(service=s, weight=w) for s, w in parts),
        **values,
    )


def make_organisation(name="dojo", rate=100.0, burst=100.0, **fields):
    """Return an organisation."""
    values = {"priority": 1} | fields
    return Organisation(id=name, rate=rate, burst=burst, **values)


def make_upstream_table(clock=None, services=("ledger",)):
    """Return an empty table of upstreams."""
    upstream_table = UpstreamTable(REGION_BY_DATA_CENTRE, clock or ManualClock())
    upstream_table.configure({name: make_service(name) for name in services})
    return upstream_table
