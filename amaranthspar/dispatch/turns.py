"""Turns in which a gateway looks after its sidecars."""

from collections.abc import Mapping

from amaranthspar.dispatch import routing

MOST_TURNS = 8
ROUTES_A_TURN = 100


class Turns:
    """Divides sidecars over ticks, so that none looks at thousands of them.

    Every sidecar comes within `MOST_TURNS` ticks, and at each tick while there are
    fewer than `ROUTES_A_TURN`.

    Args:
        routes: Sidecars by process name; may change at any time.
    """

    def __init__(self, routes: Mapping[str, routing.Route]) -> None:
        self._routes = routes
        self._left: list[list[routing.Route]] = []

    @property
    def is_round_over(self) -> bool:
        """Whether every sidecar has had its turn since the round began."""
        return not self._left

    def take(self) -> list[routing.Route]:
        """Return the sidecars to look after now."""
        if not self._left:
            routes = list(self._routes.values())
            count = min(MOST_TURNS, 1 + len(routes) // ROUTES_A_TURN)
            self._left = [routes[first::count] for first in range(count)]
        turn = self._left.pop()
        return [item for item in turn if self._is_current(item)]

    def _is_current(self, route: routing.Route) -> bool:
        return self._routes.get(route.member.process) is route
