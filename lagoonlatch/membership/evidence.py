"""Whom this VM has heard, and what they stated."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from lagoonlatch.clock import Millis
from lagoonlatch.membership.heartbeat import Heartbeat, Member
from lagoonlatch.membership.roster import Roster
from lagoonlatch.membership.statements import Source

SOURCE_PATIENCE_FACTOR = 2.0
"""If no VM of a data centre is heard any more, what they stated last holds on, so
that others can speak for it before what was stated is lost."""

LATE_FACTOR = 0.55
"""Part of the patience after which a VM is late: it is sent a heartbeat, and seems
silent if it does not answer."""


@dataclass(frozen=True)
class HeardOf:
    """The VMs for which something speaks now.

    Parameters
    ----------
    first_hand : set of str
        Heard directly, or stated by a VM of their own data centre elsewhere.
    second_hand : set of str
        Stated by another VM of the own data centre.
    """

    first_hand: set[str]
    second_hand: set[str]


class Evidence:
    """Keeps when each VM was heard and what it stated then.

    Parameters
    ----------
    roster : Roster
        The VMs known.
    patience : callable
        Time without a heartbeat after which a VM seems silent.
    """

    def __init__(self, roster: Roster, patience: Callable[[Member], Millis]) -> None:
        self._roster = roster
        self._patience = patience
        self._last_heard_by_vm: dict[str, Millis] = {}
        self._source_by_vm: dict[str, Source] = {}
        self._unanswered_at_by_vm: dict[str, Millis] = {}
        self._heard_data_centres: set[str] = set()
        self._asked_at_by_data_centre: dict[str, Millis] = {}
        self._asking_data_centres: set[str] = set()

    def hear(self, sender: Member, heartbeat: Heartbeat, now: Millis) -> Source:
        """Take in a heartbeat of a VM's current run; return its source."""
        self._last_heard_by_vm[sender.vm] = now
        self._unanswered_at_by_vm.pop(sender.vm, None)
        source = self.known_source(sender)
        if source is None:
            source = Source(sender.incarnation)
            self._source_by_vm[sender.vm] = source
        source.apply(heartbeat, self._roster.me)
        return source

    def note_asked(self, sender: Member, now: Millis) -> None:
        """Learn that a VM sent its heartbeat by itself."""
        self._asked_at_by_data_centre[sender.data_centre] = now

    def note_unanswered(self, vm: str, now: Millis) -> None:
        """Learn that a VM did not answer this one."""
        self._unanswered_at_by_vm[vm] = now

    def remove(self, vm: str) -> None:
        """Forget a VM."""
        self._last_heard_by_vm.pop(vm, None)
        self._source_by_vm.pop(vm, None)
        self._unanswered_at_by_vm.pop(vm, None)

    def last_heard(self, vm: str) -> Millis | None:
        """Return when a VM itself was heard last."""
        return self._last_heard_by_vm.get(vm)

    def answers(self, vm: str) -> bool:
        """Tell whether a VM has not failed to answer lately."""
        return vm not in self._unanswered_at_by_vm

    def known_source(self, sender: Member) -> Source | None:
        """Return what a VM's current run has stated, or None if it was not heard."""
        source = self._source_by_vm.get(sender.vm)
        if source is None or source.incarnation != sender.incarnation:
            return None
        return source

    def is_asked_by(self, data_centre: str) -> bool:
        """Tell whether VMs of a data centre begin exchanges with this one."""
        return data_centre in self._asking_data_centres

    def late(self, now: Millis) -> list[str]:
        """Return the VMs of the own data centre whose heartbeat is overdue."""
        own = self._roster.me.data_centre
        return [
            member.vm
            for member in map(self._roster.member, self._last_heard_by_vm)
            if member.data_centre == own and self._is_late(member, now)
        ]

    def expire(self, now: Millis) -> bool:
        """Give VMs that did not answer another chance; return whether any got it."""
        expired = [
            vm
            for vm, failed_at in self._unanswered_at_by_vm.items()
            if now - failed_at > self._patience(self._roster.member(vm))
        ]
        for vm in expired:
            del self._unanswered_at_by_vm[vm]
        return bool(expired)

    def weigh(self, now: Millis) -> HeardOf:
        """Return the VMs for which something speaks now."""
        fresh = self._heard_within(now, factor=1.0)
        self._heard_data_centres = {member.data_centre for member in fresh}
        held = [
            member
            for member in self._heard_within(now, SOURCE_PATIENCE_FACTOR)
            if member.data_centre not in self._heard_data_centres
        ]
        self._asking_data_centres = {
            member.data_centre for member in fresh if self._is_asked_lately(member, now)
        }
        heard = {member.vm for member in fresh if not self._failed(member, now)}
        first_hand, second_hand = self._stated(fresh + held)
        return HeardOf({self._roster.me.vm} | heard | first_hand, second_hand)

    def _stated(self, speakers: Iterable[Member]):
        first_hand: set[str] = set()
        second_hand: set[str] = set()
        for speaker in speakers:
            stated = self._source_by_vm[speaker.vm].alive - {speaker.vm}
            if speaker.data_centre == self._roster.me.data_centre:
                second_hand |= stated
            else:
                # It states only VMs of its own data centre to us.
                first_hand |= stated
        return first_hand, second_hand

    def _heard_within(self, now, factor):
        heard = []
        for vm, heard_at in self._last_heard_by_vm.items():
            member = self._roster.member(vm)
            if now - heard_at <= factor * self._patience(member):
                heard.append(member)
        return heard

    def _failed(self, member, now):
        return not self.answers(member.vm) and self._is_late(member, now)

    def _is_asked_lately(self, member, now):
        asked_at = self._asked_at_by_data_centre.get(member.data_centre)
        limit = LATE_FACTOR * self._patience(member)
        return asked_at is not None and now - asked_at <= limit

    def _is_late(self, member, now):
        silence = now - self._last_heard_by_vm[member.vm]
        return silence > LATE_FACTOR * self._patience(member)
