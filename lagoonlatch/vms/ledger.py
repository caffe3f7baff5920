"""What became of calls whose connections were lost.

A caller that gets no answer asks with `settle`, over a new connection, for the call's
outcome. The answer recovers the reply, waits a while if the call runs, or voids a call
that never arrived, so that the caller may say "not run" and be right even if the call
arrives afterwards.

Notes
-----
Rules that "never" rests on:

- Only the run of the process that the call was sent to may say so.
- The ledger must reach back to before the call was sent. It is bounded; calls
  forgotten move its horizon, and calls sent before the horizon are unknown.
- A voided call is refused as long as it could still arrive. The server closes
  connections that are idle for `IDLE_TIMEOUT`, far below `VOID_HOLD`, and time during
  which the process was suspended does not count.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent.event import AsyncResult

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.membership.awake_clock import AwakeClock
from lagoonlatch.vms.generated import ttypes

MAX_ENDED_CALLS = 4_096
MAX_REPLY_BYTES = 8 * 1024 * 1024
MAX_VOID_CALLS = 1_024
VOID_HOLD: Millis = 600_000.0
ASKING_GRACE: Millis = 1_500.0
"""How long a call whose connection is gone goes on without being asked after."""

LONGEST_COUNTED_GAP: Millis = 10_000.0

VOID_REASON = "cancelled"


class CallCancelled(gevent.GreenletExit):
    """Raised in a handler whose caller has closed the connection."""


@dataclass
class _RunningCall:
    greenlet: gevent.Greenlet
    arrived: Millis
    outcome: AsyncResult = field(default_factory=AsyncResult)
    attached: int = 0
    asked: int = 0
    abandoned: bool = False


@dataclass
class _EndedCall:
    arrived: Millis
    reply: Any
    reply_bytes: int


class CallLedger:
    """A handler that keeps the outcomes of `execute` and `relay` for a while.

    Parameters
    ----------
    handler : object
        Implements ``Peer.Iface`` but for `settle`.
    incarnation : int
        This run of this VM; 0 leaves every call unknown.
    clock : Clock
        Of this process.
    """

    def __init__(self, handler: Any, incarnation: int, clock: Clock) -> None:
        self._handler = handler
        self._incarnation = incarnation
        self._clock = clock
        self._awake = AwakeClock(clock, LONGEST_COUNTED_GAP)
        self._running_by_id: dict[str, _RunningCall] = {}
        self._ended_by_id: OrderedDict[str, _EndedCall] = OrderedDict()
        self._void_since_by_id: dict[str, Millis] = {}
        self._kept_replies: deque[_EndedCall] = deque()
        self._reply_bytes = 0
        self._horizon: Millis = -math.inf

    def __getattr__(self, name: str) -> Any:
        return getattr(self._handler, name)

    def execute(self, request: ttypes.ExecuteRequest) -> ttypes.ExecuteReply:
        """Run a request, unless it was voided."""
        return self._run(request, self._handler.execute)

    def relay(self, request: ttypes.RelayRequest) -> ttypes.ExecuteReply:
        """Run a request whose idempotency key is held here, unless it was voided."""
        return self._run(request, self._handler.relay)

    def settle(self, request: ttypes.SettleRequest) -> ttypes.SettleReply:
        """Return what became of a call, after a wait if it runs, or void it."""
        call_id = request.call_id
        if request.incarnation != self._incarnation or not self._incarnation:
            return _settled(None)
        running = self._running_by_id.get(call_id)
        if running is not None:
            return self._attach(running, request.wait or 0.0)
        ended = self._ended_by_id.get(call_id)
        if ended is not None:
            return _settled(ended.reply)
        return self._void(call_id, self._clock.now() - request.since_sent)

    def abandon(self, greenlet: gevent.Greenlet) -> bool:
        """Note that a call's connection is gone; return whether to cancel it.

        A call goes on while its caller asks after it on other connections.
        """
        for call in self._running_by_id.values():
            if call.greenlet is greenlet and call.asked:
                call.abandoned = True
                self._cancel_later(call)
                return False
        return True

    def _run(self, request, run: Callable):
        call_id = request.call_id
        if not call_id:
            return run(request)
        self._expire_voids()
        if call_id in self._void_since_by_id:
            return ttypes.ExecuteReply(
                request_id=request.request_id,
                outcome=ttypes.Outcome.NOT_RUN,
                reason=VOID_REASON,
                retry_after=0.0,
            )
        call = _RunningCall(gevent.getcurrent(), self._clock.now())
        self._running_by_id[call_id] = call
        reply = None
        try:
            reply = run(request)
            return reply
        finally:
            # Also reached when the caller went away; the outcome is then unknown.
            del self._running_by_id[call_id]
            self._keep(call_id, _EndedCall(call.arrived, reply, _size(reply)))
            call.outcome.set(reply)

    def _attach(self, call, wait):
        call.attached += 1
        call.asked += 1
        try:
            reply = call.outcome.get(timeout=wait / MILLIS_PER_SECOND)
        except gevent.Timeout:
            return ttypes.SettleReply(state=ttypes.CallState.RUNNING)
        except CallCancelled:
            if call.abandoned and call.attached == 1:
                call.greenlet.kill(CallCancelled, block=False)
            raise
        finally:
            call.attached -= 1
            if call.abandoned:
                self._cancel_later(call)
        return _settled(reply)

    def _cancel_later(self, call):
        seconds = ASKING_GRACE / MILLIS_PER_SECOND
        gevent.spawn_later(seconds, self._cancel_unless_asked, call, call.asked)

    def _cancel_unless_asked(self, call, asked_before):
        if call.attached or call.asked != asked_before or call.outcome.ready():
            return
        call.greenlet.kill(CallCancelled, block=False)

    def _void(self, call_id, sent):
        self._expire_voids()
        reaches_back = sent > self._horizon
        if not reaches_back or len(self._void_since_by_id) >= MAX_VOID_CALLS:
            return _settled(None)
        self._void_since_by_id[call_id] = self._awake.now()
        return ttypes.SettleReply(state=ttypes.CallState.NEVER)

    def _expire_voids(self):
        now = self._awake.now()
        # In the order of insertion.
        for call_id, since in tuple(self._void_since_by_id.items()):
            if now - since <= VOID_HOLD:
                return
            del self._void_since_by_id[call_id]

    def _keep(self, call_id, ended):
        self._ended_by_id[call_id] = ended
        if ended.reply is not None:
            self._kept_replies.append(ended)
            self._reply_bytes += ended.reply_bytes
        while self._reply_bytes > MAX_REPLY_BYTES:
            self._drop_reply(self._kept_replies.popleft())
        while len(self._ended_by_id) > MAX_ENDED_CALLS:
            _, oldest = self._ended_by_id.popitem(last=False)
            self._horizon = max(self._horizon, oldest.arrived)
            self._drop_reply(oldest)
        while self._kept_replies and self._kept_replies[0].reply is None:
            self._kept_replies.popleft()

    def _drop_reply(self, ended):
        """Forget a reply but not that its call ran."""
        self._reply_bytes -= ended.reply_bytes
        ended.reply, ended.reply_bytes = None, 0


def _settled(reply: ttypes.ExecuteReply | None) -> ttypes.SettleReply:
    if reply is None:
        return ttypes.SettleReply(state=ttypes.CallState.UNKNOWN)
    return ttypes.SettleReply(state=ttypes.CallState.ENDED, reply=reply)


def _size(reply: ttypes.ExecuteReply | None) -> int:
    return len(reply.body or b"") if reply is not None else 0
