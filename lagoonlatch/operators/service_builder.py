"""A service of a configuration that is being built."""

from __future__ import annotations

from typing import Any

from lagoonlatch.clock import Millis
from lagoonlatch.config.model import Route, Service, Upstream


class FleetService:
    """A service being defined; `Fleet.service` makes it."""

    def __init__(self, service: str, deadline: Millis) -> None:
        self.id = service
        self._deadline = float(deadline)
        self._routes: list[Route] = []
        self._upstreams_by_id: dict[str, Upstream] = {}

    def read(
        self, path_prefix: str, *, method: str = "GET", open: bool = False
    ) -> None:
        """Add a route whose requests may be sent to an upstream again.

        Parameters
        ----------
        path_prefix : str
            Begins with ``/``; the longest matching prefix decides.
        method : str
            An HTTP method, or ``*`` for all.
        open : bool
            Whether requests need no key.
        """
        self._add_route(method, path_prefix, idempotent=True, open=open)

    def write(
        self, path_prefix: str, *, method: str = "POST", open: bool = False
    ) -> None:
        """Add a route whose requests run at most once.

        Parameters
        ----------
        path_prefix : str
            Begins with ``/``; the longest matching prefix decides.
        method : str
            An HTTP method, or ``*`` for all.
        open : bool
            Whether requests need no key.
        """
        self._add_route(method, path_prefix, idempotent=False, open=open)

    def upstream(
        self,
        upstream: str,
        data_centre: str,
        address: str,
        *,
        slots: int,
        connections: int,
    ) -> None:
        """Add an upstream instance.

        Parameters
        ----------
        upstream : str
            Its id.
        data_centre : str
            Where it stands.
        address : str
            ``IP:port`` of its HTTP server.
        slots : int
            Requests that it runs at once.
        connections : int
            Connections that it holds.
        """
        define(
            self._upstreams_by_id,
            f"upstream of {self.id}",
            upstream,
            Upstream(
                data_centre=data_centre,
                address=address,
                slots=slots,
                connections=connections,
            ),
        )

    def build(self) -> Service:
        """Return the service, not checked."""
        return Service(
            routes=tuple(self._routes),
            upstreams_by_id=dict(self._upstreams_by_id),
            deadline=self._deadline,
        )

    def _add_route(self, method, path_prefix, *, idempotent, open):
        self._routes.append(
            Route(
                method=method,
                path_prefix=path_prefix,
                idempotent=idempotent,
                open=open,
            )
        )


def define(items_by_id: dict[str, Any], kind: str, item_id: str, item: Any) -> None:
    """Add an item to a collection.

    Raises
    ------
    ValueError
        If its id is taken; the message quotes it.
    """
    if item_id in items_by_id:
        raise ValueError(f"{kind} {item_id!r} is defined twice")
    items_by_id[item_id] = item
