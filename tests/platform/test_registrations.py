import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from lagoonlatch.platform.registrations import decode_upstream, decode_vm, encode_vm
from lagoonlatch.steering.model import VmRecord

ENTRY = {
    "service": "s1",
    "addr": "10.128.0.9:8080",
    "zone": "n-a",
    "version": "v1",
    "slots": 9,
    "state": "ready",
    "cold_left_s": 1.5,
    "seq": 4,
    "born": 1_700_000_000_000,
}


def decode(**changes):
    return decode_upstream("servers/i-1", json.dumps(ENTRY | changes).encode())


def test_an_entry_is_decoded_into_this_projects_words():
    record = decode().unwrap()
    assert record.id == "i-1"
    assert record.data_centre == "n-a"
    assert record.cold_left == 1_500.0
    assert not record.is_draining
    assert decode(state="draining").unwrap().is_draining


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "asleep"},
        {"slots": "9"},
        {"slots": 0},
        {"addr": "nowhere"},
        {"addr": ":80"},
        {"addr": None},
        {"service": 3},
        {"zone": ["n-a"]},
        {"cold_left_s": "soon"},
        {"cold_left_s": 1e308},
        {"slots": 2**62},
        {"slots": 10**30},
        {"born": 10**400},
        {"addr": "10.0.0.1:0"},
        {"addr": "10.0.0.1:70000"},
        {"addr": "10.0.0.1:99999999999"},
        {"addr": "10.0.0.1:²"},
        {"addr": "10.0.0.1 :80"},
        {"addr": "10.0.0.1\0:80"},
        {"addr": f"{'x' * 100}:80"},
    ],
)
def test_an_odd_entry_names_no_upstream(changes):
    assert isinstance(decode(**changes), Failure)


@pytest.mark.parametrize("field", ["service", "addr", "zone", "slots", "state"])
def test_an_entry_without_a_field_names_no_upstream(field):
    entry = {name: value for name, value in ENTRY.items() if name != field}
    result = decode_upstream("servers/i-1", json.dumps(entry).encode())
    assert isinstance(result, Failure)


@given(st.binary(max_size=60))
def test_any_bytes_give_an_outcome(value):
    assert isinstance(decode_upstream("servers/i-1", value), Failure | Success)
    assert isinstance(decode_vm("lagoonlatch/vms/a", value), Failure | Success)


def test_a_vms_entry_reads_as_it_was_written():
    record = VmRecord(
        id="vm-1",
        data_centre="n-a",
        caller_address="10.1.0.1:80",
        peer_address="10.1.0.1:81",
        run=5,
        is_ready=True,
    )
    assert decode_vm("lagoonlatch/vms/vm-1", encode_vm(record)).unwrap() == record
