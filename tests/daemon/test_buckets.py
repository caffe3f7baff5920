from dataclasses import replace

import pytest

from lagoonlatch.config.model import Configuration, DataCentre, Move, Organisation
from lagoonlatch.daemon.buckets import MOST_SHARDS, BucketSpecs, organisation_bucket
from lagoonlatch.dispatch.moves import move_bucket_id


def _configuration(regions, burst):
    centres = {
        f"{region}-{number}": DataCentre(region=region)
        for region in regions
        for number in (1, 2)
    }
    organisation = Organisation(key_digests=(), rate=10.0, burst=burst)
    return Configuration(
        data_centres_by_id=centres, organisations_by_id={"org": organisation}
    )


def _spec(configuration, bucket="organisation/org"):
    specs = BucketSpecs()
    specs.configure(configuration)
    return specs.find(bucket)


def test_large_bucket_has_a_shard_in_every_data_centre():
    configuration = _configuration("abc", burst=100)
    assert _spec(configuration).scopes() == tuple(configuration.data_centres_by_id)


def test_small_bucket_has_one_shard_in_each_region():
    scopes = _spec(_configuration("abc", burst=5)).scopes()
    assert [scope[0] for scope in scopes] == ["a", "b", "c"]


@pytest.mark.parametrize("burst", [5, 10_000])
def test_shards_stay_few_in_a_large_fleet(burst):
    configuration = _configuration("abcdefghijklmnopq", burst)
    assert len(_spec(configuration).scopes()) == MOST_SHARDS


def test_cap_of_a_move_has_one_shard_at_its_destination():
    move = Move(service="s", source="a", destination="b", rate_cap=50.0, share_cap=1.0)
    configuration = replace(_configuration("ab", 5), moves_by_id={"m": move})
    (scope,) = _spec(configuration, move_bucket_id("m")).scopes()
    assert scope.startswith("b-")


def test_unchanged_specification_stays_the_same_object():
    specs = BucketSpecs()
    specs.configure(_configuration("ab", 5))
    first = specs.find(organisation_bucket("org"))
    specs.configure(replace(_configuration("ab", 5), version=2))
    assert specs.find(organisation_bucket("org")) is first
