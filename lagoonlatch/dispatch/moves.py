"""Planned moves: which requests of the source region go to the destination."""

from __future__ import annotations

from dataclasses import dataclass

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.config.model import Configuration, Move

MOVE_BUCKET_PREFIX = "move:"
START_SHARE = 0.05
GROWTH_PER_SECOND = 1.15
BACK_OFF = 0.5
BACK_OFF_INTERVAL: Millis = 1_000.0
CAP_BURST_SECONDS = 0.1


def move_bucket_id(move_id: str) -> str:
    """Return the id of the bucket that holds a move's cap."""
    return MOVE_BUCKET_PREFIX + move_id


def rate_cap_burst(move: Move) -> int:
    """Return how many moved requests may come at once."""
    return max(int(move.rate_cap * CAP_BURST_SECONDS), 1)


@dataclass
class _Progress:
    move: Move
    share: float
    grown_at: Millis
    backed_off_at: Millis
    credit: float = 0.0
    blocked_until: Millis = 0.0


class MovePlanner:
    """Decides for each request of a source region whether it is moved.

    Each VM moves at most the move's share of the requests it sees, so the fleet
    does too. The share starts small and grows while moved requests are answered;
    it is halved when the destination refuses or fails. The cap in requests a
    second is enforced at the destination, by the bucket `move_bucket_id`.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._progress_by_id: dict[str, _Progress] = {}
        self._ids_by_source: dict[tuple[str, str], list[str]] = {}

    def configure(self, configuration: Configuration) -> None:
        """Follow a new configuration; unchanged moves keep their progress."""
        now = self._clock.now()
        progress_by_id = {}
        ids_by_source: dict[tuple[str, str], list[str]] = {}
        for move_id, move in configuration.moves_by_id.items():
            known = self._progress_by_id.get(move_id)
            if known is None or known.move != move:
                known = _Progress(move, START_SHARE * move.share_cap, now, now)
            progress_by_id[move_id] = known
            ids_by_source.setdefault((move.service, move.source), []).append(move_id)
        self._progress_by_id = progress_by_id
        self._ids_by_source = ids_by_source

    def draw(self, service: str, source: str) -> str:
        """Return the id of the move that takes the next request, or empty.

        Parameters
        ----------
        service : str
            The service asked for.
        source : str
            The region that would serve the request without a move.
        """
        for move_id in self._ids_by_source.get((service, source), ()):
            if self._takes(self._progress_by_id[move_id]):
                return move_id
        return ""

    def destination(self, move_id: str) -> str:
        """Return the region that a move leads to."""
        return self._progress_by_id[move_id].move.destination

    def succeeded(self, move_id: str) -> None:
        """Note that a moved request was answered."""
        progress = self._progress_by_id.get(move_id)
        if progress is None:
            return
        now = self._clock.now()
        seconds = (now - progress.grown_at) / MILLIS_PER_SECOND
        grown = progress.share * GROWTH_PER_SECOND**seconds
        progress.share = min(grown, progress.move.share_cap)
        progress.grown_at = now

    def refused(self, move_id: str, retry_after: Millis) -> None:
        """Note that the cap is used up: move nothing for `retry_after`."""
        progress = self._progress_by_id.get(move_id)
        if progress is not None:
            progress.blocked_until = self._clock.now() + retry_after

    def failed(self, move_id: str) -> None:
        """Note that the destination could not serve a moved request."""
        progress = self._progress_by_id.get(move_id)
        if progress is None:
            return
        now = self._clock.now()
        progress.grown_at = now
        if now - progress.backed_off_at < BACK_OFF_INTERVAL:
            return
        progress.backed_off_at = now
        floor = START_SHARE * progress.move.share_cap
        progress.share = max(progress.share * BACK_OFF, floor)

    def _takes(self, progress: _Progress) -> bool:
        progress.credit = min(progress.credit + progress.share, 1.0)
        if progress.credit < 1.0 or self._clock.now() < progress.blocked_until:
            return False
        progress.credit -= 1.0
        return True
