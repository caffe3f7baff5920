"""Run the process of an entry VM from its start to its planned stop."""

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
from lagoonlatch.entry.answer_memory import AnswerMemoryLimit
from lagoonlatch.entry.attempts import AttemptRunner
from lagoonlatch.entry.body_memory import BodyMemoryLimit
from lagoonlatch.entry.catch_up import CatchUpClient, CatchUpServer
from lagoonlatch.entry.connection import CallerConnection
from lagoonlatch.entry.events import (
    Reloaded,
    ReloadFailed,
    Started,
    Stopped,
    Stopping,
    StoreEraOdd,
    TaskFailed,
)
from lagoonlatch.entry.facts import Facts
from lagoonlatch.entry.handling import UNREADY_RETRY_DELAY, RequestHandler
from lagoonlatch.entry.http_endpoints import (
    serve_lookups,
    serve_metrics,
    serve_readiness,
)
from lagoonlatch.entry.journal import (
    LineQueue,
    emit,
    start_output,
    write_lines_forever,
)
from lagoonlatch.entry.metrics import EntryMetrics
from lagoonlatch.entry.notices import UpstreamNotices
from lagoonlatch.entry.outage import OutageDetector
from lagoonlatch.entry.peers import (
    FAR_ROUNDS,
    HEARTBEAT_INTERVAL,
    NEAR_ROUNDS,
    PeerLink,
)
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
from lagoonlatch.platform.operator_keys import EVACUATION_PREFIX
from lagoonlatch.platform.registrations import ROSTER_PREFIX, VM_PREFIX
from lagoonlatch.platform.settings_file import VmSettings
from lagoonlatch.steering.admission import Admission
from lagoonlatch.steering.allowances import Allowances
from lagoonlatch.steering.cold_start import ColdStartLimiter
from lagoonlatch.steering.crashes import CrashQuarantine
from lagoonlatch.steering.explanation import PlacementExplainer
from lagoonlatch.steering.holders import Holders
from lagoonlatch.steering.homes import SlotHomes
from lagoonlatch.steering.lookup import Lookup
from lagoonlatch.steering.model import CallerLimits, TrafficRules, VmRecord
from lagoonlatch.steering.neighbours import Neighbours
from lagoonlatch.steering.peers import PeerTable
from lagoonlatch.steering.placement import Placement
from lagoonlatch.steering.queueing import WaitingQueue
from lagoonlatch.steering.rate_authority import RateAuthority
from lagoonlatch.steering.rate_limits import UpstreamRateLimiter
from lagoonlatch.steering.retries import RetryBudget
from lagoonlatch.steering.slots import SlotAllocator
from lagoonlatch.steering.upstreams import UpstreamTable
from lagoonlatch.steering.watchers import Standing, should_watch, watch_timeout

BACKLOG = 1_024

ACCEPT_WHILE_LEAVING: Millis = 3_000.0
"""How long a leaving VM accepts requests, since callers may still use an older look-up.
Afterwards it only finishes the requests that it has accepted."""

ANSWER_MEMORY_FRACTION = 0.25
"""Fraction of the VM's memory for answers that are read or not yet written. Answers may
use twice as much for a short time, and the process itself needs the rest."""

OUTPUT_TIMEOUT: Millis = 200.0
"""How long an ending process waits until its last log lines are read."""

DRAIN_POLL_INTERVAL: Millis = 50.0
"""How often a leaving VM checks whether all requests are answered."""

STOP_MARGIN: Millis = 700.0
"""A leaving VM finishes this long before it would be killed."""

ANSWER_MARGIN: Millis = 100.0
"""Requests that a leaving VM accepts are given up this long before it ends, so that
their callers get an answer."""

PERIODIC_TASKS_INTERVAL: Millis = HEARTBEAT_INTERVAL
"""Interval of the short periodic tasks, which share one timer."""

MAX_LOGGED_ERA = 40
"""Number of characters of an unreadable era that are logged."""

OFFER_INTERVAL: Millis = 50.0
"""How often free slots are offered to waiting requests, in addition to the offers made
when a slot becomes free."""


class EntryProcess:
    """Create and connect the components of an entry VM."""

    def __init__(
        self, settings: VmSettings, output: LineQueue, metrics_port: int
    ) -> None:
        self._settings = settings
        self._output = output
        self._metrics_port = metrics_port
        self._metrics = EntryMetrics(settings.vm, settings.data_centre)
        self._clock = Clock()
        self._store = KeyValueStore.from_address(
            settings.store_address, self._metrics.store_called, self._report_odd_era
        )
        self._stop_requested = Event()
        self._connections: set[CallerConnection] = set()
        self._own_record = VmRecord(
            id=settings.vm,
            data_centre=settings.data_centre,
            caller_address=settings.caller_address,
            peer_address=settings.peer_address,
            run=int(self._clock.wall()),
            is_ready=True,
        )
        self._create_components()

    @classmethod
    def from_settings(
        cls, settings: VmSettings, output: LineQueue, metrics_port: int = 0
    ) -> EntryProcess:
        """Return the process of the VM that `settings` describes."""
        return cls(settings, output, metrics_port)

    def run(self) -> ExitCode:
        """Serve until SIGTERM or SIGINT is received."""
        gevent.signal_handler(signal.SIGTERM, self._stop_requested.set)
        gevent.signal_handler(signal.SIGINT, self._stop_requested.set)
        gevent.signal_handler(signal.SIGHUP, self._reload)
        emit(
            Started(first_start=self._settings.is_first_start, run=self._own_record.run)
        )
        self._spawn_task(lambda: write_lines_forever(self._output))
        self._listen()
        self._peers.bind()
        self._spawn_task(self._peers.receive)
        self._spawn_task(self._peers.borrower.borrow_ahead)
        self._catch_up_server.serve(self._settings.peer_address)
        self._spawn_task(self._catch_up_client.run)
        self._spawn_task(self._sync.run)
        self._spawn_task(self._registration.run)
        self._spawn_task(self._run_periodic_tasks)
        self._spawn_task(self._offer_freed_slots)
        self._stop_requested.wait()
        self._leave()
        self._output.finish(OUTPUT_TIMEOUT)
        return ExitCode.DONE

    def _create_components(self) -> None:
        settings, clock = self._settings, self._clock
        bounds = settings.bounds
        self._peer_table = PeerTable(clock)
        self._upstream_table = UpstreamTable(settings.region_by_data_centre, clock)
        self._facts = Facts(self._upstream_table, clock)
        self._neighbours = Neighbours(
            self._own_record,
            settings.region_by_data_centre,
            lambda: self._facts.known_vms_by_id,
            lambda: self._facts.vms_by_id,
            self._peer_table,
            clock,
        )
        outage_detector = self._outage_detector = OutageDetector(
            self._facts.hold_missing_upstreams, clock
        )
        self._replica = StoreReplica(
            self._facts, clock, outage_detector.is_outage_possible
        )
        self._sync = StoreSync(
            self._store,
            self._replica,
            bounds.settle_time,
            self._should_watch,
            self._next_watch_wait,
            lambda batch: self._peers.changes.propagate(batch),
            outage_detector,
            clock,
            delay_first_read=settings.is_first_start,
        )
        self._registration = Registration(
            self._store,
            self._own_record,
            self._is_listed,
            self._configuration_version,
            outage_detector,
            clock,
        )
        self._cold_start_limiter = ColdStartLimiter(
            settings.vm,
            lambda: [vm.id for vm in self._neighbours.all()],
            lambda: self._facts.roster,
            self._facts.may_miss_vms,
            clock,
        )
        self._holders = Holders(settings.vm, settings.region)
        self._allowances = Allowances(
            self._holders.share, settings.is_first_start, clock
        )
        quarantine = CrashQuarantine(
            clock,
            settings.vm,
            lambda: [vm.id for vm in self._neighbours.all()],
        )
        self._slot_homes = SlotHomes(
            self._list_slot_homes, settings.region_by_data_centre, clock
        )
        self._rate_authority = RateAuthority(
            self._own_record,
            lambda: self._facts.vms_by_id,
            self._facts.vms_without_entry_at_start,
            settings.region_by_data_centre,
            self._facts.age,
            self._stop_requested.is_set,
            clock,
        )
        limiter = UpstreamRateLimiter(self._granted_fraction, clock)
        self._slots = SlotClient(
            self._own_record.id,
            self._upstream_table,
            SlotAllocator(self._upstream_table.slots_of, limiter, clock),
            limiter,
            self._slot_homes,
            lambda vm, datagram: self._peers.send(vm, datagram),
            lambda: self._waiting_queue.offer_slots(),
            clock,
        )
        self._peers = PeerLink(
            self._own_record,
            self._neighbours,
            self._stop_requested.is_set,
            lambda: self._sync.standing,
            self._replica,
            self._holders,
            self._allowances,
            quarantine,
            self._slots,
            lambda: self._catch_up_client.note_behind(),
            lambda peer: self._catch_up_client.call(peer),
            lambda *notice: self._notices.handle_peer_notice(*notice),
            outage_detector,
            self._peer_table,
            clock,
        )
        self._catch_up_server = CatchUpServer(self._replica)
        self._catch_up_client = CatchUpClient(
            self._replica,
            self._sync,
            self._peers.list_addresses,
            self._peers.list_addresses_ahead,
            self._peers.send_to_address,
            clock,
        )
        answer_memory_limit = self._answer_memory_limit = AnswerMemoryLimit(
            round(settings.memory_bytes * ANSWER_MEMORY_FRACTION), clock
        )
        self._body_memory_limit = BodyMemoryLimit.from_vm_memory(
            settings.memory_bytes, clock
        )
        self._pool = ConnectionPool(answer_memory_limit, clock)
        self._notices = UpstreamNotices(
            self._upstream_table,
            self._pool,
            self._peers.report_leaving_upstream,
            self._slots.report_limit,
        )
        prober = Prober(
            self._facts,
            answer_memory_limit,
            self._notices,
            self._slots.claim_check,
            clock,
        )
        admission = Admission()
        attempts = AttemptRunner(
            self._upstream_table,
            self._pool,
            prober,
            admission,
            quarantine,
            self._peers.report_suspect,
            self._notices,
            self._metrics,
            clock,
        )
        placement = Placement(
            self._upstream_table,
            settings.region,
            settings.region_by_data_centre.values(),
            self._cold_start_limiter.consume,
        )
        self._explainer = PlacementExplainer(
            settings.vm,
            lambda: self._facts.rules,
            self._upstream_table,
            placement,
            admission,
            self._allowances,
            self._cold_start_limiter,
            UNREADY_RETRY_DELAY,
        )
        self._waiting_queue = WaitingQueue(placement, clock)
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
            self._waiting_queue,
            self._slots,
            self._peers.borrower.borrow,
            quarantine,
            answer_memory_limit,
            self._metrics,
            clock,
            self._peers.report_suspect,
        )
        self._lookup = Lookup(
            self._ready_vms,
            settings.region_by_data_centre,
            bounds.longest_lookup_ttl,
        )
        self._add_gauges()
        self._facts.add_rules_listener(self._apply_rules)
        self._facts.add_roster_listener(self._apply_roster)
        self._facts.add_vm_listener(self._neighbours.invalidate)
        self._facts.add_vm_listener(self._rate_authority.note_vms_changed)
        self._facts.add_upstream_gone_listener(self._pool.drop)

    def _add_gauges(self) -> None:
        add = self._metrics.add_gauge
        add("configuration_version", "Version in force", self._configuration_version)
        add("store_revision", "Up to which facts are known", self._store_revision)
        add(
            "store_era",
            "Number of the store's restores up to which facts are known",
            lambda: self._replica.era,
        )
        add(
            "vms_held",
            "In force though the restored store lacks their entries",
            lambda: self._facts.missing_count(VM_PREFIX),
        )
        add(
            "roster_held",
            "VMs in the roster though the restored store lacks their lines",
            lambda: self._facts.missing_count(ROSTER_PREFIX),
        )
        add(
            "evacuations_held",
            "In force though the restored store lacks them",
            lambda: self._facts.missing_count(EVACUATION_PREFIX),
        )
        add(
            "entries_older",
            "Entries of the restored store that are ignored as older",
            self._facts.older_count,
        )
        add("store_failing_milliseconds", "0 if it answers", self._sync.failing_for)
        add(
            "facts_age_milliseconds",
            "Since the facts were last known to be up to date",
            self._facts.age,
        )
        add(
            "store_silent_milliseconds",
            "Since it answered a VM that this one hears of",
            lambda: self._outage_detector.last_success_age() or 0.0,
        )
        add(
            "configuration_revision",
            "Of the store, at which the version in force was written",
            lambda: self._replica.configuration_revision,
        )
        add(
            "upstreams_held",
            "Used though their entries are gone, after an outage",
            self._facts.held_count,
        )
        add(
            "entries_odd",
            "Entries of the store that can't be read or applied",
            self._facts.odd_count,
        )
        add("upstreams", "Upstreams known", lambda: len(self._upstream_table.ids()))
        add(
            "upstreams_resting",
            "Want nothing for now",
            self._upstream_table.resting_count,
        )
        add(
            "upstreams_limited",
            "Have named a rate limit",
            self._upstream_table.limited_count,
        )
        add("vms", "VMs that callers may be sent to", lambda: len(self._ready_vms()))
        add("waiting_requests", "Waiting for a slot", lambda: len(self._waiting_queue))
        add("caller_connections", "Open", lambda: len(self._connections))
        add(
            "answer_bytes",
            "Of answers that are read or not yet written",
            lambda: self._answer_memory_limit.used_bytes,
        )
        add(
            "body_bytes",
            "For request bodies and what their connections use",
            lambda: self._body_memory_limit.used_bytes,
        )

    def _report_odd_era(self, text: str) -> None:
        self._metrics.odd_era_received()
        emit(StoreEraOdd(era=text[:MAX_LOGGED_ERA]))

    def _is_listed(self) -> bool:
        """Return whether the store shows the entry of this process."""
        entry = self._facts.vms_by_id.get(self._own_record.id)
        return entry is not None and entry.run == self._own_record.run

    def _configuration_version(self) -> int:
        return self._facts.rules.version if self._facts.rules is not None else 0

    def _store_revision(self) -> int:
        return self._replica.revision

    def _apply_rules(self, rules: TrafficRules) -> None:
        self._cold_start_limiter.configure(rules.services_by_id)
        self._allowances.configure(rules.organisations_by_id)

    def _listen(self) -> None:
        callers = Endpoint.from_address(self._settings.caller_address)
        self._caller_server = StreamServer(
            callers.pair, self._serve_caller, backlog=BACKLOG
        )
        self._caller_server.start()
        self._lookup_server = serve_lookups(
            self._settings.directory_address, self._lookup
        )
        self._readiness_server = serve_readiness(
            self._settings.readiness_address, self._is_ready
        )
        if self._metrics_port:
            address = f"{callers.host}:{self._metrics_port}"
            serve_metrics(address, self._metrics, self._explainer)

    def _serve_caller(self, sock: socket.socket, _address: tuple) -> None:
        connection = CallerConnection(
            sock,
            self._handler,
            self._caller_limits,
            self._stop_requested.is_set,
            self._answer_memory_limit,
            self._body_memory_limit,
            self._clock,
        )
        self._connections.add(connection)
        try:
            connection.run()
        finally:
            self._connections.discard(connection)

    def _caller_limits(self) -> CallerLimits:
        rules = self._facts.rules
        return rules.limits if rules is not None else CallerLimits()

    def _is_ready(self) -> bool:
        return self._facts.rules is not None and not self._stop_requested.is_set()

    def _ready_vms(self) -> list[VmRecord]:
        vms = self._neighbours.ready()
        if self._is_ready():
            vms.append(self._own_record)
        return vms

    def _granted_fraction(self, upstream_id: str) -> float:
        """Return the fraction of an upstream's limit that this VM may grant."""
        state = self._upstream_table.find(upstream_id)
        if state is None:
            return 0.0
        return self._rate_authority.fraction(upstream_id, state.record.data_centre)

    def _list_slot_homes(self) -> list[VmRecord]:
        """Return the VMs that may count slots, which a leaving VM may not."""
        vms = self._neighbours.ready()
        if not self._stop_requested.is_set():
            vms.append(self._own_record)
        return sorted(vms, key=lambda vm: vm.id)

    def _should_watch(self) -> bool:
        near_ids = {vm.id for vm in self._neighbours.near}
        standing_by_vm = self._peer_table.standing_by_vm()
        return should_watch(
            self._own_record.id,
            {vm: standing for vm, standing in standing_by_vm.items() if vm in near_ids},
        )

    def _next_watch_wait(self, settle_time: Millis) -> Millis:
        others = [
            vm
            for vm, standing in self._peer_table.standing_by_vm().items()
            if standing is Standing.WATCHES
        ]
        return watch_timeout(
            self._own_record.id, others, settle_time, self._clock.wall()
        )

    def _apply_roster(self, data_centre_by_vm: Mapping[str, str]) -> None:
        region_of = self._settings.region_by_data_centre.get
        self._holders.set_vms(
            {vm: region_of(name, "") for vm, name in data_centre_by_vm.items()}
        )
        self._allowances.apply_shares()

    def _count_vms(self) -> int:
        return len({*self._facts.roster, self._own_record.id})

    def _offer_freed_slots(self) -> None:
        """Offer slots that requests of other VMs no longer use."""
        while True:
            self._handler.wait_for_queued_requests()
            gevent.sleep(OFFER_INTERVAL / MILLIS_PER_SECOND)
            self._waiting_queue.offer_slots()

    def _run_periodic_tasks(self) -> None:
        while True:
            gevent.sleep(PERIODIC_TASKS_INTERVAL / MILLIS_PER_SECOND)
            self._replica.settle()
            self._pool.prune()
            self._neighbours.expect_heartbeats(
                NEAR_ROUNDS.heartbeat_interval(len(self._neighbours.near)),
                FAR_ROUNDS.heartbeat_interval(len(self._neighbours.far)),
            )
            self._peers.send_heartbeats()
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
        """Leave the directory, answer the accepted requests and close connections."""
        started = self._clock.now()
        end = started + self._settings.bounds.stop_grace - STOP_MARGIN
        self._handler.set_end(end - ANSWER_MARGIN)
        emit(Stopping(connections=len(self._connections)))
        self._peers.announce_leaving()
        gevent.spawn(self._registration.deregister)
        gevent.sleep(ACCEPT_WHILE_LEAVING / MILLIS_PER_SECOND)
        self._handler.close()
        self._stop_listening()
        while self._clock.now() < end:
            for connection in list(self._connections):
                connection.close_if_idle()
            if not self._connections:
                break
            gevent.sleep(DRAIN_POLL_INTERVAL / MILLIS_PER_SECOND)
        duration = round(self._clock.now() - started)
        emit(Stopped(connections=len(self._connections), after_ms=duration))

    def _stop_listening(self) -> None:
        """Refuse new connections at once, so that callers use other VMs."""
        self._caller_server.stop_accepting()
        # Connections in the backlog would otherwise wait until the process ends.
        while (accepted := self._caller_server.do_read()) is not None:
            self._caller_server.do_handle(*accepted)
        self._caller_server.close()

    def _spawn_task(self, task) -> None:
        """Run a task that must last as long as the process."""
        greenlet = gevent.spawn(task)
        greenlet.link_exception(self._exit_after_task_failure)

    def _exit_after_task_failure(self, greenlet: gevent.Greenlet) -> None:
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
