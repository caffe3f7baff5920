"""What load to send."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis


@dataclass(frozen=True, kw_only=True)
class Stream:
    """Requests of one organisation and kind, from callers at one address.

    Parameters
    ----------
    organisation : str
        Its id, as in the configuration.
    key : str
        The key that its callers show.
    kind : str
        Name of the kind in reports, such as ``read``.
    service : str
        The service called.
    method, path : str
        ``{}`` in the path is replaced by a number that differs for each request.
    rate : float
        Requests a second, on average; arrivals are a Poisson process.
    source : str
        IP address that the callers send from; empty leaves it to the system.
    begins, ends : Millis
        When the stream sends, counted from the start of the load.
    """

    organisation: str
    key: str
    kind: str
    service: str
    method: str
    path: str
    rate: float
    source: str = ""
    begins: Millis = 0.0
    ends: Millis = float("inf")

    @property
    def idempotent(self) -> bool:
        """Whether callers send a request again that got no answer."""
        return self.method in ("GET", "HEAD")


@dataclass(frozen=True, kw_only=True)
class LoadPlan:
    """The streams of one run.

    Parameters
    ----------
    streams : tuple of Stream
        Sent at the same time.
    duration : Millis
        How long requests become due.
    seed : int
        Fixes the arrivals.
    """

    streams: tuple[Stream, ...]
    duration: Millis
    seed: int = 1

    def arrivals(self, index: int) -> Iterator[Millis]:
        """Yield when the requests of a stream are due, from the start of the load."""
        stream = self.streams[index]
        source = random.Random(f"{self.seed}/{index}")
        ends = min(stream.ends, self.duration)
        due = stream.begins
        while True:
            due += source.expovariate(stream.rate) * MILLIS_PER_SECOND
            if due >= ends:
                return
            yield due
