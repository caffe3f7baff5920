"""Datagrams between the entry VMs: loads, tokens, suspects."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

import gevent
from gevent import socket
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.entry.events import DatagramLost, DatagramUnreadable
from lagoonlatch.entry.generated.ttypes import Ask, Datagram, Loan, Suspect, Tell
from lagoonlatch.entry.journal import emit
from lagoonlatch.entry.loans import Borrower
from lagoonlatch.entry.news import decode_batch, encode_batch
from lagoonlatch.entry.reading import Batch, StoreReading
from lagoonlatch.platform.endpoint import Endpoint
from lagoonlatch.steering.allowances import Allowances
from lagoonlatch.steering.holders import Holders
from lagoonlatch.steering.model import VmRecord
from lagoonlatch.steering.peers import PeerTable, Telling, count_turns, take_turn
from lagoonlatch.steering.watchers import Standing
from lagoonlatch.upstreams.quarantine import Quarantine, SuspectReport

NEAR_INTERVAL: Millis = 100.0
"""Between tells to VMs of the region, with which the upstreams are shared; a part of
the shortest work."""

FAR_EVERY = 4
"""VMs of other regions are told every so many intervals; their bytes cost more."""

MAX_DATAGRAM = 8_192
"""Largest datagram that is read; what VMs tell stays far below."""

SPARE_TOLD = 16
"""Organisations whose spare tokens one tell names; a datagram stays small with any
number of them, and a dozen tells a second name all."""

_PROTOCOL = TCompactProtocolAcceleratedFactory()


class PeerLink:
    """The datagram socket of a VM.

    Parameters
    ----------
    me : VmRecord
        This VM.
    list_peers : callable
        Returns the other VMs, those of this region with True.
    in_flight_by_upstream : callable
        Returns this VM's requests at each upstream.
    is_leaving : callable
        Returns whether this VM leaves.
    standing : callable
        Returns how this VM learns what the store holds.
    reading : StoreReading
        Takes in what other VMs pass on.
    holders : Holders
        Who may have tokens to lend.

    Attributes
    ----------
    borrower : Borrower
        Asks the other VMs for tokens.
    """

    def __init__(
        self,
        me: VmRecord,
        list_peers: Callable[[], Iterable[tuple[VmRecord, bool]]],
        in_flight_by_upstream: Callable[[], dict[str, int]],
        is_leaving: Callable[[], bool],
        standing: Callable[[], Standing],
        reading: StoreReading,
        holders: Holders,
        allowances: Allowances,
        quarantine: Quarantine,
        table: PeerTable,
        clock: Clock,
    ) -> None:
        self._me = me
        self._list_peers = list_peers
        self._in_flight_by_upstream = in_flight_by_upstream
        self._is_leaving = is_leaving
        self._standing = standing
        self._reading = reading
        self._spare_told = 0
        self._allowances = allowances
        self._quarantine = quarantine
        self._table = table
        self._clock = clock
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._address_by_vm: dict[str, tuple[str, int]] = {}
        self.borrower = Borrower(
            me.id, allowances, holders, table, self._send_ask, clock
        )

    def listen(self) -> None:
        """Take the VM's port."""
        self._sock.bind(Endpoint.from_address(self._me.peer_address).pair)

    def addresses(self) -> list[str]:
        """Return where other VMs listen: those known from the store or heard."""
        known = [vm.peer_address for vm, _ in self._list_peers()]
        heard = filter(self._table.is_heard, self._address_by_vm)
        return list(dict.fromkeys([*known, *map(self._address_of, heard)]))

    def addresses_ahead(self, revision: int) -> list[str]:
        """Return where VMs listen that know later changes of the store."""
        return list(map(self._address_of, self._table.ahead_of(revision)))

    def tell(self) -> None:
        """Tell the other VMs for ever."""
        turn = 0
        while True:
            near, far = self._split_peers()
            interval = NEAR_INTERVAL * count_turns(len(near))
            self._tell_peers(take_turn(near, turn), interval)
            if turn % FAR_EVERY == 0:
                interval = NEAR_INTERVAL * FAR_EVERY * count_turns(len(far))
                self._tell_peers(take_turn(far, turn // FAR_EVERY), interval)
            turn += 1
            gevent.sleep(NEAR_INTERVAL / MILLIS_PER_SECOND)

    def tell_leaving(self) -> None:
        """Tell all at once that this VM leaves."""
        near, far = self._split_peers()
        self._tell_peers(near + far, NEAR_INTERVAL)

    def receive(self) -> None:
        """Take datagrams for ever."""
        while True:
            try:
                data, address = self._sock.recvfrom(MAX_DATAGRAM)
            except OSError as error:
                # A peer's closed port is reported on the socket.
                emit(DatagramLost(peer="", why=str(error)))
                continue
            try:
                datagram = deserialize(Datagram(), data, _PROTOCOL)
            except Exception as error:
                # Whatever the codec raises: the bytes are no datagram of a peer.
                emit(DatagramUnreadable(source=address[0], why=repr(error)))
                continue
            self._take(datagram, address)

    def _take(self, datagram: Datagram, address: tuple[str, int]) -> None:
        if datagram.tell is not None:
            self._address_by_vm[datagram.tell.vm] = address
            self._table.hear(_to_telling(datagram.tell))
        elif datagram.ask is not None:
            ask = datagram.ask
            lent = self._allowances.lend(
                ask.organisation, ask.tokens, bool(ask.for_callers)
            )
            loan = Loan(ask.number, ask.organisation, lent)
            self._send(Datagram(loan=loan), address)
        elif datagram.loan is not None:
            self.borrower.take_loan(datagram.loan.number, datagram.loan.tokens)
        elif datagram.batch is not None:
            self._reading.take_batch(decode_batch(datagram.batch))
        elif datagram.suspect is not None:
            told = datagram.suspect
            self._quarantine.report(told.fingerprint, told.deaths, told.duration)

    def tell_suspect(self, report: SuspectReport) -> None:
        """Tell the other VMs of a request that has ended an upstream."""
        suspect = Suspect(report.fingerprint, report.deaths, report.duration)
        data = serialize(Datagram(suspect=suspect), _PROTOCOL)
        self._send_to([peer for peer, _ in self._list_peers()], data)

    def pass_on(self, batch: Batch) -> None:
        """Tell the VMs of this region what the store has told."""
        data = serialize(Datagram(batch=encode_batch(batch)), _PROTOCOL)
        if len(data) > MAX_DATAGRAM:
            # They see that this VM knows more, and ask for it.
            return
        near, _ = self._split_peers()
        self._send_to(near, data)

    def _address_of(self, vm: str) -> str:
        host, port = self._address_by_vm[vm]
        return f"{host}:{port}"

    def _split_peers(self) -> tuple[list[VmRecord], list[VmRecord]]:
        """Return the VMs of this region and the others, sorted by id."""
        peers = sorted(self._list_peers(), key=lambda peer: peer[0].id)
        near = [vm for vm, is_near in peers if is_near]
        return near, [vm for vm, is_near in peers if not is_near]

    def _tell_peers(self, peers: Sequence[VmRecord], interval: Millis) -> None:
        if not peers:
            return
        tell = Tell(
            vm=self._me.id,
            run=self._me.run,
            leaving=self._is_leaving(),
            in_flight_by_upstream=self._in_flight_by_upstream(),
            spare_by_organisation=self._take_spare(),
            revision=self._reading.revision,
            standing=int(self._standing()),
            interval=round(interval),
        )
        self._send_to(peers, serialize(Datagram(tell=tell), _PROTOCOL))

    def _take_spare(self) -> dict[str, int]:
        """Return what could be lent of some organisations, all of them in turn."""
        spare_by_id = self._allowances.spare_by_id()
        names = sorted(spare_by_id)
        if len(names) <= SPARE_TOLD:
            return spare_by_id
        first = self._spare_told % len(names)
        self._spare_told = first + SPARE_TOLD
        return {name: spare_by_id[name] for name in names[first : first + SPARE_TOLD]}

    def _send_ask(self, vm: str, ask: Ask) -> None:
        self._send(Datagram(ask=ask), self._address_by_vm[vm])

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


def _to_telling(tell: Tell) -> Telling:
    return Telling(
        vm=tell.vm,
        run=tell.run,
        is_leaving=tell.leaving,
        in_flight_by_upstream=tell.in_flight_by_upstream or {},
        spare_by_organisation=tell.spare_by_organisation or {},
        revision=tell.revision or 0,
        standing=Standing(tell.standing or 0),
        interval=float(tell.interval or 0),
    )
