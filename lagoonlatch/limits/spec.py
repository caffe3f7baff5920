"""The limits of a bucket and their division into shards."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.limits.tokens import split_tokens
from lagoonlatch.ownership.table import hash_parts

MAX_SHARDS = 5
"""Shards into which `BucketSpec.spread` divides a bucket at most."""


@dataclass(frozen=True)
class Share:
    """The part of a bucket's limits that one region's shard has.

    Parameters
    ----------
    rate : float
        Tokens a second.
    burst : float
        Largest number of tokens.
    """

    rate: float
    burst: float


@dataclass(frozen=True)
class BucketSpec:
    """The limits of a bucket that all VMs share.

    Parameters
    ----------
    id : str
        For example ``organisation/<id>`` or ``move/<id>``.
    rate : float
        Tokens a second.
    burst : float
        Tokens that may be spent at once.
    weight_by_scope : Mapping of str to float
        Weight of each region's shard; a region without weight has none.

    See Also
    --------
    BucketSpec.spread : even weights over a few regions.
    """

    id: str
    rate: float
    burst: float
    weight_by_scope: Mapping[str, float]

    @classmethod
    def spread(
        cls, id: str, rate: float, burst: float, regions: Iterable[str]
    ) -> BucketSpec:
        """Return a bucket divided evenly over at most `MAX_SHARDS` of `regions`.

        If there are more regions, rendezvous hashing of the bucket's id chooses among
        them. This avoids splitting a small burst into fractions of tokens.
        """
        ranked = sorted(set(regions), key=lambda region: hash_parts(id, region))
        return cls(id, rate, burst, dict.fromkeys(ranked[:MAX_SHARDS], 1.0))

    def scopes(self) -> tuple[str, ...]:
        """Return the regions that hold a shard, sorted."""
        return tuple(
            sorted(
                scope for scope, weight in self.weight_by_scope.items() if weight > 0
            )
        )

    def share_of(self, scope: str) -> Share:
        """Return the share of `scope`'s shard.

        The shares of all scopes add up to the bucket's rate and burst. The rate is
        divided in the same ratio as the burst, so that a shard too small for a token
        doesn't lose refill.
        """
        burst_by_scope = split_tokens(self.burst, self.weight_by_scope, self.id)
        burst = burst_by_scope.get(scope, 0.0)
        ratio = burst / self.burst if self.burst > 0 else 0.0
        return Share(self.rate * ratio, burst)

    def refill_time(self, tokens: float) -> Millis:
        """Return how long the whole bucket takes to gain `tokens`."""
        if tokens <= 0.0:
            return 0.0
        return tokens / self.rate * MILLIS_PER_SECOND if self.rate > 0 else float("inf")
