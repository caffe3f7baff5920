from lagoonlatch.steering.holders import HOLDERS_BY_REGION, Holders

REGIONS = ("north", "centre", "south")


def make_regions(count):
    return {f"vm-{number}": REGIONS[number % 3] for number in range(count)}


def make_holders(regions):
    holders_by_vm = {vm: Holders(vm, region) for vm, region in regions.items()}
    for holders in holders_by_vm.values():
        holders.set_vms(regions)
    return holders_by_vm


def test_all_of_a_few_vms_hold_a_part():
    holders = make_holders(make_regions(10))
    for vm in holders.values():
        assert len(vm.holders_of("dojo")) == 10
        assert vm.share("dojo").own == 0.1


def test_the_parts_of_many_vms_make_one_whole_in_the_view_of_all():
    holders = make_holders(make_regions(77))
    for organisation in ("dojo", "ring", "mat"):
        assert len({vm.holders_of(organisation) for vm in holders.values()}) == 1
        parts = [vm.share(organisation).own for vm in holders.values()]
        assert abs(sum(parts) - 1.0) < 1e-9
        assert sum(part > 0.0 for part in parts) == 3 * HOLDERS_BY_REGION


def test_every_vm_has_holders_nearby():
    regions = make_regions(77)
    for vm, known in make_holders(regions).items():
        near = known.near("dojo")
        assert len(near) >= HOLDERS_BY_REGION - 1
        assert {regions[holder] for holder in near} == {regions[vm]}


def test_a_vm_more_changes_few_holders():
    before = make_holders(make_regions(77))["vm-0"].holders_of("dojo")
    after = make_holders(make_regions(78))["vm-0"].holders_of("dojo")
    assert len(set(before) - set(after)) <= 1
