"""Reports by which a gateway tells sidecars of the work that it holds."""

from amaranthspar import effects
from amaranthspar.dispatch import backlog, routing
from amaranthspar.schema import messages

KEEP_ALIVE_MS = 4000
IDLE_KEEP_ALIVE_MS = 8000
WAITING_MS = 2000
ACKNOWLEDGE_MS = 1000
APPEAL_WAIT_MS = 10
APPEAL_INTERVAL_MS = 20
APPEAL_SIDECARS = 2


class Demand:
    """States what waits in a gateway.

    Args:
        waiting: Tasks that wait.
    """

    def __init__(self, waiting: backlog.Backlog) -> None:
        self._backlog = waiting
        self._appealed_ms = 0
        self._turn = 0

    def appeal(self, routes: list[routing.Route], now_ms: int) -> list[effects.Send]:
        """Ask a few sidecars in turn for slots when requests wait for a response.

        A gateway with tasks at most sidecars needs no appeal: its results bring
        credits, and news of slots that lie idle elsewhere.

        Args:
            routes: Sidecars that may be sent new work.
            now_ms: Monotonic time in ms.
        """
        if not routes or now_ms - self._appealed_ms < APPEAL_INTERVAL_MS:
            return []
        if self._backlog.measure_oldest_wait(now_ms) < APPEAL_WAIT_MS:
            return []
        self._appealed_ms = now_ms
        if sum(len(route.in_flight) for route in routes) >= len(routes):
            return []
        result = []
        for _ in range(min(APPEAL_SIDECARS, len(routes))):
            self._turn = (self._turn + 1) % len(routes)
            result.append(self.state(routes[self._turn], len(routes), now_ms))
        return result

    def divide(self, sidecars: int) -> int:
        """Return one sidecar's part of the waiting tasks.

        Args:
            sidecars: Sidecars that share them.
        """
        return -(-len(self._backlog) // max(1, sidecars))

    def state(self, route: routing.Route, sidecars: int, now_ms: int) -> effects.Send:
        """Return the demand as a message to one sidecar.

        Args:
            route: Sidecar that is told.
            sidecars: Sidecars of the gateway.
            now_ms: Monotonic time in ms.
        """
        route.last_demand_ms = now_ms
        route.acknowledged_sent = route.acknowledged
        demand = messages.ReportDemand(
            route.member.incarnation,
            self.divide(sidecars),
            self._backlog.measure_oldest_wait(now_ms),
            route.sent,
            route.acknowledged,
            route.credit_limit,
        )
        return effects.Send(route.member.address, demand)

    def is_due(self, route: routing.Route, now_ms: int) -> bool:
        """Return whether a sidecar has not been told of results or work for long.

        Args:
            route: Sidecar.
            now_ms: Monotonic time in ms.
        """
        holding = route.credits > 0 or bool(route.in_flight)
        interval_ms = KEEP_ALIVE_MS if holding else IDLE_KEEP_ALIVE_MS
        if len(self._backlog):
            interval_ms = WAITING_MS
        if route.acknowledged > route.acknowledged_sent:
            interval_ms = ACKNOWLEDGE_MS
        return now_ms - route.last_demand_ms >= interval_ms
