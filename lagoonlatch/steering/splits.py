"""Split of a route's requests among its services, exactly by weight."""

from __future__ import annotations

from lagoonlatch.steering.model import Route


class Splitter:
    """Splits the requests of each route by smooth weighted round robin."""

    def __init__(self) -> None:
        self._credit_by_route_and_service: dict[tuple[str, str], float] = {}

    def choose(self, route: Route) -> str:
        """Return the id of the service for the next request of `route`."""
        if len(route.parts) == 1:
            return route.parts[0].service
        total = sum(part.weight for part in route.parts)
        best = route.parts[0].service
        best_credit = float("-inf")
        for part in route.parts:
            key = (route.id, part.service)
            credit = self._credit_by_route_and_service.get(key, 0.0) + part.weight
            self._credit_by_route_and_service[key] = credit
            if part.weight > 0.0 and credit > best_credit:
                best, best_credit = part.service, credit
        self._credit_by_route_and_service[route.id, best] = best_credit - total
        return best
