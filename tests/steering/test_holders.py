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
    holders_by_vm = make_holders(make_regions(10))
    for holders in holders_by_vm.values():
        assert len(holders.holders_of("dojo")) == 10
        assert holders.share("dojo").own_fraction == 0.1


def test_vms_agree_on_shares_that_add_up_to_the_whole_allowance():
    holders_by_vm = make_holders(make_regions(77))
    for organisation in ("dojo", "ring", "mat"):
        assert len({h.holders_of(organisation) for h in holders_by_vm.values()}) == 1
        own_fractions = [
            holders.share(organisation).own_fraction
            for holders in holders_by_vm.values()
        ]
        assert abs(sum(own_fractions) - 1.0) < 1e-9
        assert sum(part > 0.0 for part in own_fractions) == 3 * HOLDERS_PER_REGION


def test_every_vm_has_holders_in_its_region():
    regions = make_regions(77)
    for vm, holders_of_vm in make_holders(regions).items():
        near = holders_of_vm.other_holders_in_region("dojo")
        assert len(near) >= HOLDERS_PER_REGION - 1
        assert {regions[holder] for holder in near} == {regions[vm]}


def test_adding_a_vm_changes_at_most_one_holder():
    before = make_holders(make_regions(77))["vm-0"].holders_of("dojo")
    after = make_holders(make_regions(78))["vm-0"].holders_of("dojo")
    assert len(set(before) - set(after)) <= 1
