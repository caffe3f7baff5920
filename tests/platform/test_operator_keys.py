import json

import pytest
from returns.result import Failure

from lagoonlatch.platform.operator_keys import (
    decode_configuration,
    evacuated_data_centre,
)
from lagoonlatch.steering.model import RouteKind


def resource(what, name, **spec):
    return {"resource_kind": what, "metadata": {"name": name}, "spec": spec}


def document(*resources, version="r7"):
    return {"version": version, "resources": list(resources)}


ROUTE = resource(
    "routes",
    "lookup",
    host="H.example",
    path_prefix="/a/",
    kind="safe",
    timeout_s=1.2,
    goal_s=0.6,
    priority=2,
    split=[{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
    max_attempts=2,
    public=False,
    sticky=True,
    home_regions=["north"],
)
LONGER = resource(
    "routes",
    "booking",
    host="h.example",
    path_prefix="/a/b/",
    kind="unsafe",
    timeout_s=3,
    service="s1",
)
SERVICE = resource(
    "services",
    "s1",
    health_path="/healthz",
    max_conns=360,
    cold_start_s=3.0,
    cold_per_s=8.6,
)
TENANT = resource(
    "tenants", "dojo", api_keys=["k1", "k2"], priority=1, rate_per_s=206, burst=100
)
LIMITS = {
    "resource_kind": "limits",
    "metadata": {},
    "spec": {
        "max_header_bytes": 1000,
        "max_body_bytes": 2000,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    },
}
WHOLE = document(ROUTE, LONGER, SERVICE, TENANT, LIMITS)


def decode(value):
    return decode_configuration(json.dumps(value).encode())


def test_a_configuration_is_decoded_into_this_projects_words():
    rules = decode(WHOLE).unwrap()
    assert rules.version == 7
    route = rules.find_route("h.example", "/a/x")
    assert route.id == "lookup"
    assert (route.timeout, route.goal) == (1_200.0, 600.0)
    assert [(p.service, p.weight) for p in route.parts] == [("s1", 90), ("s2", 10)]
    assert route.home_regions == {"north"}
    assert route.is_idempotent
    assert rules.organisation_by_key["k2"].id == "dojo"
    assert rules.organisations_by_id["dojo"].rate == 206
    assert rules.services_by_id["s1"].cold_duration == 3_000.0
    assert rules.limits.idle_timeout == 15_000.0


def test_the_longest_prefix_decides():
    rules = decode(WHOLE).unwrap()
    booking = rules.find_route("h.example", "/a/b/c")
    assert booking.kind is RouteKind.UNSAFE
    assert not booking.is_idempotent
    assert rules.find_route("h.example", "/a") is None
    assert rules.find_route("other.example", "/a/x") is None


def test_unknown_kinds_and_fields_are_left_out():
    odd = resource("routers", "x", colour="red")
    assert decode(document(ROUTE, odd, version="r8")).unwrap().version == 8


@pytest.mark.parametrize(
    "value",
    [
        [],
        {"version": 7, "resources": []},
        {"version": "seven", "resources": []},
        document(resource("routes", "r", host="h", path_prefix="/", kind="odd")),
        document(resource("tenants", "t", api_keys="k1")),
        document({"resource_kind": "routes"}),
    ],
)
def test_what_is_no_configuration_is_refused(value):
    assert isinstance(decode(value), Failure)


@pytest.mark.parametrize(
    ("kind", "is_idempotent", "unknown_kinds"),
    [
        ("safe", True, set()),
        ("download", True, set()),
        ("unsafe", False, set()),
        ("upload", False, set()),
        ("odd", False, {"odd"}),
    ],
)
def test_a_kind_that_is_not_known_to_be_repeatable_runs_once(
    kind, is_idempotent, unknown_kinds
):
    # An unknown kind made the whole configuration unreadable: nothing was served.
    spec = {"host": "h", "path_prefix": "/", "kind": kind, "timeout_s": 1}
    rules = decode(document(resource("routes", "r", **spec))).unwrap()
    assert rules.find_route("h", "/x").is_idempotent is is_idempotent
    assert rules.unknown_kinds == unknown_kinds


def test_bytes_that_are_no_json_are_refused():
    assert isinstance(decode_configuration(b"\xff\x00{"), Failure)
    assert isinstance(decode_configuration(json.dumps(WHOLE).encode()[:-20]), Failure)


def test_keys_are_not_in_the_text_of_the_rules():
    assert "k1" not in repr(decode(WHOLE).unwrap())


def test_only_evacuations_name_a_data_centre():
    assert evacuated_data_centre("op/evacuate/n-a") == "n-a"
    assert evacuated_data_centre("op/config") is None
