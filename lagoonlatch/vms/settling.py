"""Calls whose outcome is asked after when their connection brings no answer."""

from __future__ import annotations

from typing import Any, Protocol

from returns.result import Failure, Result, Success

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.vms.client_connection import ClientConnection
from lagoonlatch.vms.errors import PeerError, PeerOutcomeUnknown, PeerUnreachable
from lagoonlatch.vms.generated import ttypes

ASKING_WAIT: Millis = 1_000.0
"""How long the peer waits for the end of the call before it says that it runs."""

ASKING_SLACK: Millis = 1_000.0
"""How long the peer's word may take beyond that."""

ASKING_PAUSE: Millis = 200.0
"""Before asking again when the peer could not be asked."""

MOST_UNHEARD = 3
"""A peer whose connection ended and that can't be asked so often is gone."""

LAST_READ: Millis = 50.0
"""For reading an answer that has arrived by the deadline."""

SHORTEST_LOOK: Millis = 1.0
CLOCK_RATE_MARGIN = 1.01


class CallVoided(PeerUnreachable):
    """The peer will not run the call should it still arrive; it may be sent anew."""


class Caller(Protocol):
    """The calls that asking needs; see `PeerClients`."""

    def call(
        self,
        address: str,
        port: int,
        method_name: str,
        *args: Any,
        deadline: Millis,
        fresh: bool = False,
    ) -> Result[Any, PeerError]:
        """Call a method of a peer."""

    def drop_idle(self, address: str, port: int) -> None:
        """Close the idle connections to a peer."""


class SettledCall:
    """One call that was sent.

    Parameters
    ----------
    caller : Caller
        Asks over other connections.
    endpoint : tuple of (str, int)
        The peer.
    call_id : str
        Names the call.
    incarnation : int
        The run of the peer that it was sent to.
    sent_at, ends : Millis
        When it was sent and when its deadline ends.

    See Also
    --------
    lagoonlatch.vms.ledger : What the peer answers, and why it may be believed.
    """

    def __init__(
        self,
        caller: Caller,
        clock: Clock,
        endpoint: tuple[str, int],
        call_id: str,
        incarnation: int,
        sent_at: Millis,
        ends: Millis,
    ) -> None:
        self._caller = caller
        self._clock = clock
        self._endpoint = endpoint
        self._call_id = call_id
        self._incarnation = incarnation
        self._sent_at = sent_at
        self._ends = ends
        self._fresh = True
        self._pause = ASKING_PAUSE

    def receive(
        self, connection: ClientConnection, patience: Millis
    ) -> Result[Any, PeerError]:
        """Return the answer, from the call's connection or by asking after it.

        Parameters
        ----------
        connection : ClientConnection
            The one that the call was sent on.
        patience : Millis
            How long to wait before asking.
        """
        if connection.wait(min(patience, self._remaining())):
            return self._receive(connection)
        # The connection may have gone silent; the idle ones share its path.
        self._caller.drop_idle(*self._endpoint)
        while self._remaining() > 0:
            told = self._ask()
            can_not_tell = told is not None and _is_unknown(told)
            if told is not None and not can_not_tell:
                return told
            pause = self._remaining() if can_not_tell else self._pause
            if connection.wait(pause):
                return self._receive(connection)
        return connection.receive(LAST_READ)

    def _receive(self, connection):
        """Receive an answer that has begun, or ask if the connection has ended."""
        answer = connection.receive(max(self._remaining(), LAST_READ))
        unheard = 0
        while isinstance(answer, Failure) and self._remaining() > 0:
            told = self._ask()
            if told is not None:
                return told
            # Once the peer is gone nobody can tell, so the answer is not put off.
            unheard = unheard + 1 if self._fresh else 0
            if unheard >= MOST_UNHEARD:
                break
            self._clock.sleep(min(self._pause, self._remaining()))
        return answer

    def _ask(self) -> Result[Any, PeerError] | None:
        """Return what the peer says of the call; None: ask again."""
        wait = min(ASKING_WAIT, self._remaining())
        deadline = min(wait + ASKING_SLACK, self._remaining())
        latest = self._clock.now() + deadline - self._sent_at
        request = ttypes.SettleRequest(
            call_id=self._call_id,
            incarnation=self._incarnation,
            since_sent=latest * CLOCK_RATE_MARGIN,
            wait=wait,
        )
        answer = self._caller.call(
            *self._endpoint, "settle", request, deadline=deadline, fresh=self._fresh
        )
        self._fresh = not isinstance(answer, Success)
        self._pause = ASKING_PAUSE if self._fresh else SHORTEST_LOOK
        if self._fresh:
            return None
        return _told(answer.unwrap())

    def _remaining(self):
        return self._ends - self._clock.now()


def _told(reply: ttypes.SettleReply) -> Result[Any, PeerError] | None:
    match reply.state:
        case ttypes.CallState.ENDED:
            return Success(reply.reply)
        case ttypes.CallState.NEVER:
            return Failure(CallVoided("it never arrived and is void now"))
        case ttypes.CallState.RUNNING:
            return None
    return Failure(PeerOutcomeUnknown("the peer can't tell"))


def _is_unknown(told: Result[Any, PeerError]) -> bool:
    return isinstance(told, Failure) and isinstance(told.failure(), PeerOutcomeUnknown)
