"""Which VMs a caller may use, as JSON."""

from __future__ import annotations

import msgspec

from lagoonlatch.config.holder import ConfigurationHolder
from lagoonlatch.daemon.buckets import BucketSpecs, organisation_bucket
from lagoonlatch.daemon.scopes import Scopes
from lagoonlatch.membership import Membership
from lagoonlatch.routing.lookup import Lookups


class JsonLookups:
    """Answers look-ups by the configuration in force here."""

    def __init__(
        self,
        holder: ConfigurationHolder,
        membership: Membership,
        scopes: Scopes,
        specs: BucketSpecs,
    ) -> None:
        self._holder = holder
        self._scopes = scopes
        self._specs = specs
        self._lookups = Lookups(membership, self._shard_owner)

    def look_up(self, service: str, client: str, organisation: str) -> bytes:
        """Return the JSON that names the VMs to use, best first."""
        answer = self._lookups.answer(
            self._holder.current(), client, service, organisation
        )
        document = {"service": service, "vms": answer.vms, "ttl_ms": answer.ttl}
        return msgspec.json.encode(document)

    def _shard_owner(self, organisation: str, region: str) -> str | None:
        bucket = organisation_bucket(organisation)
        spec = self._specs.find(bucket)
        if spec is None:
            return None
        region_of = self._holder.current().region_of
        for scope in spec.scopes():
            if region_of(scope) == region:
                keeper = self._scopes.keeper_by_scope[scope]
                owner = keeper.owner_of(keeper.slot_of(bucket))
                return owner.vm if owner else None
        return None
