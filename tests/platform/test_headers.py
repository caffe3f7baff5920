import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonlatch.platform.directory import encode_lookup_answer, read_lookup_query
from lagoonlatch.platform.headers import (
    for_callers,
    is_own_request_field,
    own_request_fields,
    read_answer_fields,
    read_request_fields,
    retry_after,
)


def test_a_callers_fields_are_decoded():
    fields = read_request_fields(
        [
            (b"request-id", b"9c41"),
            (b"deadline-ms", b"2500"),
            (b"authorization", b"Token abc"),
            (b"cookie", b"lang=en; Affinity-Key=17"),
        ]
    )
    assert fields.request_id == b"9c41"
    assert fields.time_left == 2_500.0
    assert fields.key == "abc"
    assert fields.affinity == "17"


@pytest.mark.parametrize("value", [b"soon", b"-5", b"0", b"inf", b"nan", b""])
def test_a_deadline_that_is_no_time_is_none(value):
    assert read_request_fields([(b"deadline-ms", value)]).time_left is None


def test_no_key_is_told_from_one_of_another_scheme():
    assert read_request_fields([]).key is None
    assert read_request_fields([(b"authorization", b"Basic abc")]).key == ""


def test_what_an_upstream_gets_holds_no_key():
    fields = dict(own_request_fields("i-1", 812.7, "dojo"))
    assert fields == {
        b"Expect-Instance": b"i-1",
        b"Deadline-Ms": b"812",
        b"Tenant": b"dojo",
    }
    assert b"Tenant" not in dict(own_request_fields("i-1", 5.0, None))
    assert all(
        is_own_request_field(name)
        for name in (b"authorization", b"tenant", b"expect-instance", b"deadline-ms")
    )


def test_an_answers_fields_are_decoded():
    fields = read_answer_fields(
        [
            (b"request-id", b"9c41"),
            (b"not-run", b"1"),
            (b"server-load", b"3, 0,8"),
            (b"keep-alive", b"timeout=10, max=5"),
            (b"instance-id", b"i-1"),
            (b"cold-ms", b"1500"),
        ]
    )
    assert fields.not_run
    assert (fields.load.running, fields.load.waiting, fields.load.slots) == (3, 0, 8)
    assert fields.keep_alive == 10_000.0
    assert fields.upstream == "i-1"
    assert fields.cold_left == 1_500.0


@pytest.mark.parametrize("value", [b"", b"1,2", b"1,2,x", b"1,x,3,4", b"-1,2,3"])
def test_a_load_that_can_not_be_read_is_none(value):
    assert read_answer_fields([(b"server-load", value)]).load is None


@pytest.mark.parametrize(
    ("value", "work_percent"),
    [
        (b"1,2,3", 100),
        (b"1,2,3,250", 250),
        (b"1,2,3, 80 ,7", 80),
        (b"1,2,3,0", 100),
        (b"1,2,3,x", 100),
    ],
)
def test_a_load_with_further_figures_is_read(value, work_percent):
    load = read_answer_fields([(b"server-load", value)]).load
    assert (load.running, load.waiting, load.slots) == (1, 2, 3)
    assert load.work_percent == work_percent


@pytest.mark.parametrize(
    ("values", "rate"),
    [([b"3.7"], 3.7), ([b"0"], 0.0), ([b" 12 "], 12.0), ([b"5", b"2.5"], 2.5)],
)
def test_rate_limit_of_an_upstream_is_decoded(values, rate):
    fields = read_answer_fields([(b"server-limit", value) for value in values])
    assert fields.rate_limit == rate
    assert not fields.odd


@pytest.mark.parametrize("value", [b"", b"few", b"-1", b"nan", b"inf", b"3,7"])
def test_invalid_rate_limit_is_ignored_and_reported(value):
    fields = read_answer_fields([(b"server-limit", value)])
    assert fields.rate_limit is None
    assert "no number of requests a second" in fields.odd


def test_the_time_to_come_back_is_in_seconds():
    assert retry_after(250.0) == (b"Retry-After", b"0.25")
    assert retry_after(0.4) == (b"Retry-After", b"0.001")


def test_a_lookup_and_its_answer():
    query = read_lookup_query("name=h.example&region=north&zone=n-a")
    assert (query.host, query.region, query.data_centre) == (
        "h.example",
        "north",
        "n-a",
    )
    assert read_lookup_query("").data_centre == ""
    assert encode_lookup_answer(["a:1"], 2_000.0) == b'{"addrs":["a:1"],"ttl_s":2.0}'
    many = encode_lookup_answer([f"a:{i}" for i in range(100)], 2_000.0)
    assert many.count(b"a:") == 64


def test_rate_limit_of_an_upstream_is_not_passed_on_to_callers():
    headers = [(b"Server-Limit", b"2"), (b"Server-Stamp", b"s")]
    assert for_callers(200, headers) == [(b"Server-Stamp", b"s")]


LONG_NUMBER = b"9" * 5_000
NUMBERS = (LONG_NUMBER, b"-" + LONG_NUMBER, b"1e999", b"nan", b"0x1", b"1_0", b"")
ANSWER_FIELDS = (
    b"server-load",
    b"keep-alive",
    b"cold-ms",
    b"retry-after",
    b"server-limit",
    b"instance-id",
)
REQUEST_FIELDS = (b"Deadline-Ms", b"Authorization", b"Cookie", b"Request-Id")


@pytest.mark.parametrize("number", NUMBERS)
def test_no_number_in_a_field_raises_an_error(number):
    load = b",".join([number] * 3)
    for name in ANSWER_FIELDS:
        for value in (number, load, b"timeout=" + number):
            fields = read_answer_fields([(name, value)], 503)
            assert fields.load is None
            assert fields.keep_alive is None
    for name in REQUEST_FIELDS:
        read_request_fields([(name.lower(), number)])


@settings(max_examples=300, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(ANSWER_FIELDS + REQUEST_FIELDS), st.binary()),
        max_size=5,
    ),
    st.sampled_from([200, 429, 503]),
)
def test_arbitrary_fields_raise_no_error(fields, status):
    lower_case = [(name.lower(), value) for name, value in fields]
    read_answer_fields(lower_case, status)
    read_request_fields(lower_case)
