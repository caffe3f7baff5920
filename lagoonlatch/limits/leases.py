"""Leases of tokens from the point of view of their holder."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from lagoonlatch.clock import Millis
from lagoonlatch.limits.grants import MAX_CLOCK_DRIFT_RATIO, Settlement


@dataclass
class HeldLease:
    """Tokens that another VM granted to this one for a limited time.

    Parameters
    ----------
    lender : str
        The VM that granted the tokens.
    scope : str
        The region whose shard the tokens come from.
    available : float
        Tokens that this VM may still spend or sublet.
    ends_at : Millis
        End of the lease on this VM's clock; its duration counts from sending the
        request.
    spent : float
        Tokens known to be spent, here or by the holders of subleases.
    sublent : float
        Tokens in subleases that have not been settled.
    reported : float
        The value of `spent` that the lender has confirmed.
    closed : bool
        Whether this VM has returned the rest.
    spent_at : Millis
        When the last of the spent tokens was spent, or a later time.
    """

    lender: str
    scope: str
    request_id: int
    available: float
    ends_at: Millis
    used_at: Millis
    spent: float = 0.0
    sublent: float = 0.0
    reported: float = 0.0
    closed: bool = False
    spent_at: Millis = 0.0

    def is_live(self, now: Millis) -> bool:
        """Return whether tokens of this lease may be spent now."""
        return not self.closed and now < self.ends_at

    def remaining(self, now: Millis) -> Millis:
        """Return how long the lease still lasts."""
        return self.ends_at - now

    def spend(self, tokens: float, now: Millis) -> None:
        """Count drawn `tokens` as spent now."""
        self.spent += tokens
        self.spent_at = now

    def confirm_spent(self, tokens: float, spent_at: Millis) -> None:
        """Count sublet `tokens` as spent at `spent_at` or before."""
        self.sublent -= tokens
        self.spent += tokens
        self.spent_at = max(self.spent_at, spent_at)

    def restore(self, tokens: float) -> None:
        """Count sublet `tokens` as available again."""
        self.sublent -= tokens
        self.available += tokens

    def close(self) -> None:
        """Return the remaining tokens to the lender; no sublease may be open."""
        assert self.sublent == 0.0, f"{self.sublent} tokens of the lease are sublet"
        self.closed = True
        self.available = 0.0

    def settlement(self, now: Millis) -> Settlement:
        """Return the settlement to report to the lender.

        Its age is reduced by `MAX_CLOCK_DRIFT_RATIO`, so that it is a lower bound on
        the lender's clock too.
        """
        age = (now - self.spent_at) * (1.0 - MAX_CLOCK_DRIFT_RATIO)
        return Settlement(self.request_id, self.spent, self.closed, age)


class HeldLeases:
    """The leases of one bucket that this VM holds."""

    def __init__(self) -> None:
        self._lease_by_request_id: dict[int, HeldLease] = {}

    def __len__(self) -> int:
        return len(self._lease_by_request_id)

    def add(self, lease: HeldLease) -> None:
        """Add a lease."""
        self._lease_by_request_id[lease.request_id] = lease

    def available(self, now: Millis) -> float:
        """Return the tokens that may be spent now."""
        return sum(lease.available for lease in self.live(now))

    def spend(self, tokens: float, now: Millis) -> bool:
        """Spend `tokens`; spend nothing if there are fewer."""
        if self.available(now) < tokens:
            return False
        for lease, amount in self.draw(tokens, now):
            lease.spend(amount, now)
        return True

    def draw(
        self, tokens: float, now: Millis, min_remaining: Millis = 0.0
    ) -> list[tuple[HeldLease, float]]:
        """Subtract up to `tokens` from the leases, starting with those that end first.

        Parameters
        ----------
        min_remaining : Millis
            Leases with less remaining time are skipped.

        Returns
        -------
        list of (HeldLease, float)
            The tokens subtracted from each lease.
        """
        drawn = []
        for lease in sorted(self.live(now), key=lambda lease: lease.ends_at):
            amount = min(tokens, lease.available)
            if amount <= 0.0 or lease.remaining(now) < min_remaining:
                continue
            lease.available -= amount
            lease.used_at = now
            tokens -= amount
            drawn.append((lease, amount))
        return drawn

    def close_idle(self, now: Millis, idle_time: Millis) -> None:
        """Close leases that were not used for `idle_time` milliseconds."""
        for lease in self.live(now):
            if now - lease.used_at >= idle_time and lease.sublent == 0.0:
                lease.close()

    def unreported(self) -> dict[tuple[str, str], list[HeldLease]]:
        """Return the leases with unreported changes, by lender and scope."""
        leases_by_lender: dict[tuple[str, str], list[HeldLease]] = {}
        for lease in self._lease_by_request_id.values():
            if lease.closed or lease.spent > lease.reported:
                leases_by_lender.setdefault((lease.lender, lease.scope), []).append(
                    lease
                )
        return leases_by_lender

    def settlements_for(
        self, lender: str, scope: str, now: Millis
    ) -> tuple[Settlement, ...]:
        """Return the settlements to report to the owner of `scope`'s shard."""
        leases = self.unreported().get((lender, scope), ())
        return tuple(lease.settlement(now) for lease in leases)

    def acknowledge(self, settlements: tuple[Settlement, ...]) -> None:
        """Record that the lender has applied `settlements`."""
        for settlement in settlements:
            lease = self._lease_by_request_id.get(settlement.request_id)
            if lease is None:
                continue
            lease.reported = max(lease.reported, settlement.spent)
            if settlement.closed:
                del self._lease_by_request_id[settlement.request_id]

    def prune(self, now: Millis) -> None:
        """Remove leases that have ended."""
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
