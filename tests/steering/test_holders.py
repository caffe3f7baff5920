from lagoonlatch.steering.holders import HOLDERS_PER_REGION, Holders

REGIONS = ("north", "centre", "south")


def make_regions(count):
    return {f"vm-{number}": REGIONS[number % 3] for number in range(count)}


def make_holders(regions):
    holders_by_vm = {vm: Holders(vm, region) for vm, region in regions.items()}
    for holders in holders_by_vm.values():
        holders.set_vms(regions)
    return holders_by_vm


def test_every_vm_of_a_small_fleet_holds_a_share():
    holders = make_holders(make_regions(10))
    for vm in holders.values():
        assert len(vm.holders_of("dojo")) == 10
        assert vm.share("dojo").own_size == 0.1


def test_vms_agree_on_shares_that_add_up_to_the_whole_allowance():
    holders = make_holders(make_regions(77))
    for organisation in ("dojo", "ring", "mat"):
        assert len({vm.holders_of(organisation) for vm in holders.values()}) == 1
        own_sizes = [vm.share(organisation).own_size for vm in holders.values()]
        assert abs(sum(own_sizes) - 1.0) < 1e-9
        assert sum(size > 0.0 for size in own_sizes) == 3 * HOLDERS_PER_REGION


def test_every_vm_has_holders_in_its_region():
    regions = make_regions(77)
    for vm, holders_of_vm in make_holders(regions).items():
        near = holders_of_vm.near("dojo")
        assert len(near) >= HOLDERS_PER_REGION - 1
        assert {regions[holder] for holder in near} == {regions[vm]}


def test_adding_a_vm_changes_at_most_one_holder():
    before = make_holders(make_regions(77))["vm-0"].holders_of("dojo")
    after = make_holders(make_regions(78))["vm-0"].holders_of("dojo")
    assert len(set(before) - set(after)) <= 1
