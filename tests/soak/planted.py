"""Known faults put into the program, to show that the soak finds them.

``python -m tests.soak.planted NAME`` runs an entry VM with one of them.
"""

from __future__ import annotations

import sys
from collections.abc import Callable

from lagoonlatch.cli import run

PLANTS_BY_NAME: dict[str, Callable[[], None]] = {}


def plant(change: Callable[[], None]) -> Callable[[], None]:
    """Register a change of the program under its function's name."""
    PLANTS_BY_NAME[change.__name__] = change
    return change


@plant
def allowance_held_twice() -> None:
    """Let every VM hold the whole of each allowance."""
    from lagoonlatch.steering.holders import Holders, Share

    Holders.share = lambda self, organisation: Share(1.0, True)


@plant
def unsafe_repeated() -> None:
    """Repeat requests of any kind after a reset."""
    from lagoonlatch.steering.model import Route

    Route.is_idempotent = property(lambda self: True)


@plant
def stale_configuration() -> None:
    """Miss changes of the configuration after the first."""
    from lagoonlatch.entry.facts import Facts

    write = Facts._update_rules

    def write_once(self, value):
        if self.rules is None:
            write(self, value)

    Facts._update_rules = write_once


@plant
def false_promise() -> None:
    """Say that a request has not run though it may have."""
    from lagoonlatch.entry.handling import RequestHandler

    give_up = RequestHandler._give_up

    def promise(self, journey, reason, *wait):
        journey.may_have_run = False
        journey.failed_answer = None
        return give_up(self, journey, reason, *wait)

    RequestHandler._give_up = promise


@plant
def upstream_promise_forwarded() -> None:
    """Forward any status of an upstream, also of one that has run the request."""
    from lagoonlatch.entry import handling

    handling._NOT_RUN_STATUSES = frozenset()


@plant
def stamp_on_own_failure() -> None:
    """Replace the status of a failed upstream but keep its other fields."""
    from dataclasses import replace

    from lagoonlatch.entry.handling import RequestHandler

    forward = RequestHandler._forward

    def keep_fields(self, context, answer, reason):
        sent = forward(self, context, answer, reason)
        return replace(sent, headers=answer.headers)

    RequestHandler._forward = keep_fields


@plant
def crash_counted_for_each_request() -> None:
    """Count a crash once for each request that it ended; clear only at one VM."""
    import itertools
    from dataclasses import replace

    from lagoonlatch.entry.peers import PeerLink
    from lagoonlatch.steering.crashes import CrashQuarantine

    report_suspect = PeerLink.report_suspect

    def report_crashes(self, fingerprint):
        if self._quarantine.crashes(fingerprint):
            report_suspect(self, fingerprint)

    PeerLink.report_suspect = report_crashes

    add, numbers = CrashQuarantine.add, itertools.count()

    def add_each(self, fingerprint, crashes):
        each = [
            replace(crash, born=next(numbers), sent_at=crash.ended_at)
            for crash in crashes
        ]
        return add(self, fingerprint, each)

    CrashQuarantine.add = add_each


@plant
def cold_senders_by_entry() -> None:
    """Take the VMs with an entry for the only senders to a cold upstream."""
    from lagoonlatch.entry.process import EntryProcess

    create_components = EntryProcess._create_components

    def create(self):
        create_components(self)
        limiter = self._cold_start_limiter
        limiter._list_present = lambda: self._facts.vms_by_id
        limiter._may_miss_vms = lambda: False

    EntryProcess._create_components = create


@plant
def reader_timeout_on_the_socket() -> None:
    """Let the timeout of a connection's reader end its writes, and go on."""
    from lagoonlatch.entry.connection import CallerConnection

    def receive_within(self, timeout):
        self._sock.settimeout(timeout / 1_000.0)
        try:
            return self._sock.recv(65_536)
        except TimeoutError:
            return None

    CallerConnection._tune_socket = lambda self: None
    CallerConnection._receive_within = receive_within
    CallerConnection._send = lambda self, data: self._sock.sendall(data)
    CallerConnection._end = lambda self, error: None


@plant
def departure_forgotten() -> None:
    """Interrupt a wait when the caller leaves, but don't ask again later."""
    from lagoonlatch.entry.cancellation import CancellationToken

    CancellationToken.is_cancelled = property(lambda self: False)
    CancellationToken.check = lambda self: None


@plant
def departure_found_by_reads_only() -> None:
    """Don't notice the close of a connection that isn't read."""
    from lagoonlatch.entry import connection

    connection.is_closed_by_peer = lambda sock: False


@plant
def departure_interrupts_nothing() -> None:
    """Let requests go on at upstreams when their callers leave."""
    from lagoonlatch.entry.cancellation import CancellationToken

    def cancel(self):
        self._is_cancelled = True

    CancellationToken.cancel = cancel


@plant
def evacuation_ignored() -> None:
    """Go on sending to evacuated data centres."""
    from lagoonlatch.steering.upstreams import UpstreamTable

    UpstreamTable.evacuate = lambda self, data_centres: None


@plant
def leaving_ignored() -> None:
    """Go on sending to upstreams that say they leave, until the store says so."""
    from lagoonlatch.steering.upstreams import UpstreamTable

    UpstreamTable.note_leaving = lambda self, upstream_id, born: False


@plant
def leaving_forgotten() -> None:
    """Let an entry of the store bring back an upstream that has said it leaves."""
    from lagoonlatch.steering.upstreams import UpstreamTable

    put = UpstreamTable.put

    def forget(self, record, was_running=False):
        put(self, record, was_running)
        state = self.find(record.id)
        if state is not None:
            state.is_leaving = False

    UpstreamTable.put = forget


@plant
def rest_ignored() -> None:
    """Go on sending to upstreams that ask for rest."""
    from lagoonlatch.steering.upstreams import UpstreamState

    UpstreamState.set_rest = lambda self, duration: None


@plant
def limit_ignored() -> None:
    """Keep to no limit that upstreams name."""
    from lagoonlatch.steering.rate_limits import UpstreamRateLimiter

    UpstreamRateLimiter.consume = lambda self, upstream_id: True


@plant
def limit_kept_by_each_vm() -> None:
    """Let each VM grant itself the whole limit."""
    from types import SimpleNamespace

    from lagoonlatch.entry.slots import SlotClient
    from lagoonlatch.steering.rate_authority import RateAuthority

    RateAuthority.fraction = lambda self, upstream_id, data_centre: 1.0
    SlotClient._home_of = lambda self, upstream: SimpleNamespace(id=self._me)


@plant
def era_ignored() -> None:
    """Order what the store says by its revision alone, in all eras."""
    from lagoonlatch.platform.kv import _Eras

    _Eras.read = lambda self, answer: 0


@plant
def era_heeded_by_watchers_only() -> None:
    """Follow a restored store only from its own watch, not from other VMs."""
    from lagoonlatch.entry.replica import StoreReplica
    from lagoonlatch.entry.sync import StoreSync

    apply_snapshot = StoreReplica.apply_snapshot

    def ignore_others(self, entries, revision, era=0, hold_left=0.0, told_by="store"):
        if told_by != "store" and self.revision and era > self.era:
            return False
        return apply_snapshot(self, entries, revision, era, hold_left, told_by)

    StoreReplica.apply_snapshot = ignore_others
    StoreSync._check_era = lambda self: None


@plant
def cut_at_stop() -> None:
    """End at SIGTERM without answering what was taken."""
    from lagoonlatch.entry.process import EntryProcess

    EntryProcess._leave = lambda self: None


@plant
def draining_used() -> None:
    """Go on using upstreams that say that they leave."""
    from dataclasses import replace

    from lagoonlatch.entry import facts

    decode = facts.decode_upstream
    facts.decode_upstream = lambda key, value: decode(key, value).map(
        lambda record: replace(record, is_draining=False)
    )
    facts.Facts._drop_upstream = lambda self, upstream_id: None


@plant
def late_answers_passed() -> None:
    """Take any answer on a kept connection for that of the request."""
    from lagoonlatch.entry.exchange import UpstreamConnection

    UpstreamConnection.has_no_input = lambda self: True
    UpstreamConnection.is_expired = lambda self: False


if __name__ == "__main__":
    PLANTS_BY_NAME[sys.argv[1]]()
    sys.exit(run(["entry"]))
