"""The buckets that a configuration asks for."""

from __future__ import annotations

from collections.abc import Iterator

from lagoonlatch.config.model import Configuration
from lagoonlatch.dispatch.moves import move_bucket_id, rate_cap_burst
from lagoonlatch.limits import BucketSpec
from lagoonlatch.membership.rendezvous import ranked

ORGANISATION_PREFIX = "organisation/"
MOST_SHARDS = 6
LEAST_SHARD_BURST = 4
"""Tokens that a data centre's shard must be able to hold."""


def organisation_bucket(organisation: str) -> str:
    """Return the id of an organisation's bucket."""
    return ORGANISATION_PREFIX + organisation


class BucketSpecs:
    """The specification of each bucket; the same object while it is unchanged."""

    def __init__(self) -> None:
        self._spec_by_id: dict[str, BucketSpec] = {}

    def configure(self, configuration: Configuration) -> None:
        """Follow a new configuration."""
        former = self._spec_by_id
        wanted = {spec.id: spec for spec in _specs(configuration)}
        self._spec_by_id = {
            bucket: former[bucket] if former.get(bucket) == spec else spec
            for bucket, spec in wanted.items()
        }

    def all(self) -> tuple[BucketSpec, ...]:
        """Return the specifications of all buckets."""
        return tuple(self._spec_by_id.values())

    def find(self, bucket: str) -> BucketSpec | None:
        """Return the specification of a bucket, or None."""
        return self._spec_by_id.get(bucket)


def _specs(configuration: Configuration) -> Iterator[BucketSpec]:
    for organisation_id, item in configuration.organisations_by_id.items():
        bucket = organisation_bucket(organisation_id)
        weights = _spread(bucket, item.burst, configuration)
        yield BucketSpec(bucket, item.rate, item.burst, weights)
    for move_id, move in configuration.moves_by_id.items():
        bucket = move_bucket_id(move_id)
        # All weight at the destination, where the cap is enforced.
        centres = configuration.data_centres_of(move.destination)
        scope = ranked(bucket, centres)[0]
        yield BucketSpec(bucket, move.rate_cap, rate_cap_burst(move), {scope: 1.0})


def _spread(bucket: str, burst: int, configuration: Configuration) -> dict[str, float]:
    """Return the weight of each data centre's shard of a bucket.

    A large bucket has a shard in each data centre, so that one that is cut off goes
    on serving its part. A small one would be cut into crumbs by that, and requests
    within its burst be refused; it has one in each region.
    """
    centres = sorted(configuration.data_centres_by_id)
    if len(centres) <= MOST_SHARDS and burst >= LEAST_SHARD_BURST * len(centres):
        return dict.fromkeys(centres, 1.0)
    chosen = [
        ranked(bucket, configuration.data_centres_of(region))[0]
        for region in configuration.regions()
    ]
    return dict.fromkeys(ranked(bucket, chosen)[:MOST_SHARDS], 1.0)
