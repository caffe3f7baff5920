"""All forms of the platform's messages that differ between deployments.

A form that isn't read has cost whole deployments their service: an unknown kind of
route, a further figure in a field, and a health answer without a stamp.
"""

import json

import pytest
from returns.result import Success

from lagoonlatch.platform.headers import read_answer_fields
from lagoonlatch.platform.operator_keys import decode_configuration
from lagoonlatch.platform.registrations import decode_upstream
from lagoonlatch.steering.model import RouteKind

ROUTE = {
    "host": "h.example",
    "path_prefix": "/a/",
    "kind": "safe",
    "timeout_s": 3,
    "service": "s1",
}
ENTRY = {
    "service": "s1",
    "addr": "10.128.0.9:8080",
    "zone": "n-a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_left_s": 0,
    "seq": 4,
}


def decode_route(**fields):
    resources = [
        {"resource_kind": "routes", "metadata": {"name": "r"}, "spec": ROUTE | fields},
        {
            "resource_kind": "services",
            "metadata": {"name": "s1"},
            "spec": {"health_path": "/h", "protocol": "h1", "tls": False},
        },
        {"resource_kind": "limits", "metadata": {}, "spec": {}},
    ]
    document = json.dumps({"version": "r7", "resources": resources}).encode()
    rules = decode_configuration(document).unwrap()
    return rules.find_route("h.example", "/a/x")


@pytest.mark.parametrize("kind", [kind.value for kind in RouteKind])
def test_each_kind_of_route_is_known(kind):
    assert decode_route(kind=kind).kind.value == kind


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("goal_s", 0.878),
        ("priority", 0),
        ("max_attempts", 2),
        ("public", True),
        ("sticky", True),
        ("home_regions", ["n"]),
        ("split", [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}]),
        ("new_field", {"a": [1]}),
    ],
)
def test_each_optional_field_of_a_route_is_read(field, value):
    assert decode_route(**{field: value}) is not None


@pytest.mark.parametrize(
    ("fields", "is_accepted"),
    [
        ({}, True),
        ({"born": 1_780_436_429_250}, True),
        ({"new_field": [1, 2]}, True),
        ({"state": "draining"}, True),
        ({"cold_left_s": 2.5}, True),
        ({"state": "resting"}, False),
        ({"slots": "6"}, False),
    ],
)
def test_each_form_of_an_upstreams_entry_is_read(fields, is_accepted):
    decoded = decode_upstream("servers/i-1", json.dumps(ENTRY | fields).encode())
    assert isinstance(decoded, Success) is is_accepted


@pytest.mark.parametrize(
    "headers",
    [
        [("server-load", "3,0,8")],
        [("server-load", "3,0,8,120")],
        [("server-load", "3,0,8,120,7")],
        [("server-load", "3, 0, 8, 120")],
    ],
)
def test_each_form_of_a_load_is_read(headers):
    fields = read_answer_fields([(n.encode(), v.encode()) for n, v in headers])
    assert (fields.load.running, fields.load.waiting, fields.load.slots) == (3, 0, 8)
