"""Whom a VM sends a heartbeat in each round.

The number of heartbeats of a VM does not grow with the fleet: a VM exchanges with one
of its data centre's two watchers, in turn. A watcher exchanges with the other watcher,
with one watcher of each data centre of its region, and in turn with those of the
other regions. Of two data centres one begins.
"""

from __future__ import annotations

from lagoonlatch.clock import Millis
from lagoonlatch.membership.directory import WATCHERS_PER_DATA_CENTRE
from lagoonlatch.membership.heartbeat import Member
from lagoonlatch.membership.rendezvous import weight
from lagoonlatch.membership.view import View

FOREIGN_PER_ROUND = 8
"""Data centres of other regions that a watcher exchanges with in one round."""

ABSENT_WHEN_ALONE = 3
"""VMs of a data centre tried in one round while no VM answers."""

MISSED_PERIODS = 2.25
"""A VM seems silent after two missed heartbeats and a margin."""


def foreign_rounds(view: View) -> int:
    """Return the rounds in which each data centre of other regions has its turn."""
    return max(1, -(-view.directory.foreign_data_centres() // FOREIGN_PER_ROUND))


def patience(view: View, member: Member, interval: Millis) -> Millis:
    """Return how long `member` may be unheard before it seems silent.

    A VM's heartbeats go to the watchers of a data centre in turn.
    """
    period = WATCHERS_PER_DATA_CENTRE * interval
    if member.region != view.me.region:
        period *= foreign_rounds(view)
    return MISSED_PERIODS * period


def is_watcher(view: View) -> bool:
    """Tell whether this VM speaks for its data centre."""
    return view.me.vm in view.directory.watchers(view.me.data_centre)


def targets(view: View, round_number: int) -> list[str]:
    """Return the ids of the VMs to exchange with in a round.

    Includes VMs that are listed or silent, one in each data centre and round, so that
    they are found again when a partition heals.
    """
    chosen = _own_targets(view, round_number)
    if is_watcher(view):
        for data_centre in view.directory.data_centres():
            if data_centre != view.me.data_centre:
                chosen += _other_targets(view, data_centre, round_number)
    return chosen


def _own_targets(view, round_number):
    own = view.me.data_centre
    if is_watcher(view):
        others = [vm for vm in view.directory.watchers(own) if vm != view.me.vm]
        return others + _absent_in_turn(view, own, round_number)
    watchers = view.directory.watchers(own)
    return [watchers[round_number % len(watchers)]]


def _other_targets(view, data_centre, round_number):
    turn = round_number
    if view.directory.region_of(data_centre) != view.me.region:
        rounds = foreign_rounds(view)
        if weight(view.me.vm, data_centre) % rounds != round_number % rounds:
            return []
        turn = round_number // rounds
    watchers = view.directory.watchers(data_centre)
    if not watchers:
        return _absent_in_turn(view, data_centre, turn)
    begins = _begins(view.me.data_centre, data_centre)
    if not begins and view.evidence.is_asked_by(data_centre):
        return []
    return [watchers[turn % len(watchers)]]


def _begins(own, other):
    """Tell which of two data centres sends the heartbeats that the other answers.

    A watcher that is not asked by the other data centre begins anyway: it is new, or
    connections come through one way only.
    """
    pair = "\0".join(sorted((own, other)))
    return weight(pair, own) > weight(pair, other)


def _absent_in_turn(view, data_centre, turn):
    absent = [vm for vm in view.directory.vms_in(data_centre) if not view.is_alive(vm)]
    count = 1 if view.hears_anyone() else ABSENT_WHEN_ALONE
    first = turn * count
    positions = range(first, first + min(count, len(absent)))
    return [absent[position % len(absent)] for position in positions]
