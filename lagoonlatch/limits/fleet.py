"""A limiter whose shards of a bucket lend each other tokens."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Mapping

from returns.result import Failure

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.limits.calls import NOT_OWNER, GrantCalls
from lagoonlatch.limits.grants import GrantReply, GrantRequest, Transport
from lagoonlatch.limits.holder import Holder
from lagoonlatch.limits.limiter import (
    DEFAULT_DEADLINE,
    LIMITERS,
    Admission,
    Distance,
    Ownership,
    RateRefusal,
    RefusalReason,
    equal_distance,
)
from lagoonlatch.limits.shard import OWNER_LOST_RETRY_AFTER, Shard
from lagoonlatch.limits.share import DelayedShares
from lagoonlatch.limits.spec import BucketSpec
from lagoonlatch.limits.wait_queue import MAX_TOKEN_WAIT
from lagoonlatch.ownership.table import Owner

TICK_INTERVAL: Millis = 50.0


@LIMITERS.register("leased-shards")
class FleetLimiter:
    """Admits requests with tokens that this VM owns or holds in leases.

    Parameters
    ----------
    this_vm : Owner
        The current incarnation of this VM.
    region : str
        The scope of the VM's own shards: its region, or its data centre where each
        has shards.
    ownership_by_scope : Mapping of str to Ownership
        The owners of the slots of each scope; looked up at each use.
    transport : Transport
        Carries grant calls.
    find_spec : callable
        Returns the current configuration of a bucket id, or None. It returns the same
        object as long as the configuration doesn't change.
    distance : callable
        Returns how far a scope is, in any unit. If a bucket has no shard in the VM's
        own scope, the VM asks the nearest shard first.
    """

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
        self._distance = distance
        self._this_vm = this_vm
        self._region = region
        self._ownership_by_scope = ownership_by_scope
        self._find_spec = find_spec
        self._clock = clock
        self._calls = GrantCalls(
            this_vm, ownership_by_scope, transport, self.serve_grant, clock
        )
        self._shard_by_key: dict[tuple[str, str], Shard] = {}
        self._holder_by_bucket: dict[str, Holder] = {}
        self._shares_by_bucket: dict[str, DelayedShares] = {}
        self._active_buckets: set[str] = set()
        self._due: list[tuple[Millis, str]] = []

    def configure(self, specs: Iterable[BucketSpec]) -> None:
        """Apply a new configuration, also to buckets that are not in use.

        Otherwise a bucket's shares would be tracked only from its first use, and a
        change of weights just before that would take effect without delay.
        """
        now = self._clock.now()
        for spec in specs:
            self._shares(spec).update(spec, now)

    def admit(
        self, bucket_id: str, cost: float = 1.0, deadline: Millis = DEFAULT_DEADLINE
    ) -> Admission:
        """Spend `cost` tokens of a bucket that all VMs share.

        Parameters
        ----------
        cost : float
            A multiple of `TOKEN_QUANTUM`, such as any whole number.
        deadline : Millis
            How long the request may wait. It waits for a round of calls, and up to
            `MAX_TOKEN_WAIT` for tokens that will be available in that time.

        Returns
        -------
        Result of Admitted or RateRefusal
            Returned at once if the tokens are available or known to be missing.
        """
        spec = self._find_spec(bucket_id)
        if spec is None:
            return Failure(
                RateRefusal(OWNER_LOST_RETRY_AFTER, RefusalReason.UNKNOWN_BUCKET)
            )
        self._activate(bucket_id)
        shard = self._shard(spec, self._region)
        timeout = min(MAX_TOKEN_WAIT, deadline)
        shard_or_holder = shard or self._holder(spec)
        return shard_or_holder.admit(cost, timeout)

    def serve_grant(self, request: GrantRequest) -> GrantReply:
        """Answer a request of another VM for tokens of a shard that this VM owns."""
        spec = self._find_spec(request.bucket)
        shard = self._shard(spec, request.scope) if spec else None
        if shard is None:
            return GrantReply(
                request.request_id, 0.0, 0.0, NOT_OWNER, OWNER_LOST_RETRY_AFTER
            )
        self._activate(request.bucket)
        return shard.serve(request)

    def run(self) -> None:
        """Do the background work until the greenlet is killed."""
        while True:
            self.tick()
            self._clock.sleep(TICK_INTERVAL)

    def tick(self) -> None:
        """Report, close idle leases and prefetch for all buckets that are due."""
        now = self._clock.now()
        while self._due and self._due[0][0] <= now:
            _due_at, bucket = heapq.heappop(self._due)
            interval = self._tick_bucket(bucket)
            if interval is None:
                self._active_buckets.discard(bucket)
            else:
                heapq.heappush(self._due, (now + interval, bucket))

    def _activate(self, bucket: str) -> None:
        if bucket not in self._active_buckets:
            self._active_buckets.add(bucket)
            heapq.heappush(self._due, (self._clock.now() + TICK_INTERVAL, bucket))

    def _tick_bucket(self, bucket: str) -> Millis | None:
        """Do one bucket's work; return the time until it is due again.

        None means that the bucket is not in use.
        """
        spec = self._find_spec(bucket)
        shards = self._shards(spec) if spec else []
        holder = self._holder_by_bucket.get(bucket)
        intervals = [
            shard_or_holder.tick()
            for shard_or_holder in (*shards, holder)
            if shard_or_holder
        ]
        if holder and intervals[-1] is None:
            del self._holder_by_bucket[bucket]
        return min((item for item in intervals if item is not None), default=None)

    def _shards(self, spec: BucketSpec) -> list[Shard]:
        """Return the bucket's shards that this VM owns now."""
        shards = [self._shard(spec, scope) for scope in spec.scopes()]
        return [shard for shard in shards if shard]

    def _shard(self, spec: BucketSpec, scope: str) -> Shard | None:
        """Return the bucket's shard of `scope` if this VM owns it now.

        A shard whose scope no longer has weight is kept. If the scope gets weight
        again, the shard then still counts the tokens that it has lent.
        """
        key = (spec.id, scope)
        since = self._owned_since(*key)
        shard = self._shard_by_key.get(key)
        if shard is not None and shard.since != since:
            del self._shard_by_key[key]
            shard = None
        has_weight = spec.weight_by_scope.get(scope, 0.0) > 0.0
        if shard is None and since is not None and has_weight:
            shard = self._new_shard(spec, scope, since)
        if shard is not None:
            shard.configure(spec)
        return shard if has_weight else None

    def _new_shard(self, spec: BucketSpec, scope: str, since: Millis) -> Shard:
        shard = Shard(
            self._this_vm,
            scope,
            spec,
            self._shares(spec),
            since,
            lambda: self._owned_since(spec.id, scope) == since,
            self._calls,
            self._clock,
        )
        self._shard_by_key[spec.id, scope] = shard
        return shard

    def _shares(self, spec: BucketSpec) -> DelayedShares:
        shares = self._shares_by_bucket.get(spec.id)
        if shares is None:
            shares = DelayedShares(spec)
            self._shares_by_bucket[spec.id] = shares
        return shares

    def _owned_since(self, bucket: str, scope: str) -> Millis | None:
        ownership = self._ownership_by_scope.get(scope)
        return ownership and ownership.owned_since(ownership.slot_of(bucket))

    def _holder(self, spec: BucketSpec) -> Holder:
        holder = self._holder_by_bucket.get(spec.id)
        if holder is None:
            holder = Holder(
                self._region, spec, self._distance, self._calls, self._clock
            )
            self._holder_by_bucket[spec.id] = holder
        holder.configure(spec)
        return holder
