"""The retry budget of one VM."""

from __future__ import annotations

RETRY_SHARE = 0.1
"""Retries allowed per request. As each VM keeps to the limit, the fleet does too."""
MAX_RETRY_BURST = 10.0
"""Number of retries that may be made in a burst."""


class RetryBudget:
    """Allows retries in proportion to the number of requests."""

    def __init__(
        self, share: float = RETRY_SHARE, max_burst: float = MAX_RETRY_BURST
    ) -> None:
        self._share = share
        self._max_burst = max_burst
        self._available = max_burst

    def record_request(self) -> None:
        """Add the share of one request to the budget."""
        self._available = min(self._available + self._share, self._max_burst)

    def consume(self) -> bool:
        """Return whether a retry is allowed, and deduct it from the budget."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
