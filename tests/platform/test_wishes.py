"""What upstreams say of themselves in header fields."""

import pytest

from lagoonlatch.platform.headers import (
    LONGEST_REST,
    for_callers,
    read_answer_fields,
)


def rest(*values, status=503):
    fields = [(b"retry-after", value) for value in values]
    return read_answer_fields(fields, status)


def test_a_rest_is_read_in_seconds_with_fractions():
    assert rest(b"2").rest == 2_000.0
    assert rest(b" 0.25 ").rest == 250.0
    assert rest(b"2").odd == ""
    assert rest().rest == 0.0


@pytest.mark.parametrize(
    "value",
    [b"-1", b"nan", b"inf", b"-inf", b"", b"soon", b"Fri, 04 Dec 2026 12:00:00 GMT"],
)
def test_a_rest_that_is_no_number_of_seconds_is_told_and_counts_for_nothing(value):
    fields = rest(value)
    assert fields.rest == 0.0
    assert "no number of seconds" in fields.odd


@pytest.mark.parametrize("value", [b"3600", b"1e300", b"61"])
def test_a_rest_is_cut_to_the_longest_one(value):
    fields = rest(value)
    assert fields.rest == LONGEST_REST
    assert "is over 60 s" in fields.odd


def test_of_several_rests_the_longest_sound_one_counts():
    assert rest(b"1", b"3", b"2", b"x").rest == 3_000.0


def test_only_an_upstream_that_is_unavailable_asks_for_rest():
    for status in (200, 429, 500, 421):
        assert rest(b"2", status=status).rest == 0.0


@pytest.mark.parametrize(
    ("values", "leaves"),
    [
        ([b"1"], True),
        ([b" 1 "], True),
        ([b"0", b"1"], True),
        ([b"0"], False),
        ([], False),
    ],
)
def test_an_upstream_says_that_it_leaves(values, leaves):
    fields = [(b"server-leaving", value) for value in values]
    assert read_answer_fields(fields, 200).is_leaving is leaves


def test_callers_do_not_see_what_an_upstream_says_to_this_vm():
    headers = [(b"Server-Leaving", b"1"), (b"Retry-After", b"9"), (b"X", b"y")]
    assert for_callers(503, headers) == [(b"X", b"y")]
    assert for_callers(200, headers) == [(b"Retry-After", b"9"), (b"X", b"y")]
