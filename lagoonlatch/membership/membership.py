"""Heartbeats with the other VMs: which of them seem alive."""

from __future__ import annotations

import random
from dataclasses import replace

import gevent
import structlog
from returns.result import Failure, Success

from lagoonlatch.clock import Clock, HybridClock, Millis
from lagoonlatch.events import EventKind, EventLog
from lagoonlatch.membership import plan
from lagoonlatch.membership.awake_clock import AwakeClock
from lagoonlatch.membership.exchange import Exchange
from lagoonlatch.membership.heartbeat import (
    Heartbeat,
    HeartbeatTransport,
    LoadSummary,
    Member,
)
from lagoonlatch.membership.loads import LoadBoard
from lagoonlatch.membership.record import VmRecord, VmStatus
from lagoonlatch.membership.roster import UNHEARD_INCARNATION
from lagoonlatch.membership.sender import Sender
from lagoonlatch.membership.settings import LocalState, MembershipSettings
from lagoonlatch.membership.view import View
from lagoonlatch.platform.store import VmList

ROUND_JITTER = 0.1
RETRY_AT = (0.3, 0.7)
"""Part of a round after which those that did not answer are tried again."""

_LOG = structlog.get_logger(__name__)


class Membership:
    """Knows which VMs seem alive, for routing and not for safety.

    Parameters
    ----------
    me : Member
        This VM. Its incarnation must be higher than that of any process that ran
        under the same id or address before, for example wall-clock milliseconds.
    settings : MembershipSettings
        How often and how long.
    transport : HeartbeatTransport
        Carries heartbeats.
    vm_list : VmList
        The platform's list.
    clock, hybrid_clock, event_log
        Of this process.
    local : LocalState
        What to tell and whom to call.
    seeds : tuple of (str, int)
        Addresses and ports asked while nobody is known.

    See Also
    --------
    lagoonlatch.membership.view : How the status of a VM is worked out.
    lagoonlatch.membership.plan : Whom heartbeats go to.
    """

    def __init__(
        self,
        me: Member,
        settings: MembershipSettings,
        transport: HeartbeatTransport,
        vm_list: VmList,
        clock: Clock,
        hybrid_clock: HybridClock,
        event_log: EventLog,
        local: LocalState | None = None,
        seeds: tuple[tuple[str, int], ...] = (),
    ) -> None:
        self._settings = settings
        self._vm_list = vm_list
        self._clock = clock
        self._awake = AwakeClock(clock, 2 * settings.interval)
        self._event_log = event_log
        self._local = local or LocalState()
        self._seeds = seeds
        self._view = View(me, self._patience, settings.forget_after)
        self._loads = LoadBoard(me.data_centre, self._local.loads)
        self._exchange = Exchange(
            self._view, self._loads, self._local, self._awake, hybrid_clock
        )
        self._sender = Sender(
            self._view, self._exchange, transport, settings, clock, self._awake
        )
        self._round_number = random.Random(me.vm).randrange(1_000)
        self._list_read_at: Millis | None = None

    # What is known.

    @property
    def me(self) -> VmRecord:
        """The own record."""
        record = self._view.record(self._view.me.vm)
        assert record is not None, "a VM always knows itself"
        return record

    @property
    def generation(self) -> int:
        """A number that changes whenever a record does, but for `last_heard`."""
        return self._view.directory.generation

    def record(self, vm: str) -> VmRecord | None:
        """Return what is known of a VM, or None."""
        return self._view.record(vm)

    def record_at(self, address: str) -> VmRecord | None:
        """Return the newest VM known at an IP address, or None."""
        vm = self._view.roster.vm_at(address)
        return None if vm is None else self._view.record(vm)

    def records(self) -> tuple[VmRecord, ...]:
        """Return all VMs known, whatever their status, sorted by id."""
        members = sorted(self._view.roster.members(), key=lambda member: member.vm)
        return tuple(self._view.record(member.vm) for member in members)

    def alive(
        self, region: str | None = None, data_centre: str | None = None
    ) -> tuple[VmRecord, ...]:
        """Return the VMs that seem alive, this one included, sorted by id.

        Parameters
        ----------
        region, data_centre : str, optional
            Only the VMs of this region or data centre.
        """
        return tuple(
            record
            for record in self.records()
            if record.status is VmStatus.ALIVE
            and region in (None, record.region)
            and data_centre in (None, record.data_centre)
        )

    def watchers(self, data_centre: str) -> tuple[str, ...]:
        """Return the ids of the VMs that speak for a data centre, at most two."""
        return self._view.directory.watchers(data_centre)

    def is_watcher(self) -> bool:
        """Tell whether this VM speaks for its data centre."""
        return plan.is_watcher(self._view)

    def incarnation_of(self, vm: str) -> int | None:
        """Return the newest incarnation that was heard of a VM, or None."""
        member = self._view.roster.member(vm)
        if member is None or member.incarnation == UNHEARD_INCARNATION:
            return None
        return member.incarnation

    def loads(self) -> tuple[LoadSummary, ...]:
        """Return the newest load of each service in each data centre."""
        return self._loads.sums(of_watcher=self.is_watcher())

    # What happens.

    def leave(self) -> None:
        """Tell the others that this VM takes no new work; the next round says it."""
        self._view.roster.set_me(replace(self._view.me, leaving=True))
        self._event_log.record(EventKind.VM_LEAVING, self._view.me.vm)

    def answer(self, heartbeat: Heartbeat) -> Heartbeat:
        """Take in another VM's heartbeat and return the own one."""
        self._exchange.hear(heartbeat, asked=True)
        self._exchange.contact(heartbeat, self._clock.now())
        sender = self._view.roster.whole(heartbeat.member) or heartbeat.member
        return self._exchange.compose(sender, introduce=heartbeat.introduce)

    def run(self) -> None:
        """Exchange heartbeats until killed; a greenlet's body."""
        self.read_list()
        interval = self._settings.interval
        self._clock.sleep(random.random() * interval)
        while True:
            # Rounds are irregular, so that nothing periodic falls in step with them.
            round_time = interval * random.uniform(1 - ROUND_JITTER, 1 + ROUND_JITTER)
            ends = self._clock.now() + round_time
            self.round()
            self._clock.sleep(round_time * random.uniform(*RETRY_AT))
            self.retry()
            self._clock.sleep(ends - self._clock.now())

    def retry(self) -> list[gevent.Greenlet]:
        """Try once more those that did not answer in this round."""
        return self._sender.send_to(self._sender.take_failed())

    def round(self) -> list[gevent.Greenlet]:
        """Start one round of heartbeats; return the greenlets that send them."""
        now = self._awake.now()
        self._report(self._view.refresh(now))
        self._loads.refresh(now, self._is_near)
        self._round_number += 1
        self._sender.take_failed()
        targets = plan.targets(self._view, self._round_number)
        if self.is_watcher():
            targets += self._view.late(now)
        sending = self._sender.send_to(dict.fromkeys(targets))
        if not self._view.hears_anyone():
            sending += self._sender.ask(self._seeds)
        if self._list_is_due():
            sending.append(gevent.spawn(self.read_list))
        return sending

    def read_list(self) -> None:
        """Read the platform's list; while that fails, peers and seeds must do."""
        self._list_read_at = self._clock.now()
        match self._vm_list.read_vms():
            case Success(listed):
                self._view.roster.set_listed(listed, self._region_of)
            case Failure(error):
                _LOG.info("the platform's VM list can't be read", error=str(error))

    def _patience(self, member):
        return plan.patience(self._view, member, self._settings.interval)

    def _list_is_due(self):
        if self._list_read_at is None:
            return True
        interval = self._settings.spare_list_interval
        if self.is_watcher():
            interval = self._settings.list_interval
        return self._clock.now() - self._list_read_at >= interval

    def _region_of(self, data_centre):
        return self._view.directory.region_of(data_centre) or self._local.region_of(
            data_centre
        )

    def _is_near(self, data_centre):
        return self._region_of(data_centre) == self._view.me.region

    def _report(self, changes):
        for vm in changes.reachable:
            self._event_log.record(EventKind.PEER_REACHABLE, vm)
        for vm in changes.silent:
            self._event_log.record(EventKind.PEER_SILENT, vm)
