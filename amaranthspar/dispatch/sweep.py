"""Turns in which a gateway looks after its sidecars."""

from collections.abc import Mapping

from amaranthspar.dispatch import routing

MAX_BATCHES = 8
BATCH_ROUTES = 100


class Sweep:
    """Divides sidecars over ticks, so that none looks at thousands of them.

    Every sidecar comes within `MAX_BATCHES` ticks, and at each tick while there are
    fewer than `BATCH_ROUTES`.

    Args:
        routes: Sidecars by process name; may change at any time.
    """

    def __init__(self, routes: Mapping[str, routing.Route]) -> None:
        self._routes = routes
        self._batches: list[list[routing.Route]] = []

    @property
    def is_complete(self) -> bool:
        """Whether every sidecar has had its turn since the round began."""
        return not self._batches

    def take_batch(self) -> list[routing.Route]:
        """Return the sidecars to look after now."""
        if not self._batches:
            routes = list(self._routes.values())
            count = min(MAX_BATCHES, 1 + len(routes) // BATCH_ROUTES)
            self._batches = [routes[first::count] for first in range(count)]
        batch = self._batches.pop()
        return [item for item in batch if self._is_current(item)]

    def _is_current(self, route: routing.Route) -> bool:
        return self._routes.get(route.member.process) is route
