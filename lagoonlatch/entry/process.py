"""The process of an entry VM: start, serve, planned stop."""

from __future__ import annotations

import signal
import sys
from collections.abc import Mapping
from dataclasses import replace

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer
from returns.result import Failure

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.entry.attempts import AttemptRunner
from lagoonlatch.entry.catch_up import CatchUpClient, CatchUpServer
from lagoonlatch.entry.connection import CallerConnection
from lagoonlatch.entry.events import (
    Reloaded,
    ReloadFailed,
    Started,
    Stopped,
    Stopping,
    TaskFailed,
)
from lagoonlatch.entry.exchange import AnswerMemoryLimit
from lagoonlatch.entry.facts import Facts
from lagoonlatch.entry.handling import RequestHandler
from lagoonlatch.entry.http_endpoints import (
    serve_lookups,
    serve_metrics,
    serve_readiness,
)
from lagoonlatch.entry.journal import (
    LineQueue,
    emit,
    start_output,
    write_for_ever,
)
from lagoonlatch.entry.metrics import EntryMetrics
from lagoonlatch.entry.notices import UpstreamNotices
from lagoonlatch.entry.outage import OutageDetector
from lagoonlatch.entry.peers import FAR, NEAR, TELL_INTERVAL, PeerLink
from lagoonlatch.entry.pool import ConnectionPool
from lagoonlatch.entry.probes import Prober
from lagoonlatch.entry.registration import Registration
from lagoonlatch.entry.replica import StoreReplica
from lagoonlatch.entry.slots import SlotClient
from lagoonlatch.entry.sync import StoreSync
from lagoonlatch.exit_codes import ExitCode
from lagoonlatch.logs import configure_logs
from lagoonlatch.platform.endpoint import Endpoint
from lagoonlatch.platform.kv import KeyValueStore
from lagoonlatch.platform.settings_file import VmSettings
from lagoonlatch.steering.admission import Admission
from lagoonlatch.steering.allowances import Allowances
from lagoonlatch.steering.cold_start import ColdStartLimiter
from lagoonlatch.steering.holders import Holders
from lagoonlatch.steering.homes import SlotHomes
from lagoonlatch.steering.lookup import Lookup
from lagoonlatch.steering.model import CallerLimits, TrafficRules, VmRecord
from lagoonlatch.steering.neighbours import Neighbours
from lagoonlatch.steering.peers import PeerTable
from lagoonlatch.steering.placement import Placement
from lagoonlatch.steering.queueing import WaitingQueue
from lagoonlatch.steering.retries import RetryBudget
from lagoonlatch.steering.slots import SlotAllocator
from lagoonlatch.steering.upstreams import UpstreamTable
from lagoonlatch.steering.watchers import Standing, should_watch, watch_timeout
from lagoonlatch.upstreams.quarantine import Quarantine

BACKLOG = 1_024

LINGER: Millis = 3_000.0
"""A leaving VM takes requests for so long, from callers with an older look-up; after
that it only ends those that it has taken."""

DEATH_LIMIT = 3
"""Upstreams that a request may end before it is refused; a common request may be
running at two that end for another reason."""

HELD_PART = 0.25
"""Part of the VM's memory for answers that are not whole yet; the caller's copy and
the process itself need the rest."""

OUTPUT_PATIENCE: Millis = 200.0
"""How long the end of the process waits for the reader of its last lines."""

DRAIN_POLL: Millis = 50.0
"""How often a leaving VM looks whether all is answered."""

END_MARGIN: Millis = 700.0
"""A leaving VM is done so long before it would be killed."""

HOUSEKEEPING: Millis = TELL_INTERVAL
"""Interval of the small regular tasks; one timer for all."""

OFFER_INTERVAL: Millis = 50.0
"""How often waiting requests look again, besides when a slot is offered to them."""


class EntryProcess:
    """Puts the parts of an entry VM together."""

    def __init__(
        self, settings: VmSettings, output: LineQueue, metrics_port: int
    ) -> None:
        self._settings = settings
        self._output = output
        self._metrics_port = metrics_port
        self._metrics = EntryMetrics(settings.vm, settings.data_centre)
        self._clock = Clock()
        self._store = KeyValueStore.from_address(
            settings.store_address, self._metrics.store_called
        )
        self._stop = Event()
        self._connections: set[CallerConnection] = set()
        self._me = VmRecord(
            id=settings.vm,
            data_centre=settings.data_centre,
            caller_address=settings.caller_address,
            peer_address=settings.peer_address,
            run=int(self._clock.wall()),
            is_ready=True,
        )
        self._build()

    @classmethod
    def from_settings(
        cls, settings: VmSettings, output: LineQueue, metrics_port: int = 0
    ) -> EntryProcess:
        """Return the process of the VM that `settings` describe."""
        return cls(settings, output, metrics_port)

    def run(self) -> ExitCode:
        """Serve until a signal asks to stop."""
        gevent.signal_handler(signal.SIGTERM, self._stop.set)
        gevent.signal_handler(signal.SIGINT, self._stop.set)
        gevent.signal_handler(signal.SIGHUP, self._reload)
        emit(Started(first_start=self._settings.is_first_start, run=self._me.run))
        self._spawn(lambda: write_for_ever(self._output))
        self._listen()
        self._peers.listen()
        self._spawn(self._peers.receive)
        self._spawn(self._peers.borrower.borrow_ahead)
        self._news.serve(self._settings.peer_address)
        self._spawn(self._news_reader.run)
        self._spawn(self._sync.run)
        self._spawn(self._registration.run)
        self._spawn(self._keep_house)
        self._spawn(self._offer_slots)
        self._stop.wait()
        self._leave()
        self._output.finish(OUTPUT_PATIENCE)
        return ExitCode.DONE

    def _build(self) -> None:
        settings, clock = self._settings, self._clock
        bounds = settings.bounds
        self._peer_table = PeerTable(clock)
        self._upstream_table = UpstreamTable(settings.region_by_data_centre, clock)
        self._facts = Facts(self._upstream_table, clock)
        self._neighbours = Neighbours(
            self._me,
            settings.region_by_data_centre,
            lambda: self._facts.known_vms_by_id,
            lambda: self._facts.vms_by_id,
            self._peer_table,
            clock,
        )
        outage = self._outage = OutageDetector(
            self._facts.hold_missing_upstreams, clock
        )
        self._replica = StoreReplica(self._facts, clock, outage.outage_is_possible)
        self._sync = StoreSync(
            self._store,
            self._replica,
            bounds.settle_time,
            self._should_watch,
            self._next_wait,
            lambda batch: self._peers.changes.propagate(batch),
            outage,
            clock,
            delay_first_read=settings.is_first_start,
        )
        self._registration = Registration(self._store, self._me, outage, clock)
        self._cold_ramp = ColdStartLimiter(
            settings.vm, lambda: self._facts.vms_by_id, clock
        )
        self._holders = Holders(settings.vm, settings.region)
        self._allowances = Allowances(
            self._holders.share, settings.is_first_start, clock
        )
        quarantine = Quarantine(clock, death_limit=DEATH_LIMIT)
        self._homes = SlotHomes(self._list_homes, settings.region_by_data_centre, clock)
        self._slots = SlotClient(
            self._me.id,
            self._upstream_table,
            SlotAllocator(self._upstream_table.slots_of, clock),
            self._homes,
            lambda vm, datagram: self._peers.send(vm, datagram),
            lambda: self._waiting.offer_slots(),
            clock,
        )
        self._peers = PeerLink(
            self._me,
            self._neighbours,
            self._stop.is_set,
            lambda: self._sync.standing,
            self._replica,
            self._holders,
            self._allowances,
            quarantine,
            self._slots,
            lambda: self._news_reader.note_behind(),
            lambda peer: self._news_reader.call(peer),
            lambda *left: self._wishes.handle_peer_notice(*left),
            outage,
            self._peer_table,
            clock,
        )
        self._news = CatchUpServer(self._replica)
        self._news_reader = CatchUpClient(
            self._replica,
            self._sync,
            self._peers.addresses,
            self._peers.addresses_ahead,
            self._peers.ask,
            clock,
        )
        held = AnswerMemoryLimit(round(settings.memory_bytes * HELD_PART))
        self._pool = ConnectionPool(held, clock)
        self._wishes = UpstreamNotices(
            self._upstream_table, self._pool, self._peers.tell_left
        )
        admission = Admission()
        attempts = AttemptRunner(
            self._upstream_table,
            self._pool,
            Prober(self._facts, held, self._wishes, clock),
            admission,
            quarantine,
            self._peers.tell_suspect,
            self._wishes,
            self._metrics,
            clock,
        )
        placement = Placement(
            self._upstream_table,
            settings.region,
            settings.region_by_data_centre.values(),
            self._cold_ramp.consume,
        )
        self._waiting = WaitingQueue(placement, clock)
        self._handler = RequestHandler(
            self._facts,
            placement,
            admission,
            self._allowances,
            RetryBudget(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window,
                self._count_vms,
                clock,
            ),
            attempts,
            self._waiting,
            self._slots,
            self._peers.borrower.borrow,
            quarantine,
            self._metrics,
            clock,
        )
        self._lookup = Lookup(
            self._ready_vms,
            settings.region_by_data_centre,
            bounds.longest_lookup_ttl,
        )
        self._add_gauges()
        self._facts.on_rules(self._follow_rules)
        self._facts.on_roster(self._follow_roster)
        self._facts.on_vms(self._neighbours.invalidate)
        self._facts.on_upstream_gone(self._pool.drop)

    def _add_gauges(self) -> None:
        add = self._metrics.add_gauge
        add("configuration_version", "Version in force", self._version)
        add("store_revision", "Up to which facts are known", self._revision)
        add("store_failing_milliseconds", "0 if it answers", self._sync.failing_for)
        add(
            "facts_age_milliseconds",
            "Since the facts were last known to be up to date",
            self._facts.age,
        )
        add(
            "store_silent_milliseconds",
            "Since it answered a VM that this one hears of",
            lambda: self._outage.last_success_age() or 0.0,
        )
        add(
            "configuration_revision",
            "Of the store, at which the version in force was written",
            lambda: self._replica.configuration,
        )
        add(
            "upstreams_held",
            "Used though their entries are gone, after an outage",
            self._facts.held_count,
        )
        add("upstreams", "Upstreams known", lambda: len(self._upstream_table.ids()))
        add(
            "upstreams_resting",
            "Want nothing for now",
            self._upstream_table.resting_count,
        )
        add("vms", "VMs that callers may be sent to", lambda: len(self._ready_vms()))
        add("waiting_requests", "Waiting for a slot", lambda: len(self._waiting))
        add("caller_connections", "Open", lambda: len(self._connections))

    def _version(self) -> int:
        return self._facts.rules.version if self._facts.rules is not None else 0

    def _revision(self) -> int:
        return self._replica.revision

    def _follow_rules(self, rules: TrafficRules) -> None:
        self._cold_ramp.configure(rules.services_by_id)
        self._allowances.configure(rules.organisations_by_id)

    def _listen(self) -> None:
        callers = Endpoint.from_address(self._settings.caller_address)
        self._server = StreamServer(callers.pair, self._serve_caller, backlog=BACKLOG)
        self._server.start()
        self._lookups = serve_lookups(self._settings.directory_address, self._lookup)
        self._readiness = serve_readiness(
            self._settings.readiness_address, self._is_ready
        )
        if self._metrics_port:
            serve_metrics(f"{callers.host}:{self._metrics_port}", self._metrics)

    def _serve_caller(self, sock: socket.socket, _address: tuple) -> None:
        connection = CallerConnection(
            sock, self._handler, self._limits, self._stop.is_set, self._clock
        )
        self._connections.add(connection)
        try:
            connection.run()
        finally:
            self._connections.discard(connection)

    def _limits(self) -> CallerLimits:
        rules = self._facts.rules
        return rules.limits if rules is not None else CallerLimits()

    def _is_ready(self) -> bool:
        return self._facts.rules is not None and not self._stop.is_set()

    def _ready_vms(self) -> list[VmRecord]:
        vms = self._neighbours.ready()
        if self._is_ready():
            vms.append(self._me)
        return vms

    def _list_homes(self) -> list[VmRecord]:
        """Return the VMs that may count slots; a leaving one hands over."""
        vms = self._neighbours.ready()
        if not self._stop.is_set():
            vms.append(self._me)
        return sorted(vms, key=lambda vm: vm.id)

    def _should_watch(self) -> bool:
        near = {vm.id for vm in self._neighbours.near}
        standing_by_vm = self._peer_table.standing_by_vm()
        return should_watch(
            self._me.id, {vm: s for vm, s in standing_by_vm.items() if vm in near}
        )

    def _next_wait(self, remove_missing_upstreams: Millis) -> Millis:
        others = [
            vm
            for vm, standing in self._peer_table.standing_by_vm().items()
            if standing is Standing.WATCHES
        ]
        return watch_timeout(
            self._me.id, others, remove_missing_upstreams, self._clock.wall()
        )

    def _follow_roster(self, data_centre_by_vm: Mapping[str, str]) -> None:
        region_of = self._settings.region_by_data_centre.get
        self._holders.set_vms(
            {vm: region_of(where, "") for vm, where in data_centre_by_vm.items()}
        )
        self._allowances.apply_shares()

    def _count_vms(self) -> int:
        return len({*self._facts.roster, self._me.id})

    def _offer_slots(self) -> None:
        """Offer slots that other VMs' requests have left."""
        while True:
            self._handler.wait_for_queued_requests()
            gevent.sleep(OFFER_INTERVAL / MILLIS_PER_SECOND)
            self._waiting.offer_slots()

    def _keep_house(self) -> None:
        while True:
            gevent.sleep(HOUSEKEEPING / MILLIS_PER_SECOND)
            self._facts.remove_missing_upstreams()
            self._pool.prune()
            self._neighbours.expect_heartbeats(
                NEAR.heartbeat_interval(len(self._neighbours.near)),
                FAR.heartbeat_interval(len(self._neighbours.far)),
            )
            self._peers.tell_round()
            self._slots.report_held_slots()
            self._sync.check_watch()

    def _reload(self) -> None:
        read = VmSettings.from_environment()
        if isinstance(read, Failure):
            emit(ReloadFailed(why=read.failure()))
            return
        self._settings = replace(read.unwrap(), is_first_start=False)
        emit(Reloaded(store=self._settings.store_address))

    def _leave(self) -> None:
        """Answer what has been read, send callers elsewhere, then end."""
        started = self._clock.now()
        emit(Stopping(connections=len(self._connections)))
        self._peers.tell_leaving()
        gevent.spawn(self._registration.leave)
        gevent.sleep(LINGER / MILLIS_PER_SECOND)
        self._handler.close()
        self._stop_listening()
        end = started + self._settings.bounds.stop_grace - END_MARGIN
        while self._clock.now() < end:
            for connection in list(self._connections):
                connection.close_if_idle()
            if not self._connections:
                break
            gevent.sleep(DRAIN_POLL / MILLIS_PER_SECOND)
        after = round(self._clock.now() - started)
        emit(Stopped(connections=len(self._connections), after_ms=after))

    def _stop_listening(self) -> None:
        """Refuse new connections at once; callers then go elsewhere."""
        self._server.stop_accepting()
        # Those in the queue would otherwise wait for the end of the process.
        while (accepted := self._server.do_read()) is not None:
            self._server.do_handle(*accepted)
        self._server.close()

    def _spawn(self, task) -> None:
        """Run a task that lasts as long as the process."""
        greenlet = gevent.spawn(task)
        greenlet.link_exception(self._end_broken)

    def _end_broken(self, greenlet: gevent.Greenlet) -> None:
        emit(TaskFailed(why=repr(greenlet.exception)))
        self._output.drain()
        gevent.get_hub().handle_system_error(SystemExit, SystemExit(ExitCode.FAILED))


def entry(*, metrics_port: int = 0) -> int:
    """Run an entry VM on the users' platform.

    The environment variable LAGOONLATCH_CONFIG names the settings file.

    Parameters
    ----------
    metrics_port : int
        Where metrics are served on the VM's address; 0 for nowhere.
    """
    settings = VmSettings.from_environment()
    if isinstance(settings, Failure):
        print(settings.failure(), file=sys.stderr)
        return ExitCode.BAD_INPUT
    vm = settings.unwrap()
    output = start_output()
    configure_logs("json", output=output, vm=vm.vm, data_centre=vm.data_centre)
    return EntryProcess.from_settings(vm, output, metrics_port).run()
