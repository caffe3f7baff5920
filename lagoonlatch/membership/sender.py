"""Sends heartbeats, each in a greenlet of its own."""

from __future__ import annotations

from collections.abc import Iterable

import gevent
from returns.result import Failure, Result, Success

from lagoonlatch.clock import Clock
from lagoonlatch.membership import plan
from lagoonlatch.membership.awake_clock import AwakeClock
from lagoonlatch.membership.exchange import Exchange
from lagoonlatch.membership.heartbeat import HeartbeatTransport, Member
from lagoonlatch.membership.settings import MembershipSettings
from lagoonlatch.membership.view import View


class Sender:
    """Exchanges heartbeats with other VMs, one at a time with each.

    Parameters
    ----------
    view : View
        The VMs.
    exchange : Exchange
        Composes heartbeats and takes in the answers.
    transport : HeartbeatTransport
        Carries them.
    """

    def __init__(
        self,
        view: View,
        exchange: Exchange,
        transport: HeartbeatTransport,
        settings: MembershipSettings,
        clock: Clock,
        awake: AwakeClock,
    ) -> None:
        self._view = view
        self._exchange = exchange
        self._transport = transport
        self._settings = settings
        self._clock = clock
        self._awake = awake
        self._under_way: set[str] = set()
        self._failed: set[str] = set()

    def send_to(self, vms: Iterable[str]) -> list[gevent.Greenlet]:
        """Start an exchange with each VM that none is under way with."""
        return [
            gevent.spawn(self._exchange_with, vm)
            for vm in vms
            if vm not in self._under_way
        ]

    def ask(self, endpoints: Iterable[tuple[str, int]]) -> list[gevent.Greenlet]:
        """Start an exchange with whoever answers at each endpoint."""
        return [gevent.spawn(self._send, endpoint, None) for endpoint in endpoints]

    def take_failed(self) -> set[str]:
        """Return the VMs that did not answer since this was called last."""
        failed, self._failed = self._failed, set()
        return failed

    def _exchange_with(self, vm):
        self._under_way.add(vm)
        try:
            answered = self._try_exchange(vm)
        finally:
            self._under_way.discard(vm)
        if not answered and not plan.is_watcher(self._view):
            self._exchange_with_other_watcher(vm)

    def _exchange_with_other_watcher(self, vm):
        for other in self._view.directory.watchers(self._view.me.data_centre):
            if other != vm and other not in self._under_way:
                self._try_exchange(other)

    def _try_exchange(self, vm):
        member = self._view.roster.member(vm)
        if member is None:
            return False
        endpoint = (member.address, self._settings.port)
        if isinstance(self._send(endpoint, member), Success):
            return True
        self._view.note_unanswered(vm, self._awake.now())
        self._failed.add(vm)
        return False

    def _send(self, endpoint: tuple[str, int], member: Member | None) -> Result:
        """Send a heartbeat; a silent connection is replaced by a new one at once."""
        introduce = member is None or not self._view.hears_anyone()
        heartbeat = self._exchange.compose(member, introduce)
        sent_at = self._clock.now()
        answer = self._transport.exchange(
            endpoint, heartbeat, self._settings.exchange_deadline, fresh=False
        )
        if isinstance(answer, Failure):
            sent_at = self._clock.now()
            answer = self._transport.exchange(
                endpoint, heartbeat, self._settings.interval, fresh=True
            )
        if isinstance(answer, Success):
            self._exchange.confirm(answer.unwrap(), sent_at)
        return answer.map(self._exchange.hear)
