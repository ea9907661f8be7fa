"""Periodic pass over the sidecars of a gateway, in batches."""

from collections.abc import Mapping

from amaranthspar.dispatch import routing

MAX_BATCHES = 8
BATCH_ROUTES = 100


class Sweep:
    """Spreads the sidecars over ticks, so that no tick handles thousands of them.

    Every sidecar is handled within `MAX_BATCHES` ticks, and at each tick while
    there are fewer than `BATCH_ROUTES`.

    Args:
        routes: Routes to the sidecars, by process name; may change at any time.
    """

    def __init__(self, routes: Mapping[str, routing.Route]) -> None:
        self._routes = routes
        self._batches: list[list[routing.Route]] = []

    @property
    def is_complete(self) -> bool:
        """Whether every sidecar has been handled since the sweep began."""
        return not self._batches

    def take_batch(self) -> list[routing.Route]:
        """Return the routes to handle now."""
        if not self._batches:
            routes = list(self._routes.values())
            count = min(MAX_BATCHES, 1 + len(routes) // BATCH_ROUTES)
            self._batches = [routes[first::count] for first in range(count)]
        batch = self._batches.pop()
        return [item for item in batch if self._is_current(item)]

    def _is_current(self, route: routing.Route) -> bool:
        return self._routes.get(route.member.process) is route
