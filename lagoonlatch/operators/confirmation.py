"""Which daemons have a change in force."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from returns.result import Result, Success

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.config.parts import read_head
from lagoonlatch.operators.admin_client import AdminClient, AdminError
from lagoonlatch.operators.discovery import Daemon, ask_all
from lagoonlatch.operators.reports import format_table
from lagoonlatch.operators.status import Status
from lagoonlatch.platform.store import Store

POLL_INTERVAL: Millis = 200.0

_HEADINGS = ("VM", "VERSION", "IN FORCE")


class AcceptedChanges:
    """A change, and those that the store says were accepted after it.

    A version's number alone proves nothing: after the store was restored from a
    backup, a VM may hold a higher number of another history.

    Parameters
    ----------
    store : Store
        Its head names the latest changes.
    version : int
        The version that the change made.
    change_id : str
        The change.
    """

    def __init__(self, store: Store, version: int, change_id: str) -> None:
        self._store = store
        self._version = version
        self._own = (version, change_id)
        self._known = {self._own}

    def __contains__(self, status: Status) -> bool:
        held = (status.configuration_version, status.configuration_change_id)
        if held not in self._known and status.configuration_version > self._version:
            self._reload()
        return held in self._known

    def _reload(self) -> None:
        found = read_head(self._store)
        if not isinstance(found, Success):
            return
        history = {(c.version, c.change_id) for c in found.unwrap().head.history}
        if self._own in history:
            self._known |= {change for change in history if change[0] > self._version}


@dataclass(frozen=True)
class Confirmation:
    """What the daemons said of a change.

    Parameters
    ----------
    status_by_vm : mapping of str to Result
        Each daemon's last answer.
    confirmed : frozenset of str
        The VMs that have the change in force.
    duration : Millis
        How long the daemons were asked.
    """

    status_by_vm: Mapping[str, Result[Status, AdminError]]
    confirmed: frozenset[str]
    duration: Millis

    @property
    def complete(self) -> bool:
        """Whether every daemon, and at least one, has the change in force."""
        return bool(self.status_by_vm) and self.confirmed == set(self.status_by_vm)

    def __str__(self) -> str:
        rows = [
            _row(vm, answer, vm in self.confirmed)
            for vm, answer in self.status_by_vm.items()
        ]
        return format_table(_HEADINGS, rows)


def await_change(
    daemons: Sequence[Daemon], accepted: AcceptedChanges, wait: Millis, clock: Clock
) -> Confirmation:
    """Ask daemons until all have a change in force or the time is up.

    Parameters
    ----------
    daemons : sequence of Daemon
        Whom to ask.
    accepted : AcceptedChanges
        The change, or any later one.
    wait : Millis
        How long to go on asking.
    clock : Clock
        Paces the questions.
    """
    began = clock.now()
    answers: dict[str, Result[Status, AdminError]] = {}
    confirmed: frozenset[str] = frozenset()
    while True:
        asked = [daemon for daemon in daemons if daemon.vm not in confirmed]
        answers |= ask_all(asked, AdminClient.status)
        confirmed = frozenset(
            vm
            for vm, answer in answers.items()
            if isinstance(answer, Success) and answer.unwrap() in accepted
        )
        confirmation = Confirmation(answers, confirmed, clock.now() - began)
        if confirmation.complete or confirmation.duration >= wait:
            return confirmation
        clock.sleep(POLL_INTERVAL)


def _row(
    vm: str, answer: Result[Status, AdminError], confirmed: bool
) -> tuple[str, object, str]:
    if not isinstance(answer, Success):
        return (vm, "-", f"unknown: {answer.failure().reason}")
    status = answer.unwrap()
    in_force = "yes" if confirmed else "not yet"
    return (status.vm, status.configuration_version, in_force)
