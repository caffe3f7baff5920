from lagoonlatch.steering.lookup import Lookup
from lagoonlatch.steering.model import VmRecord
from tests.steering.samples import REGION_BY_DATA_CENTRE


def make_vm(name, data_centre):
    return VmRecord(
        id=name,
        data_centre=data_centre,
        caller_address=f"{name}:80",
        peer_address=f"{name}:81",
        run=1,
        is_ready=True,
    )


def make_lookup(vms):
    return Lookup(lambda: vms, REGION_BY_DATA_CENTRE, 5_000.0)


VMS = [make_vm("v1", "n-a"), make_vm("v2", "n-b"), make_vm("v3", "s-a")]


def test_callers_get_all_vms_of_their_region():
    lookup = make_lookup(VMS)
    assert set(lookup.find("north", "n-a")) == {"v1:80", "v2:80"}
    assert set(lookup.find("", "n-b")) == {"v1:80", "v2:80"}


def test_callers_of_a_region_without_vms_get_all_vms():
    assert set(make_lookup(VMS).find("mid", "m-a")) == {"v1:80", "v2:80", "v3:80"}


def test_answer_is_empty_without_vms():
    assert make_lookup([]).find("north", "n-a") == []


def test_validity_of_the_answer_is_bounded():
    assert Lookup(lambda: VMS, REGION_BY_DATA_CENTRE, 1_000.0).ttl == 1_000.0
