"""Planned moves of a share of the requests from one region to another."""

from __future__ import annotations

from dataclasses import dataclass

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.config.model import Configuration, Move

MOVE_BUCKET_PREFIX = "move:"
INITIAL_FRACTION_OF_SHARE_CAP = 0.05
GROWTH_FACTOR_PER_SECOND = 1.15
BACKOFF_FACTOR = 0.5
BACKOFF_INTERVAL: Millis = 1_000.0
RATE_CAP_BURST_SECONDS = 0.1


def move_bucket_id(move_id: str) -> str:
    """Return the id of the token bucket that enforces a move's rate cap."""
    return MOVE_BUCKET_PREFIX + move_id


def rate_cap_burst(move: Move) -> int:
    """Return how many moved requests may arrive at the same time."""
    return max(int(move.rate_cap * RATE_CAP_BURST_SECONDS), 1)


@dataclass
class _MoveState:
    """The current share of a move, and the state that limits it."""

    move: Move
    share: float
    last_grown_at: Millis
    last_backoff_at: Millis
    accumulated_share: float = 0.0
    blocked_until: Millis = 0.0


class MovePlanner:
    """Decides for each request of a source region whether it is moved.

    Each VM moves at most the move's share of the requests that it receives, so the
    share also limits the whole fleet. The share starts small and grows while moved
    requests are answered. It is halved when the destination fails to serve a moved
    request, or refuses it for a reason other than the rate cap. The rate cap, in
    requests per second, is enforced at the destination by the token bucket
    `move_bucket_id`. When it is used up, no request is moved until the refusal's
    `retry_after` has passed.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._state_by_id: dict[str, _MoveState] = {}
        self._ids_by_source: dict[tuple[str, str], list[str]] = {}

    def configure(self, configuration: Configuration) -> None:
        """Apply a new configuration; unchanged moves keep their state."""
        now = self._clock.now()
        state_by_id = {}
        ids_by_source: dict[tuple[str, str], list[str]] = {}
        for move_id, move in configuration.moves_by_id.items():
            state = self._state_by_id.get(move_id)
            if state is None or state.move != move:
                state = _MoveState(
                    move, INITIAL_FRACTION_OF_SHARE_CAP * move.share_cap, now, now
                )
            state_by_id[move_id] = state
            ids_by_source.setdefault((move.service, move.source), []).append(move_id)
        self._state_by_id = state_by_id
        self._ids_by_source = ids_by_source

    def select_move(self, service: str, source: str) -> str:
        """Return the id of the move that applies to the next request, or empty.

        Parameters
        ----------
        service : str
            The requested service.
        source : str
            The region that would serve the request without a move.
        """
        for move_id in self._ids_by_source.get((service, source), ()):
            if self._should_move(self._state_by_id[move_id]):
                return move_id
        return ""

    def destination(self, move_id: str) -> str:
        """Return the destination region of a move."""
        return self._state_by_id[move_id].move.destination

    def record_success(self, move_id: str) -> None:
        """Record that a moved request was answered, and increase the share."""
        state = self._state_by_id.get(move_id)
        if state is None:
            return
        now = self._clock.now()
        seconds = (now - state.last_grown_at) / MILLIS_PER_SECOND
        grown_share = state.share * GROWTH_FACTOR_PER_SECOND**seconds
        state.share = min(grown_share, state.move.share_cap)
        state.last_grown_at = now

    def record_cap_refusal(self, move_id: str, retry_after: Millis) -> None:
        """Record that the rate cap is used up, and move nothing for `retry_after`."""
        state = self._state_by_id.get(move_id)
        if state is not None:
            state.blocked_until = self._clock.now() + retry_after

    def record_failure(self, move_id: str) -> None:
        """Record that the destination failed to serve a request; reduce the share."""
        state = self._state_by_id.get(move_id)
        if state is None:
            return
        now = self._clock.now()
        state.last_grown_at = now
        if now - state.last_backoff_at < BACKOFF_INTERVAL:
            return
        state.last_backoff_at = now
        min_share = INITIAL_FRACTION_OF_SHARE_CAP * state.move.share_cap
        state.share = max(state.share * BACKOFF_FACTOR, min_share)

    def _should_move(self, state: _MoveState) -> bool:
        state.accumulated_share = min(state.accumulated_share + state.share, 1.0)
        if state.accumulated_share < 1.0 or self._clock.now() < state.blocked_until:
            return False
        state.accumulated_share -= 1.0
        return True
