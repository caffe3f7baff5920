"""Simpler limiters for differential tests and benchmarks."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable, Mapping

import gevent
from returns.result import Failure, Success

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.limits.bucket import ShardBucket
from lagoonlatch.limits.calls import NOT_OWNER
from lagoonlatch.limits.grants import GrantReply, GrantRequest, Settlement, Transport
from lagoonlatch.limits.limiter import (
    DEFAULT_DEADLINE,
    LIMITERS,
    Admission,
    Admitted,
    Distance,
    Ownership,
    RateRefusal,
    RefusalReason,
    equal_distance,
)
from lagoonlatch.limits.spec import BucketSpec, Share
from lagoonlatch.ownership.table import Owner

CENTRAL_DEADLINE: Millis = 450.0
GOSSIP_DEADLINE: Millis = 300.0
GOSSIP_INTERVAL: Millis = 100.0
NO_OWNER_RETRY_AFTER: Millis = 1_000.0


class _LocalBuckets:
    """Token buckets by id, which are created full on first use."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._bucket_by_id: dict[str, ShardBucket] = {}

    def find(self, bucket_id: str, share: Share) -> ShardBucket:
        """Return the bucket after refilling it."""
        now = self._clock.now()
        bucket = self._bucket_by_id.get(bucket_id)
        if bucket is None:
            bucket = ShardBucket(share, now)
            bucket.level = share.burst
            self._bucket_by_id[bucket_id] = bucket
        bucket.refill(now)
        return bucket

    def admit(self, bucket_id: str, share: Share, cost: float) -> Admission:
        """Spend from the local bucket."""
        bucket = self.find(bucket_id, share)
        if bucket.level >= cost:
            bucket.spend(cost)
            return Success(Admitted())
        wait = (cost - bucket.level) / share.rate * MILLIS_PER_SECOND
        return Failure(RateRefusal(wait))


class _NaiveLimiter:
    """Base class of the naive limiters."""

    def __init__(
        self,
        this_vm: Owner,
        region: str,
        ownership_by_scope: Mapping[str, Ownership],
        transport: Transport,
        find_spec: Callable[[str], BucketSpec | None],
        clock: Clock,
        distance: Distance = equal_distance,
    ) -> None:
        self._this_vm = this_vm
        self._region = region
        self._ownership_by_scope = ownership_by_scope
        self._transport = transport
        self._find_spec = find_spec
        self._clock = clock
        self._buckets = _LocalBuckets(clock)
        self._request_ids = itertools.count(1)

    def configure(self, specs: Iterable[BucketSpec]) -> None:
        """Do nothing, since buckets are looked up at each use."""

    def admit(
        self, bucket_id: str, cost: float = 1.0, deadline: Millis = DEFAULT_DEADLINE
    ) -> Admission:
        """Spend `cost` tokens of a bucket or return a refusal."""
        spec = self._find_spec(bucket_id)
        if spec is None:
            return Failure(
                RateRefusal(NO_OWNER_RETRY_AFTER, RefusalReason.UNKNOWN_BUCKET)
            )
        return self._admit(spec, cost)

    def serve_grant(self, request: GrantRequest) -> GrantReply:
        """Refuse, since this limiter doesn't request tokens from other VMs."""
        return GrantReply(request.request_id, 0.0, 0.0, NOT_OWNER)

    def run(self) -> None:
        """Return at once, since this limiter has no background work."""

    def _admit(self, spec: BucketSpec, cost: float) -> Admission:
        raise NotImplementedError

    def _vms(self) -> set[str]:
        """Return this VM and all VMs that own a slot in any scope."""
        owners = {self._this_vm.vm}
        for ownership in self._ownership_by_scope.values():
            owners |= {owner.vm for owner in ownership.owners()}
        return owners

    def _request(
        self, spec: BucketSpec, scope: str, wanted: float, spent: float = 0.0
    ) -> GrantRequest:
        request_id = next(self._request_ids)
        return GrantRequest(
            spec.id,
            scope,
            wanted,
            self._this_vm.vm,
            self._this_vm.incarnation,
            request_id,
            settlements=(Settlement(request_id, spent),),
        )


@LIMITERS.register("static-split")
class StaticSplitLimiter(_NaiveLimiter):
    """Gives each VM a fixed, equal part of the rate and burst."""

    def _admit(self, spec: BucketSpec, cost: float) -> Admission:
        vm_count = len(self._vms())
        share = Share(spec.rate / vm_count, spec.burst / vm_count)
        return self._buckets.admit(spec.id, share, cost)


@LIMITERS.register("central-bucket")
class CentralBucketLimiter(_NaiveLimiter):
    """Asks one VM of the first region for every request.

    After a change of owner, the new owner starts with a full bucket.
    """

    def serve_grant(self, request: GrantRequest) -> GrantReply:
        """Spend tokens of the central bucket."""
        spec = self._find_spec(request.bucket)
        if spec is None or not self._is_owner(spec):
            return GrantReply(request.request_id, 0.0, 0.0, NOT_OWNER)
        admission = self._spend(spec, request.wanted)
        if isinstance(admission, Success):
            return GrantReply(request.request_id, request.wanted, CENTRAL_DEADLINE)
        refusal = admission.failure()
        return GrantReply(
            request.request_id, 0.0, 0.0, refusal.reason.value, refusal.retry_after
        )

    def _admit(self, spec: BucketSpec, cost: float) -> Admission:
        if self._is_owner(spec):
            return self._spend(spec, cost)
        ownership = self._ownership_by_scope[spec.scopes()[0]]
        owner = ownership.owner_of(ownership.slot_of(spec.id))
        if owner is None:
            return Failure(RateRefusal(NO_OWNER_RETRY_AFTER, RefusalReason.NO_OWNER))
        request = self._request(spec, spec.scopes()[0], cost)
        reply = self._transport.grant(owner.vm, request, CENTRAL_DEADLINE)
        return self._admission(reply, cost)

    def _admission(self, reply, cost: float) -> Admission:
        match reply:
            case Success(GrantReply(granted=granted)) if granted >= cost:
                return Success(Admitted())
            case Success(GrantReply(refusal=refusal) as refused) if (
                refusal == RefusalReason.RATE.value
            ):
                return Failure(RateRefusal(refused.retry_after))
        return Failure(RateRefusal(NO_OWNER_RETRY_AFTER, RefusalReason.NO_OWNER))

    def _is_owner(self, spec: BucketSpec) -> bool:
        scope = spec.scopes()[0]
        ownership = self._ownership_by_scope[scope]
        since = ownership.owned_since(ownership.slot_of(spec.id))
        return scope == self._region and since is not None

    def _spend(self, spec: BucketSpec, cost: float) -> Admission:
        return self._buckets.admit(spec.id, Share(spec.rate, spec.burst), cost)


@LIMITERS.register("optimistic-gossip")
class OptimisticGossipLimiter(_NaiveLimiter):
    """Admits from a local copy of the whole bucket and later notifies the other VMs."""

    def __init__(self, *arguments, **keyword_arguments) -> None:
        super().__init__(*arguments, **keyword_arguments)
        self._unsent_by_bucket: dict[str, float] = {}

    def serve_grant(self, request: GrantRequest) -> GrantReply:
        """Subtract what another VM has spent."""
        spec = self._find_spec(request.bucket)
        if spec is not None:
            bucket = self._buckets.find(spec.id, Share(spec.rate, spec.burst))
            spent = sum(settlement.spent for settlement in request.settlements)
            bucket.spend(min(spent, bucket.level))
        return GrantReply(request.request_id, 0.0, 0.0)

    def run(self) -> None:
        """Report spent tokens to all other VMs until the greenlet is killed."""
        while True:
            self._clock.sleep(GOSSIP_INTERVAL)
            unsent, self._unsent_by_bucket = self._unsent_by_bucket, {}
            for bucket, spent in unsent.items():
                self._send(bucket, spent)

    def _admit(self, spec: BucketSpec, cost: float) -> Admission:
        share = Share(spec.rate, spec.burst)
        admission = self._buckets.admit(spec.id, share, cost)
        if isinstance(admission, Success):
            unsent = self._unsent_by_bucket.get(spec.id, 0.0)
            self._unsent_by_bucket[spec.id] = unsent + cost
        return admission

    def _send(self, bucket: str, spent: float) -> None:
        spec = self._find_spec(bucket)
        if spec is None:
            return
        for vm in sorted(self._vms() - {self._this_vm.vm}):
            request = self._request(spec, self._region, 0.0, spent)
            gevent.spawn(self._transport.grant, vm, request, GOSSIP_DEADLINE)
