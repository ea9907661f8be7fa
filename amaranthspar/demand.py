"""Reports by which a gateway tells sidecars of the work that it holds."""

from collections.abc import Iterable

from amaranthspar import backlog, effects, messages, routing

DEMAND_INTERVAL_MS = 100


class Demand:
    """States what waits in a gateway.

    Args:
        waiting: Tasks that wait.
    """

    def __init__(self, waiting: backlog.Backlog) -> None:
        self._backlog = waiting

    def report(
        self, routes: Iterable[routing.Route], now_ms: int
    ) -> list[effects.Send]:
        """Tell sidecars of work that waits without credits.

        Args:
            routes: Sidecars of the gateway.
            now_ms: Monotonic time in ms.
        """
        if not len(self._backlog):
            return []
        return [
            self.state(route, now_ms)
            for route in routes
            if now_ms - route.demand_ms >= DEMAND_INTERVAL_MS
        ]

    def state(self, route: routing.Route, now_ms: int) -> effects.Send:
        """Return the demand as a message to one sidecar.

        Args:
            route: Sidecar that is told.
            now_ms: Monotonic time in ms.
        """
        route.demand_ms = now_ms
        demand = messages.ReportDemand(
            route.member.incarnation,
            len(self._backlog),
            self._backlog.measure_oldest_wait(now_ms),
            route.sent,
            route.acknowledged,
            route.limit,
        )
        return effects.Send(route.member.address, demand)
