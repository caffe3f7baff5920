"""The shares of shards while VMs have different versions of the configuration."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from lagoonlatch.clock import Millis
from lagoonlatch.limits.spec import BucketSpec, Share

WEIGHT_DELAY: Millis = 10_000.0
"""Longer than a configuration takes to reach every VM."""


class DelayedShares:
    """Applies lost weight at once and gained weight after `WEIGHT_DELAY`.

    When weight moves between regions, the share of the losing shard must shrink before
    that of the gaining shard grows; otherwise both together allow too much. A change of
    rate and burst applies at once, since with equal weights the shares always add up.

    Parameters
    ----------
    spec : BucketSpec
        The bucket as first configured.
    """

    def __init__(self, spec: BucketSpec) -> None:
        self._spec = spec
        self._former_weights: list[tuple[Mapping[str, float], Millis]] = []

    def is_settled(self) -> bool:
        """Return whether only the configured weights count."""
        return not self._former_weights

    def update(self, spec: BucketSpec, now: Millis) -> None:
        """Apply a new configuration of the bucket."""
        if spec.weight_by_scope != self._spec.weight_by_scope:
            ends_at = now + WEIGHT_DELAY
            self._former_weights.append((self._spec.weight_by_scope, ends_at))
        self._spec = spec
        self._former_weights = [
            (weights, ends_at)
            for weights, ends_at in self._former_weights
            if now < ends_at
        ]

    def share_of(self, scope: str) -> Share:
        """Return the current share of the shard of `scope`.

        It is the smallest share under any weights that another VM may still use.
        """
        shares = [self._spec.share_of(scope)]
        for weights, _ends_at in self._former_weights:
            former = replace(self._spec, weight_by_scope=weights)
            shares.append(former.share_of(scope))
        return Share(
            min(share.rate for share in shares), min(share.burst for share in shares)
        )
