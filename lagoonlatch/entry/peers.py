"""Datagrams between the entry VMs: presence, tokens, slots, news, suspects."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterable, Iterator, Sequence
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
    Loan,
    Patch,
    Room,
    Spread,
    Suspect,
    Tell,
    Verdict,
)
from lagoonlatch.entry.generated.ttypes import Batch as WireBatch
from lagoonlatch.entry.journal import emit
from lagoonlatch.entry.loans import Borrower
from lagoonlatch.entry.outage import OutageDetector
from lagoonlatch.entry.propagation import ChangePropagator
from lagoonlatch.entry.replica import StoreReplica
from lagoonlatch.entry.slots import SlotClient
from lagoonlatch.platform.endpoint import Endpoint
from lagoonlatch.steering.allowances import Allowances
from lagoonlatch.steering.holders import Holders
from lagoonlatch.steering.lenders import Lenders
from lagoonlatch.steering.model import UpstreamRecord, VmRecord
from lagoonlatch.steering.neighbours import Neighbours
from lagoonlatch.steering.peers import PeerStatus, PeerTable, RoundRobin
from lagoonlatch.steering.watchers import Standing
from lagoonlatch.upstreams.quarantine import Quarantine, SuspectReport

TELL_INTERVAL: Millis = 250.0
"""Between rounds of tells; several fit into the time after which a VM counts as
silent."""

FAR_EVERY = 4
"""VMs of other regions are told every so many rounds; their bytes cost more."""

NEAR = RoundRobin(max_peers=4, interval=TELL_INTERVAL)
FAR = RoundRobin(max_peers=8, interval=TELL_INTERVAL * FAR_EVERY)
"""Rounds of most VMs, within 24 datagrams a second."""

WATCHER_NEAR = RoundRobin(max_peers=32, interval=TELL_INTERVAL)
WATCHER_FAR = RoundRobin(max_peers=32, interval=TELL_INTERVAL * FAR_EVERY)
"""Rounds of the few VMs that follow the store, whose silence must be seen sooner."""

MAX_DATAGRAM_BYTES = 8_192
"""Largest datagram that is read; what VMs tell stays far below."""

LEFT_TOLD = 8
"""VMs that are told of an upstream that leaves; a second's tells at most, however many
upstreams are released together."""

MOST_AGE = 2**31 - 1
"""Largest age that is told, in milliseconds; the field's size."""

TAKEN_AT_ONCE = 32
"""Datagrams that are taken before other tasks have their turn."""

Address = tuple[str, int]


@dataclass(frozen=True)
class Origin:
    """Where a datagram came from, and how it is to be passed on."""

    address: Address
    spread: Spread | None = None


Taker = Callable[["PeerLink", Any, Origin], None]

_TAKER_BY_KIND: dict[str, Taker] = {}
"""What takes in each kind of datagram, by the name of its field."""

_PROTOCOL = TCompactProtocolAcceleratedFactory()


def _takes(kind: str) -> Callable[[Taker], Taker]:
    """Register a method that takes in datagrams of a kind."""

    def register(taker: Taker) -> Taker:
        _TAKER_BY_KIND[kind] = taker
        return taker

    return register


class PeerLink:
    """The datagram socket of a VM.

    Parameters
    ----------
    me : VmRecord
        This VM.
    neighbours : Neighbours
        The other VMs.
    is_leaving : callable
        Returns whether this VM leaves.
    standing : callable
        Returns how this VM learns what the store holds.
    replica : StoreReading
        Takes in what other VMs pass on.
    holders : Holders
        Who may have tokens to lend.
    slots : SlotClient
        Claims slots, and answers the claims of others.
    on_behind : callable
        Is called when another VM knows later changes.
    on_left : callable
        Is called with an upstream, its run and the VM that says that it leaves.
    outage : OutageMeter
        Is told when the store last answered other VMs.
    on_large : callable
        Is called with the address of a VM from which to read what is missing.

    Attributes
    ----------
    borrower : Borrower
        Asks the other VMs for tokens.
    changes : ChangePasser
        Passes changes of the store on.
    """

    def __init__(
        self,
        me: VmRecord,
        neighbours: Neighbours,
        is_leaving: Callable[[], bool],
        standing: Callable[[], Standing],
        replica: StoreReplica,
        holders: Holders,
        allowances: Allowances,
        quarantine: Quarantine,
        slots: SlotClient,
        on_behind: Callable[[], None],
        on_large: Callable[[str], None],
        on_left: Callable[[str, float, str], None],
        outage: OutageDetector,
        table: PeerTable,
        clock: Clock,
    ) -> None:
        self._me = me
        self._neighbours = neighbours
        self._slots = slots
        self._on_behind = on_behind
        self._on_large = on_large
        self._on_left = on_left
        self._outage = outage
        # VMs that start together would otherwise all tell the same ones at once.
        self._turn = random.getrandbits(16)
        self._is_leaving = is_leaving
        self._standing = standing
        self._replica = replica
        self._allowances = allowances
        self._quarantine = quarantine
        self._table = table
        self._clock = clock
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._address_by_vm: dict[str, tuple[str, int]] = {}
        lenders = Lenders(
            holders, lambda vm: neighbours.find_ready(vm) is not None, clock
        )
        self.borrower = Borrower(
            me.id, allowances, holders, lenders, self._send_ask, clock
        )
        self.changes = ChangePropagator(
            replica, neighbours, self._send_to_all, on_behind
        )

    def listen(self) -> None:
        """Take the VM's port."""
        self._sock.bind(Endpoint.from_address(self._me.peer_address).pair)

    def addresses(self) -> list[str]:
        """Return where other VMs listen: those known from the store or heard."""
        known = [vm.peer_address for vm in self._neighbours.all()]
        heard = filter(self._table.is_alive, self._address_by_vm)
        return list(dict.fromkeys([*known, *map(self._address_of, heard)]))

    def addresses_ahead(self, revision: int, configuration: int) -> list[str]:
        """Return where VMs listen that know more, those of this region first."""
        ahead = self._table.ahead_of(revision, configuration)
        near = {vm.id for vm in self._neighbours.near}
        ahead.sort(key=lambda vm: vm not in near)
        return list(map(self._address_of, ahead))

    def ask(self, address: str, datagram: Datagram) -> None:
        """Send a question to a VM that may not be known by name."""
        self._send(datagram, Endpoint.from_address(address).pair)

    def tell_round(self) -> None:
        """Tell the VMs whose turn it is."""
        near, far = self._neighbours.near, self._neighbours.far
        watches = self._standing() is Standing.WATCHES
        rounds = WATCHER_NEAR if watches else NEAR
        self._tell_peers(
            rounds.select_peers(near, self._turn), rounds.heartbeat_interval(len(near))
        )
        if self._turn % FAR_EVERY == 0:
            rounds = WATCHER_FAR if watches else FAR
            told = rounds.select_peers(far, self._turn // FAR_EVERY)
            self._tell_peers(told, rounds.heartbeat_interval(len(far)))
        self._turn += 1

    def tell_leaving(self) -> None:
        """Tell all at once that this VM leaves."""
        self._tell_peers(self._neighbours.all(), TELL_INTERVAL)

    def receive(self) -> None:
        """Take datagrams for ever."""
        for number in itertools.count():
            if number % TAKEN_AT_ONCE == 0:
                # Datagrams may come faster than they are read; other tasks go on.
                gevent.sleep(0)
            try:
                data, address = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                # A peer's closed port is reported on the socket.
                emit(DatagramLost(peer="", why=str(error)))
                continue
            self.take(data, address)

    def take(self, data: bytes, address: Address) -> None:
        """Take in one datagram, whatever it holds."""
        try:
            datagram = deserialize(Datagram(), data, _PROTOCOL)
            origin = Origin(address, datagram.spread)
            for kind, message in vars(datagram).items():
                if message is not None and kind in _TAKER_BY_KIND:
                    _TAKER_BY_KIND[kind](self, message, origin)
        except Exception as error:
            # Whatever it raises: the bytes are no sound datagram of a peer, and one
            # of them must not end the VM.
            emit(DatagramUnreadable(source=address[0], why=repr(error)))

    @_takes("tell")
    def _take_tell(self, tell: Tell, origin: Origin) -> None:
        telling = _to_telling(tell)
        self._address_by_vm[tell.vm] = origin.address
        self._table.update(telling)
        if tell.store_age is not None:
            self._outage.note_peer_success(float(tell.store_age))
        if telling.is_leaving:
            self._neighbours.invalidate()
        if telling.standing is Standing.WATCHES:
            self._replica.note_latest_revisions(telling.revision, telling.configuration)
        if (
            telling.revision > self._replica.revision
            or telling.configuration > self._replica.configuration
        ):
            self._on_behind()

    @_takes("ask")
    def _take_ask(self, ask: Ask, origin: Origin) -> None:
        lent = self._allowances.lend(
            ask.organisation, ask.tokens, bool(ask.for_callers)
        )
        left = self._allowances.lendable(ask.organisation)
        loan = Loan(ask.number, ask.organisation, lent, left)
        self._send(Datagram(loan=loan), origin.address)

    @_takes("loan")
    def _take_loan(self, loan: Loan, _origin: Origin) -> None:
        self.borrower.handle_loan(loan.number, loan.tokens, loan.left)

    @_takes("batch")
    def _take_batch(self, batch: WireBatch, origin: Origin) -> None:
        with self._answer_logged(origin):
            self.changes.handle_batch(batch, origin.spread)

    @_takes("patch")
    def _take_patch(self, patch: Patch, origin: Origin) -> None:
        with self._answer_logged(origin):
            self.changes.handle_patch(patch, origin.spread)

    @contextmanager
    def _answer_logged(self, origin: Origin) -> Iterator[None]:
        """Log what a VM has answered to a question, unless it was known."""
        known = (self._replica.revision, self._replica.configuration)
        yield
        revision = self._replica.revision
        if origin.spread is None and known != (revision, self._replica.configuration):
            emit(NewsTaken(peer=origin.address[0], revision=revision))

    @_takes("behind")
    def _take_behind(self, behind: Behind, origin: Origin) -> None:
        for datagram in self.changes.answer(behind):
            self._send(datagram, origin.address)

    @_takes("large")
    def _take_large(self, _large: Large, origin: Origin) -> None:
        host, port = origin.address
        self._on_large(f"{host}:{port}")

    @_takes("suspect")
    def _take_suspect(self, told: Suspect, _origin: Origin) -> None:
        self._quarantine.report(told.fingerprint, told.deaths, told.duration)

    @_takes("claim")
    def _take_claim(self, claim: Claim, origin: Origin) -> None:
        self._send(Datagram(verdict=self._slots.answer_claim(claim)), origin.address)

    @_takes("verdict")
    def _take_verdict(self, verdict: Verdict, _origin: Origin) -> None:
        self._slots.handle_verdict(verdict)

    @_takes("counts")
    def _take_counts(self, counts: Counts, _origin: Origin) -> None:
        self._slots.handle_counts(counts)

    @_takes("decline")
    def _take_decline(self, decline: Decline, _origin: Origin) -> None:
        self._slots.handle_decline(decline)

    @_takes("room")
    def _take_room(self, room: Room, _origin: Origin) -> None:
        self._slots.handle_offer(room)

    @_takes("left")
    def _take_left(self, left: Left, _origin: Origin) -> None:
        self._on_left(left.upstream, float(left.born), left.vm)

    def tell_left(self, upstream: UpstreamRecord) -> None:
        """Tell some VMs of this region that an upstream has said that it leaves.

        The store's news reach all of them soon after.
        """
        near = list(self._neighbours.near)
        told = random.sample(near, min(LEFT_TOLD, len(near)))
        left = Left(upstream.id, upstream.born, self._me.id)
        self._send_to(told, serialize(Datagram(left=left), _PROTOCOL))

    def tell_suspect(self, report: SuspectReport) -> None:
        """Tell the other VMs of a request that has ended an upstream."""
        suspect = Suspect(report.fingerprint, report.deaths, report.duration)
        data = serialize(Datagram(suspect=suspect), _PROTOCOL)
        self._send_to(self._neighbours.all(), data)

    def send(self, vm: VmRecord, datagram: Datagram) -> None:
        """Send a datagram to one VM."""
        self._send(datagram, Endpoint.from_address(vm.peer_address).pair)

    def _address_of(self, vm: str) -> str:
        host, port = self._address_by_vm[vm]
        return f"{host}:{port}"

    def _tell_peers(self, peers: Sequence[VmRecord], interval: Millis) -> None:
        if not peers:
            return
        store_age = self._outage.last_success_age()
        tell = Tell(
            vm=self._me.id,
            run=self._me.run,
            leaving=self._is_leaving(),
            revision=self._replica.revision,
            configuration=self._replica.configuration,
            standing=int(self._standing()),
            interval=round(interval),
            store_age=None if store_age is None else min(round(store_age), MOST_AGE),
        )
        self._send_to(peers, serialize(Datagram(tell=tell), _PROTOCOL))

    def _send_ask(self, vm: str, ask: Ask) -> None:
        record = self._neighbours.find_ready(vm)
        if record is not None:
            self.send(record, Datagram(ask=ask))

    def _send_to_all(self, vms: Iterable[VmRecord], datagram: Datagram) -> None:
        self._send_to(vms, serialize(datagram, _PROTOCOL))

    def _send_to(self, peers: Iterable[VmRecord], data: bytes) -> None:
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


def _to_telling(tell: Tell) -> PeerStatus:
    return PeerStatus(
        vm=tell.vm,
        run=tell.run,
        is_leaving=tell.leaving,
        revision=tell.revision or 0,
        configuration=tell.configuration or 0,
        standing=Standing(tell.standing or 0),
        interval=float(tell.interval or 0),
    )
