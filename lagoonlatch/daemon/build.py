"""Puts the parts of one VM's daemon together."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Success

from lagoonlatch.callers.app import CallersApp
from lagoonlatch.clock import Clock, HybridClock
from lagoonlatch.config.change_events import ChangeEvents
from lagoonlatch.config.holder import ConfigurationHolder
from lagoonlatch.config.model import Configuration
from lagoonlatch.config.sync import ConfigurationSync
from lagoonlatch.daemon.buckets import BucketSpecs
from lagoonlatch.daemon.confirmation import Confirmation, Contacts, KeyTrust
from lagoonlatch.daemon.fleet import Fleet
from lagoonlatch.daemon.lookups import JsonLookups
from lagoonlatch.daemon.peers import PeerHandler
from lagoonlatch.daemon.places import Places
from lagoonlatch.daemon.relays import PeerRelay
from lagoonlatch.daemon.scopes import Scopes
from lagoonlatch.daemon.steering import VmSteering
from lagoonlatch.daemon.transports import PeerTransport
from lagoonlatch.dispatch.dispatcher import Dispatcher
from lagoonlatch.dispatch.keyed_requests import KeyedRequestRunner
from lagoonlatch.dispatch.moves import MovePlanner
from lagoonlatch.events import EventLog
from lagoonlatch.idempotency.claims import ClaimStore, KeyHolder
from lagoonlatch.idempotency.outcomes import OutcomeTable
from lagoonlatch.limits import LIMITERS, Limiter
from lagoonlatch.membership import (
    LocalState,
    Member,
    Membership,
    MembershipSettings,
    VmRecord,
)
from lagoonlatch.metrics import FleetMetrics
from lagoonlatch.ownership import Owner, OwnershipReader, VmRegistration
from lagoonlatch.platform import HttpStore, HttpVmList
from lagoonlatch.routing.selection import SELECTIONS
from lagoonlatch.settings import DaemonSettings
from lagoonlatch.upstreams.connections import ConnectionSettings
from lagoonlatch.upstreams.owner import OwnerSettings, UpstreamOwner
from lagoonlatch.vms.client import PeerClients
from lagoonlatch.vms.heartbeats import ThriftHeartbeats


@dataclass(frozen=True)
class Parts:
    """The parts of a daemon that its process runs."""

    callers_app: CallersApp
    peer_handler: PeerHandler
    membership: Membership
    scopes: Scopes
    holder: ConfigurationHolder
    sync: ConfigurationSync
    ownership_reader: OwnershipReader
    registration: VmRegistration
    limiter: Limiter
    owner: UpstreamOwner
    event_log: EventLog
    render_metrics: Callable[[], bytes]


def build(settings: DaemonSettings, superseded: Callable[[], None]) -> Parts:
    """Return the parts of the daemon that `settings` describe, not yet running.

    Parameters
    ----------
    superseded : callable
        Called when a newer run of this VM answers.
    """
    return _Builder(settings, superseded).build()


class _Builder:
    def __init__(self, settings: DaemonSettings, superseded: Callable[[], None]):
        self._settings = settings
        self._superseded = superseded
        self._peers_port = settings.peers_port or settings.vms_port
        self._clock = Clock()
        self._hybrid_clock = HybridClock(self._clock)
        self._event_log = EventLog(settings.vm, self._hybrid_clock)
        self._metrics = FleetMetrics(settings.vm, settings.data_centre, settings.region)
        # Wall-clock time: higher than that of any run before on this VM.
        self._me = Owner(settings.vm, int(self._clock.wall()))
        platform, source = settings.platform, settings.address
        self._store = HttpStore.from_address(platform, source=source)
        self._vm_list = HttpVmList.from_address(platform, source=source)
        self._clients = PeerClients(self._clock, source_address=settings.address)
        self._holder = ConfigurationHolder(self._event_log)
        self._confirmation = Confirmation(self._clock)
        self._specs = BucketSpecs()
        self._moves = MovePlanner(self._clock)

    def build(self) -> Parts:
        self._membership = self._build_membership()
        self._contacts = Contacts(self._membership, self._clock)
        self._key_trust = KeyTrust(
            self._confirmation, self._contacts, self._settings.key_grace, self._clock
        )
        self._transport = PeerTransport(
            self._membership, self._clients, self._peers_port
        )
        self._scopes = Scopes(
            self._store,
            self._vm_list,
            self._me,
            self._settings.data_centre,
            self._settings.region,
            self._membership,
            self._clock,
            self._event_log,
            on_change=self._follow_ownership,
        )
        self._owner = self._build_owner()
        self._limiter = self._build_limiter()
        self._places = Places(
            self._settings.vm,
            self._settings.data_centre,
            self._settings.region,
            self._owner.load,
            self._scopes,
            self._membership,
            self._clock,
        )
        self._fleet = Fleet(
            self._settings.vm,
            self._places,
            self._owner,
            self._limiter,
            self._membership,
            self._clients,
            self._peers_port,
        )
        self._lookups = JsonLookups(
            self._holder, self._membership, self._scopes, self._specs
        )
        self._sync = ConfigurationSync(
            self._store,
            self._holder,
            self._membership.is_watcher,
            self._clock,
            self._event_log,
            confirmed=self._confirmation.note,
        )
        self._holder.subscribe(self._put_in_force)
        self._holder.subscribe(ChangeEvents(self._event_log).record)
        return self._assemble()

    def _assemble(self) -> Parts:
        dispatcher = self._build_dispatcher()
        keyed = self._build_keyed(dispatcher)
        steering = VmSteering(
            self._me,
            self._holder,
            self._limiter,
            dispatcher,
            keyed,
            self._lookups.look_up,
            leaving=lambda: self._membership.me.leaving,
            keys_confirmed=self._key_trust.holds,
            clock=self._clock,
        )
        return Parts(
            callers_app=CallersApp(steering, self._metrics, self._clock),
            peer_handler=self._build_peer_handler(keyed),
            membership=self._membership,
            scopes=self._scopes,
            holder=self._holder,
            sync=self._sync,
            ownership_reader=OwnershipReader(
                self._store,
                self._scopes.keeper_by_scope,
                self._membership.is_watcher,
                self._clock,
            ),
            registration=VmRegistration(
                self._store,
                self._me,
                self._settings.address,
                self._settings.data_centre,
                lambda: len(self._membership.records()),
                self._clock,
            ),
            limiter=self._limiter,
            owner=self._owner,
            event_log=self._event_log,
            render_metrics=self._metrics.render,
        )

    def _build_membership(self) -> Membership:
        settings = self._settings
        me = Member(
            vm=settings.vm,
            incarnation=self._me.incarnation,
            address=settings.address,
            data_centre=settings.data_centre,
            region=settings.region,
        )
        local = LocalState(
            config_version=lambda: self._holder.head().version,
            ownership_revisions=lambda: self._scopes.revisions(),
            loads=lambda: self._owner.loads(),
            heard_config_version=self._hear_configuration,
            heard_ownership_revision=self._hear_ownership,
            superseded=self._superseded,
            region_of=self._region_of,
            confirmed_ago=self._confirmation.age,
            heard_confirmation=self._confirmation.note,
            quorum_ago=lambda: self._key_trust.quorum_age(),
            contacted=lambda *contact: self._contacts.note(*contact),
        )
        return Membership(
            me,
            MembershipSettings(
                port=self._peers_port, interval=settings.heartbeat_interval
            ),
            ThriftHeartbeats(self._clients),
            self._vm_list,
            self._clock,
            self._hybrid_clock,
            self._event_log,
            local,
            tuple(_endpoint(seed) for seed in settings.seeds),
        )

    def _build_owner(self) -> UpstreamOwner:
        owner_settings = OwnerSettings(
            data_centre=self._settings.data_centre,
            queue=self._settings.queue,
            connections=ConnectionSettings(source_address=self._settings.address),
        )
        return UpstreamOwner(
            owner_settings,
            self._clock,
            self._event_log,
            self._transport.report_suspect,
        )

    def _build_limiter(self) -> Limiter:
        return LIMITERS.find(self._settings.limiter).unwrap()(
            self._me,
            self._settings.data_centre,
            self._scopes.keeper_by_scope,
            self._transport,
            self._specs.find,
            self._clock,
            self._distance,
        )

    def _build_dispatcher(self) -> Dispatcher:
        selection = SELECTIONS.find(self._settings.selection).unwrap()
        return Dispatcher(
            self._settings.region,
            self._fleet,
            selection(random.Random()),
            self._moves,
            self._clock,
        )

    def _build_keyed(self, dispatcher: Dispatcher) -> KeyedRequestRunner:
        me = KeyHolder(self._me.vm, self._me.incarnation)
        return KeyedRequestRunner(
            me,
            ClaimStore(self._store, me, self._clock),
            OutcomeTable(self._clock),
            PeerRelay(self._membership, self._clients, self._peers_port, self._clock),
            dispatcher.dispatch,
            self._clock,
        )

    def _build_peer_handler(self, keyed: KeyedRequestRunner) -> PeerHandler:
        return PeerHandler(
            self._membership,
            self._scopes,
            self._holder,
            self._limiter,
            self._fleet,
            keyed,
            self._owner.quarantine,
            self._event_log,
            self._hybrid_clock,
            self._clock,
        )

    def _put_in_force(self, _former: Configuration, new: Configuration) -> None:
        self._scopes.configure(new)
        self._specs.configure(new)
        self._limiter.configure(self._specs.all())
        self._moves.configure(new)
        self._places.configure(new)
        weights = {name: item.weight for name, item in new.organisations_by_id.items()}
        self._owner.configure(new.services_by_id, weights)
        self._follow_ownership()
        self._metrics.set_configuration_version(new.version)

    def _follow_ownership(self) -> None:
        """Act for exactly the instances that this VM owns."""
        configuration = self._holder.current()
        self._owner.set_owned(self._scopes.owned_instances(configuration))

    def _hear_configuration(self, version: int, vm: VmRecord) -> None:
        self._sync.heard_version(
            version, lambda known: self._transport.fetch_configuration(vm.id, known)
        )

    def _hear_ownership(self, scope: str, _revision: int, vm: VmRecord) -> None:
        keeper = self._scopes.keeper_by_scope.get(scope)
        if keeper is None:
            return
        reply = self._transport.fetch_ownership(vm.id, scope, keeper.revision())
        if isinstance(reply, Success) and reply.unwrap().revision:
            keeper.apply_table(reply.unwrap().revision, reply.unwrap().document)

    def _distance(self, data_centre: str) -> float:
        """Return 0 within the region and 1 elsewhere, for the choice of a shard."""
        return float(self._region_of(data_centre) != self._settings.region)

    def _region_of(self, data_centre: str) -> str | None:
        found = self._holder.current().data_centres_by_id.get(data_centre)
        return found.region if found else None


def _endpoint(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)
