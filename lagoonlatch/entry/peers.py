"""Exchange datagrams with the other entry VMs.

Datagrams carry heartbeats, loans of tokens, claims of slots, changes of the store and
reports of suspect requests and leaving upstreams.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

import gevent
from gevent import socket
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.entry.events import DatagramLost, DatagramUnreadable, NewsTaken
from lagoonlatch.entry.generated.ttypes import (
    Ask,
    Behind,
    Claim,
    Counts,
    Datagram,
    Decline,
    Large,
    Left,
    LimitReport,
    Loan,
    Patch,
    Room,
    Spread,
    Suspect,
    Tell,
    Verdict,
)
from lagoonlatch.entry.generated.ttypes import Batch as WireBatch
from lagoonlatch.entry.generated.ttypes import Crash as WireCrash
from lagoonlatch.entry.journal import emit
from lagoonlatch.entry.loans import Borrower
from lagoonlatch.entry.outage import OutageDetector
from lagoonlatch.entry.propagation import ChangePropagator
from lagoonlatch.entry.replica import StoreReplica
from lagoonlatch.entry.slots import SlotClient
from lagoonlatch.platform.endpoint import Endpoint
from lagoonlatch.steering.allowances import Allowances
from lagoonlatch.steering.crashes import (
    MAX_REFUSAL_TIME,
    MEMORY_TIME,
    Crash,
    CrashQuarantine,
)
from lagoonlatch.steering.demand import DemandTable, decode_demand, encode_demand
from lagoonlatch.steering.holders import Holders
from lagoonlatch.steering.knowledge import Knowledge
from lagoonlatch.steering.lenders import Lenders
from lagoonlatch.steering.model import UpstreamRecord, VmRecord
from lagoonlatch.steering.neighbours import Neighbours
from lagoonlatch.steering.peers import PeerStatus, PeerTable, RoundRobin
from lagoonlatch.steering.watchers import Standing

HEARTBEAT_INTERVAL: Millis = 250.0
"""Interval between rounds of heartbeats. Several fit into the time after which a VM
counts as silent."""

FAR_INTERVAL_ROUNDS = 4
"""Number of rounds between heartbeats to other regions, where bytes cost more."""

NEAR_ROUNDS = RoundRobin(max_peers=4, interval=HEARTBEAT_INTERVAL)
FAR_ROUNDS = RoundRobin(max_peers=8, interval=HEARTBEAT_INTERVAL * FAR_INTERVAL_ROUNDS)
"""Rounds of most VMs, which send at most 24 heartbeats a second."""

WATCHER_NEAR_ROUNDS = RoundRobin(max_peers=32, interval=HEARTBEAT_INTERVAL)
WATCHER_FAR_ROUNDS = RoundRobin(
    max_peers=32, interval=HEARTBEAT_INTERVAL * FAR_INTERVAL_ROUNDS
)
"""Rounds of the few VMs that watch the store, whose silence must be noticed sooner."""

MAX_DATAGRAM_BYTES = 8_192
"""Largest datagram that is read. Datagrams of VMs are far smaller."""

LEAVING_REPORT_VMS = 8
"""Number of VMs to which a leaving upstream is reported. The reports are no more than
the heartbeats of one second, however many upstreams are released together."""

MAX_STORE_AGE_MILLIS = 2**31 - 1
"""Largest age of the store's last answer that the field of a heartbeat can hold."""

DATAGRAMS_BETWEEN_YIELDS = 32
"""Number of datagrams that are read before other tasks run."""

Address = tuple[str, int]


@dataclass(frozen=True)
class Origin:
    """Sender of a datagram, and how the datagram is to be relayed."""

    address: Address
    spread: Spread | None = None


DatagramHandler = Callable[["PeerLink", Any, Origin], None]

_HANDLER_BY_KIND: dict[str, DatagramHandler] = {}
"""Handlers of the kinds of datagrams, by the name of their field in `Datagram`."""

_PROTOCOL = TCompactProtocolAcceleratedFactory()


def _handles(kind: str) -> Callable[[DatagramHandler], DatagramHandler]:
    """Return a decorator that registers the handler of a kind of datagram."""

    def register(handler: DatagramHandler) -> DatagramHandler:
        _HANDLER_BY_KIND[kind] = handler
        return handler

    return register


class PeerLink:
    """Datagram socket of a VM and the handlers of what it receives.

    Parameters
    ----------
    own_record : VmRecord
        Record of this VM.
    neighbours : Neighbours
        Knows the other VMs.
    is_leaving : callable
        Returns whether this VM is leaving.
    standing : callable
        Returns how this VM learns the contents of the store.
    replica : StoreReplica
        Applies changes that other VMs propagate.
    holders : Holders
        Knows which VMs may have tokens to lend.
    slots : SlotClient
        Claims slots, and answers the claims of other VMs.
    on_behind : callable
        Called when another VM has reported later changes.
    on_upstream_leaving : callable
        Called with the id of a leaving upstream, the run that leaves and the reporting
        VM.
    outage_detector : OutageDetector
        Records when the store last answered other VMs.
    on_large_answer : callable
        Called with the address of a VM from which to read missing changes that don't
        fit into datagrams.
    demand_table : DemandTable
        Keeps the demand that other VMs report.

    Attributes
    ----------
    borrower : Borrower
        Asks the other VMs for tokens.
    changes : ChangePropagator
        Propagates changes of the store.
    """

    def __init__(
        self,
        own_record: VmRecord,
        neighbours: Neighbours,
        is_leaving: Callable[[], bool],
        standing: Callable[[], Standing],
        replica: StoreReplica,
        holders: Holders,
        allowances: Allowances,
        quarantine: CrashQuarantine,
        slots: SlotClient,
        on_behind: Callable[[], None],
        on_large_answer: Callable[[str], None],
        on_upstream_leaving: Callable[[str, float, str], None],
        outage_detector: OutageDetector,
        peer_table: PeerTable,
        demand_table: DemandTable,
        clock: Clock,
    ) -> None:
        self._own_record = own_record
        self._neighbours = neighbours
        self._slots = slots
        self._on_behind = on_behind
        self._on_large_answer = on_large_answer
        self._on_upstream_leaving = on_upstream_leaving
        self._outage_detector = outage_detector
        # A random first round keeps VMs that start together from sending their
        # heartbeats to the same VMs at once.
        self._round = random.getrandbits(16)
        self._is_leaving = is_leaving
        self._standing = standing
        self._replica = replica
        self._allowances = allowances
        self._quarantine = quarantine
        self._peer_table = peer_table
        self._demand_table = demand_table
        self._clock = clock
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._address_by_vm: dict[str, tuple[str, int]] = {}
        lenders = Lenders(
            holders, lambda vm: neighbours.find_ready(vm) is not None, clock
        )
        self.borrower = Borrower(
            own_record.id, allowances, holders, lenders, self._send_loan_request, clock
        )
        self.changes = ChangePropagator(
            replica, neighbours, self._send_datagram_to, on_behind
        )

    def bind(self) -> None:
        """Bind the socket to the peer address of this VM."""
        self._sock.bind(Endpoint.from_address(self._own_record.peer_address).pair)

    def list_addresses(self) -> list[str]:
        """Return the peer addresses of VMs that are in the store or send heartbeats."""
        known = [vm.peer_address for vm in self._neighbours.all()]
        alive = filter(self._peer_table.is_alive, self._address_by_vm)
        return list(dict.fromkeys([*known, *map(self._address_of, alive)]))

    def list_addresses_ahead(self, knowledge: Knowledge) -> list[str]:
        """Return addresses of VMs with later changes, those of this region first."""
        ahead = self._peer_table.ahead_of(knowledge)
        near = {vm.id for vm in self._neighbours.near}
        ahead.sort(key=lambda vm: vm not in near)
        return list(map(self._address_of, ahead))

    def send_to_address(self, address: str, datagram: Datagram) -> None:
        """Send a datagram to a VM whose id may not be known."""
        self._send(datagram, Endpoint.from_address(address).pair)

    def send_heartbeats(self) -> None:
        """Send heartbeats to the VMs of this round."""
        near, far = self._neighbours.near, self._neighbours.far
        watches = self._standing() is Standing.WATCHES
        rounds = WATCHER_NEAR_ROUNDS if watches else NEAR_ROUNDS
        self._send_heartbeat_to(
            rounds.select_peers(near, self._round),
            rounds.heartbeat_interval(len(near)),
            self._demand_table.own_demand(),
        )
        if self._round % FAR_INTERVAL_ROUNDS == 0:
            rounds = WATCHER_FAR_ROUNDS if watches else FAR_ROUNDS
            recipients = rounds.select_peers(far, self._round // FAR_INTERVAL_ROUNDS)
            self._send_heartbeat_to(
                recipients,
                rounds.heartbeat_interval(len(far)),
                self._demand_table.region_demand(),
            )
        self._round += 1

    def announce_leaving(self) -> None:
        """Send all other VMs a heartbeat, once this VM is leaving."""
        self._send_heartbeat_to(self._neighbours.all(), HEARTBEAT_INTERVAL)

    def receive(self) -> None:
        """Receive and handle datagrams forever."""
        for number in itertools.count():
            if number % DATAGRAMS_BETWEEN_YIELDS == 0:
                # Other tasks must run even if datagrams arrive faster than they are
                # read.
                gevent.sleep(0)
            try:
                data, address = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                # The socket reports that the port of a peer is closed.
                emit(DatagramLost(peer="", why=str(error)))
                continue
            self.handle(data, address)

    def handle(self, data: bytes, address: Address) -> None:
        """Handle one datagram, and log the error if it can't be handled."""
        try:
            datagram = deserialize(Datagram(), data, _PROTOCOL)
            origin = Origin(address, datagram.spread)
            for kind, message in vars(datagram).items():
                if message is not None and kind in _HANDLER_BY_KIND:
                    _HANDLER_BY_KIND[kind](self, message, origin)
        except Exception as error:
            # All exceptions are caught: the bytes are no valid datagram of a peer, and
            # an invalid datagram must not end the VM.
            emit(DatagramUnreadable(source=address[0], why=repr(error)))

    @_handles("tell")
    def _handle_tell(self, tell: Tell, origin: Origin) -> None:
        status = _decode_tell(tell)
        self._address_by_vm[tell.vm] = origin.address
        self._peer_table.update(status)
        self._demand_table.update(tell.vm, decode_demand(tell.demand))
        if tell.store_age is not None:
            self._outage_detector.note_peer_success(float(tell.store_age))
        if status.is_leaving:
            self._neighbours.invalidate()
        if status.standing is Standing.WATCHES:
            self._replica.note_latest(status.knowledge)
        if self._replica.knowledge.lacks(status.knowledge):
            self._on_behind()

    @_handles("ask")
    def _handle_ask(self, ask: Ask, origin: Origin) -> None:
        lent = self._allowances.lend(
            ask.organisation, ask.tokens, bool(ask.for_callers)
        )
        lendable = self._allowances.lendable(ask.organisation)
        loan = Loan(ask.number, ask.organisation, lent, lendable)
        self._send(Datagram(loan=loan), origin.address)

    @_handles("loan")
    def _handle_loan(self, loan: Loan, _origin: Origin) -> None:
        self.borrower.handle_loan(loan.number, loan.tokens, loan.left)

    @_handles("batch")
    def _handle_batch(self, batch: WireBatch, origin: Origin) -> None:
        with self._log_received_changes(origin):
            self.changes.handle_batch(batch, origin.spread)

    @_handles("patch")
    def _handle_patch(self, patch: Patch, origin: Origin) -> None:
        with self._log_received_changes(origin):
            self.changes.handle_patch(patch, origin.spread)

    @contextmanager
    def _log_received_changes(self, origin: Origin) -> Iterator[None]:
        """Log changes that a VM has sent as an answer, unless they were known."""
        known = self._replica.knowledge
        yield
        if origin.spread is None and known != self._replica.knowledge:
            emit(NewsTaken(peer=origin.address[0], revision=self._replica.revision))

    @_handles("behind")
    def _handle_behind(self, behind: Behind, origin: Origin) -> None:
        for datagram in self.changes.answer(behind):
            self._send(datagram, origin.address)

    @_handles("large")
    def _handle_large(self, _large: Large, origin: Origin) -> None:
        host, port = origin.address
        self._on_large_answer(f"{host}:{port}")

    @_handles("suspect")
    def _handle_suspect(self, suspect: Suspect, _origin: Origin) -> None:
        if suspect.cleared:
            self._quarantine.clear(suspect.fingerprint)
            return
        now = self._clock.now()
        crashes = [_decode_crash(crash, now) for crash in suspect.crashes or ()]
        # A VM of an earlier build may count one crash several times.
        unnamed = Crash(upstream="", born=0.0, sent_at=now, ended_at=now)
        self._quarantine.add(suspect.fingerprint, crashes or [unnamed])

    @_handles("claim")
    def _handle_claim(self, claim: Claim, origin: Origin) -> None:
        self._send(Datagram(verdict=self._slots.answer_claim(claim)), origin.address)

    @_handles("verdict")
    def _handle_verdict(self, verdict: Verdict, _origin: Origin) -> None:
        self._slots.handle_verdict(verdict)

    @_handles("counts")
    def _handle_counts(self, counts: Counts, _origin: Origin) -> None:
        self._slots.handle_counts(counts)

    @_handles("decline")
    def _handle_decline(self, decline: Decline, _origin: Origin) -> None:
        self._slots.handle_decline(decline)

    @_handles("room")
    def _handle_room(self, room: Room, _origin: Origin) -> None:
        self._slots.handle_offer(room)

    @_handles("limit_report")
    def _handle_limit_report(self, report: LimitReport, _origin: Origin) -> None:
        self._slots.handle_limit_report(report)

    @_handles("left")
    def _handle_left(self, left: Left, _origin: Origin) -> None:
        self._on_upstream_leaving(left.upstream, float(left.born), left.vm)

    def report_leaving_upstream(self, upstream: UpstreamRecord) -> None:
        """Report to some VMs of this region that an upstream is leaving.

        The change of the store reaches all VMs soon afterwards.
        """
        near = list(self._neighbours.near)
        recipients = random.sample(near, min(LEAVING_REPORT_VMS, len(near)))
        left = Left(upstream.id, upstream.born, self._own_record.id)
        self._send_bytes_to(recipients, serialize(Datagram(left=left), _PROTOCOL))

    def report_suspect(self, fingerprint: str) -> None:
        """Report to all other VMs the crashes that a request may have caused.

        A request without any is reported as cleared.
        """
        now = self._clock.now()
        crashes = self._quarantine.crashes(fingerprint)
        suspect = Suspect(
            fingerprint=fingerprint,
            deaths=self._quarantine.count(fingerprint),
            duration=self._quarantine.refused_for(fingerprint) or MAX_REFUSAL_TIME,
            crashes=[
                WireCrash(
                    upstream=crash.upstream,
                    born=crash.born,
                    sent_age=now - crash.sent_at,
                    ended_age=now - crash.ended_at,
                )
                for crash in crashes
            ],
            cleared=not crashes,
        )
        data = serialize(Datagram(suspect=suspect), _PROTOCOL)
        self._send_bytes_to(self._neighbours.all(), data)

    def send(self, vm: VmRecord, datagram: Datagram) -> None:
        """Send a datagram to one VM."""
        self._send(datagram, Endpoint.from_address(vm.peer_address).pair)

    def _address_of(self, vm: str) -> str:
        host, port = self._address_by_vm[vm]
        return f"{host}:{port}"

    def _send_heartbeat_to(
        self,
        peers: Sequence[VmRecord],
        interval: Millis,
        demand_by_service: Mapping[str, float] | None = None,
    ) -> None:
        if not peers:
            return
        store_age = self._outage_detector.last_success_age()
        tell = Tell(
            vm=self._own_record.id,
            run=self._own_record.run,
            leaving=self._is_leaving(),
            revision=self._replica.revision,
            configuration=self._replica.configuration_revision,
            era=self._replica.era,
            version=self._replica.configuration_version,
            standing=int(self._standing()),
            interval=round(interval),
            store_age=None
            if store_age is None
            else min(round(store_age), MAX_STORE_AGE_MILLIS),
            demand=encode_demand(demand_by_service),
        )
        self._send_bytes_to(peers, serialize(Datagram(tell=tell), _PROTOCOL))

    def _send_loan_request(self, vm: str, ask: Ask) -> None:
        record = self._neighbours.find_ready(vm)
        if record is not None:
            self.send(record, Datagram(ask=ask))

    def _send_datagram_to(self, vms: Iterable[VmRecord], datagram: Datagram) -> None:
        self._send_bytes_to(vms, serialize(datagram, _PROTOCOL))

    def _send_bytes_to(self, peers: Iterable[VmRecord], data: bytes) -> None:
        for peer in peers:
            address = Endpoint.from_address(peer.peer_address).pair
            self._address_by_vm[peer.id] = address
            self._send_bytes(data, address)

    def _send(self, datagram: Datagram, address: tuple[str, int]) -> None:
        self._send_bytes(serialize(datagram, _PROTOCOL), address)

    def _send_bytes(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            self._sock.sendto(data, address)
        except OSError as error:
            emit(DatagramLost(peer=address[0], why=str(error)))


def _decode_crash(crash: WireCrash, now: Millis) -> Crash:
    return Crash(
        upstream=crash.upstream,
        born=crash.born,
        sent_at=now - min(max(0.0, crash.sent_age), MEMORY_TIME),
        ended_at=now - min(max(0.0, crash.ended_age), MEMORY_TIME),
    )


def _decode_tell(tell: Tell) -> PeerStatus:
    standing = Standing(tell.standing or 0)
    knowledge = Knowledge(
        era=tell.era or 0, revision=tell.revision or 0, version=tell.version or 0
    )
    if tell.era is None:
        # A VM of an earlier build: its revision can't be compared, so that its changes
        # aren't used and it can't replace a VM that watches.
        knowledge = Knowledge()
        standing = Standing.LISTENS if standing is Standing.WATCHES else standing
    return PeerStatus(
        vm=tell.vm,
        run=tell.run,
        is_leaving=tell.leaving,
        knowledge=knowledge,
        standing=standing,
        interval=float(tell.interval or 0),
    )
