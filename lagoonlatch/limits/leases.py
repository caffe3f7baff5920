"""Leased tokens as their holder sees them."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from lagoonlatch.clock import Millis
from lagoonlatch.limits.grants import DRIFT_PART, Settlement


@dataclass
class HeldLease:
    """Tokens that another VM granted to this one for a while.

    Parameters
    ----------
    lender : str
        The VM that granted them.
    scope : str
        The region whose shard they come from.
    available : float
        Tokens that this VM may still spend or lend on.
    ends_at : Millis
        Counted from when the request was sent, on this VM's clock.
    spent : float
        Tokens surely spent, here or by those they were lent on to.
    lent_on : float
        Tokens lent on and not heard of since.
    reported : float
        The value of `spent` that the lender has confirmed.
    closed : bool
        Whether this VM has given the rest back.
    spent_at : Millis
        When the last of `spent` was spent, or later.
    """

    lender: str
    scope: str
    request_id: int
    available: float
    ends_at: Millis
    used_at: Millis
    spent: float = 0.0
    lent_on: float = 0.0
    reported: float = 0.0
    closed: bool = False
    spent_at: Millis = 0.0

    def is_live(self, now: Millis) -> bool:
        """Return whether tokens of it may be spent now."""
        return not self.closed and now < self.ends_at

    def remaining(self, now: Millis) -> Millis:
        """Return how long it still lasts."""
        return self.ends_at - now

    def spend(self, tokens: float, now: Millis) -> None:
        """Count `tokens` that were drawn as spent now."""
        self.spent += tokens
        self.spent_at = now

    def confirm(self, tokens: float, spent_at: Millis) -> None:
        """Count `tokens` that were lent on as spent at `spent_at` or before."""
        self.lent_on -= tokens
        self.spent += tokens
        self.spent_at = max(self.spent_at, spent_at)

    def take_back(self, tokens: float) -> None:
        """Count `tokens` that were lent on as available again."""
        self.lent_on -= tokens
        self.available += tokens

    def close(self) -> None:
        """Give up the rest; only while none of it is lent on."""
        assert self.lent_on == 0.0, f"{self.lent_on} tokens are lent on"
        self.closed = True
        self.available = 0.0

    def settlement(self, now: Millis) -> Settlement:
        """Return what the lender should know."""
        age = (now - self.spent_at) * (1.0 - DRIFT_PART)
        return Settlement(self.request_id, self.spent, self.closed, age)


class HeldLeases:
    """The leases of one bucket that this VM holds."""

    def __init__(self) -> None:
        self._lease_by_request_id: dict[int, HeldLease] = {}

    def __len__(self) -> int:
        return len(self._lease_by_request_id)

    def add(self, lease: HeldLease) -> None:
        """Hold one more lease."""
        self._lease_by_request_id[lease.request_id] = lease

    def available(self, now: Millis) -> float:
        """Return the tokens that may be spent now."""
        return sum(lease.available for lease in self.live(now))

    def spend(self, tokens: float, now: Millis) -> bool:
        """Spend `tokens`, or nothing if there are fewer."""
        if self.available(now) < tokens:
            return False
        for lease, part in self.draw(tokens, now):
            lease.spend(part, now)
        return True

    def draw(
        self, tokens: float, now: Millis, least_remaining: Millis = 0.0
    ) -> list[tuple[HeldLease, float]]:
        """Take up to `tokens` out of the leases, those that end first to begin with.

        Parameters
        ----------
        least_remaining : Millis
            Leases that end sooner are left out.

        Returns
        -------
        list of (HeldLease, float)
            What was taken from which lease.
        """
        drawn = []
        for lease in sorted(self.live(now), key=lambda lease: lease.ends_at):
            part = min(tokens, lease.available)
            if part <= 0.0 or lease.remaining(now) < least_remaining:
                continue
            lease.available -= part
            lease.used_at = now
            tokens -= part
            drawn.append((lease, part))
        return drawn

    def close_idle(self, now: Millis, idle: Millis) -> None:
        """Give back what was not used for `idle` milliseconds."""
        for lease in self.live(now):
            if now - lease.used_at >= idle and lease.lent_on == 0.0:
                lease.close()

    def unreported(self) -> dict[tuple[str, str], list[HeldLease]]:
        """Return the leases with news, by lender and scope."""
        news: dict[tuple[str, str], list[HeldLease]] = {}
        for lease in self._lease_by_request_id.values():
            if lease.closed or lease.spent > lease.reported:
                news.setdefault((lease.lender, lease.scope), []).append(lease)
        return news

    def settlements_for(
        self, lender: str, scope: str, now: Millis
    ) -> tuple[Settlement, ...]:
        """Return what the owner of `scope`'s shard should know."""
        leases = self.unreported().get((lender, scope), ())
        return tuple(lease.settlement(now) for lease in leases)

    def acknowledge(self, settlements: tuple[Settlement, ...]) -> None:
        """Note that the lender has taken in `settlements`."""
        for settlement in settlements:
            lease = self._lease_by_request_id.get(settlement.request_id)
            if lease is None:
                continue
            lease.reported = max(lease.reported, settlement.spent)
            if settlement.closed:
                del self._lease_by_request_id[settlement.request_id]

    def prune(self, now: Millis) -> None:
        """Forget leases that have ended."""
        ended = [
            request_id
            for request_id, lease in self._lease_by_request_id.items()
            if now >= lease.ends_at
        ]
        for request_id in ended:
            del self._lease_by_request_id[request_id]

    def live(self, now: Millis) -> Iterator[HeldLease]:
        """Iterate over the leases that may be spent now."""
        return (
            lease for lease in self._lease_by_request_id.values() if lease.is_live(now)
        )
