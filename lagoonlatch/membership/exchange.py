"""What is said in heartbeats, and what becomes of what was heard."""

from __future__ import annotations

import gevent

from lagoonlatch.clock import HybridClock, Millis
from lagoonlatch.membership import plan
from lagoonlatch.membership.awake_clock import AwakeClock
from lagoonlatch.membership.heartbeat import (
    Heartbeat,
    Member,
    brief,
    revisions_digest,
)
from lagoonlatch.membership.loads import LoadBoard
from lagoonlatch.membership.settings import LocalState
from lagoonlatch.membership.view import View


class Exchange:
    """Composes heartbeats and takes in those of others.

    Parameters
    ----------
    view : View
        The VMs.
    loads : LoadBoard
        The load of services.
    local : LocalState
        What to tell and whom to call.
    """

    def __init__(
        self,
        view: View,
        loads: LoadBoard,
        local: LocalState,
        awake: AwakeClock,
        hybrid_clock: HybridClock,
    ) -> None:
        self._view = view
        self._loads = loads
        self._local = local
        self._awake = awake
        self._hybrid_clock = hybrid_clock
        self._calling: set[object] = set()

    def hear(self, heartbeat: Heartbeat, asked: bool = False) -> None:
        """Take in a heartbeat and call back on what is newer than what is held.

        Parameters
        ----------
        asked : bool
            Whether the sender began the exchange.
        """
        now = self._awake.now()
        self._hybrid_clock.observe(heartbeat.stamp)
        source = self._view.hear(heartbeat, now, asked)
        if self._view.roster.superseded:
            self._call_once("superseded", self._local.superseded)
        if source is None:
            return
        self._loads.hear(heartbeat, now)
        self._pass_on_versions(heartbeat)

    def _pass_on_versions(self, heartbeat):
        record = self._view.record(heartbeat.member.vm)
        if heartbeat.config_version > self._local.config_version():
            self._call_once(
                "configuration",
                self._local.heard_config_version,
                heartbeat.config_version,
                record,
            )
        held_by_scope = self._local.ownership_revisions()
        for scope, revision in heartbeat.ownership_revision_by_scope.items():
            if revision > held_by_scope.get(scope, 0):
                self._call_once(
                    ("ownership", scope),
                    self._local.heard_ownership_revision,
                    scope,
                    revision,
                    record,
                )

    def _call_once(self, key, callback, *args):
        """Run a callback in a greenlet of its own, unless one of its kind runs."""
        if key in self._calling:
            return
        self._calling.add(key)

        def run():
            try:
                callback(*args)
            finally:
                self._calling.discard(key)

        gevent.spawn(run)

    def compose(self, member: Member | None, introduce: bool) -> Heartbeat:
        """Return the heartbeat for a VM, or for one that is not known yet.

        Parameters
        ----------
        member : Member or None
            The receiver.
        introduce : bool
            Whether to send and ask for all VMs that are known.
        """
        now = self._awake.now()
        acknowledged = known_version = known_incarnation = peer_digest = 0
        source = None if member is None else self._view.evidence.known_source(member)
        if source is not None:
            acknowledged = source.acknowledged
            known_version = source.version
            known_incarnation = source.incarnation
            peer_digest = source.ownership_digest
        revisions = self._local.ownership_revisions()
        digest = revisions_digest(revisions)
        same_data_centre = (
            member is not None and member.data_centre == self._view.me.data_centre
        )
        return Heartbeat(
            member=brief(self._view.me) if acknowledged else self._view.me,
            stamp=self._hybrid_clock.tick(),
            config_version=self._local.config_version(),
            ownership_revision_by_scope={} if digest == peer_digest else revisions,
            ownership_digest=digest,
            loads=self._loads.own() if same_data_centre else (),
            data_centre_loads=self._data_centre_loads(member, same_data_centre, now),
            confirmed_ago=self._local.confirmed_ago(),
            quorum_ago=self._local.quorum_ago(),
            members=self._statements(acknowledged, same_data_centre),
            members_version=self._view.table.version,
            members_whole=self._view.table.is_whole_since(acknowledged),
            known_version=known_version,
            known_incarnation=known_incarnation,
            introduce=introduce,
            acquaintances=self._view.roster.members() if introduce else (),
        )

    def _statements(self, acknowledged, same_data_centre):
        return tuple(
            member
            for member in self._view.table.since(acknowledged)
            if same_data_centre or member.data_centre == self._view.me.data_centre
        )

    def _data_centre_loads(self, member, same_data_centre, now):
        if member is None or not plan.is_watcher(self._view):
            return ()
        if not same_data_centre:
            return self._loads.for_watcher_elsewhere()
        neighbours = len(self._view.directory.vms_in(self._view.me.data_centre))
        return self._loads.for_neighbour(member.vm, now, neighbours)

    def confirm(self, heartbeat: Heartbeat, sent_at: Millis) -> None:
        """Pass on that an answer vouches for the configuration in force here."""
        # Counted from sending: an answer read late must not seem newer than it is.
        ago = heartbeat.quorum_ago
        quorum_at = None if ago is None else sent_at - ago
        self._local.contacted(heartbeat.member.vm, sent_at, quorum_at)
        if heartbeat.confirmed_ago is None:
            return
        if heartbeat.config_version <= self._local.config_version():
            self._local.heard_confirmation(sent_at - heartbeat.confirmed_ago)

    def contact(self, heartbeat: Heartbeat, at: Millis) -> None:
        """Pass on that a VM asked at the instant `at`.

        The age of its quorum is left out: without the time under way it is too low.
        """
        self._local.contacted(heartbeat.member.vm, at, None)
