"""Demand reports: messages that state a gateway's backlog to sidecars."""

from amaranthspar import effects
from amaranthspar.dispatch import backlog, routing
from amaranthspar.schema import messages

KEEP_ALIVE_INTERVAL_MS = 4000
"""Report interval for sidecars that hold tasks or credits of this gateway."""
IDLE_KEEP_ALIVE_INTERVAL_MS = 8000
"""Report interval for all other sidecars."""
BACKLOG_INTERVAL_MS = 2000
"""Report interval while tasks wait."""
ACKNOWLEDGE_INTERVAL_MS = 1000
"""Report interval while results are not acknowledged."""
REQUEST_WAIT_MS = 10
"""Wait of the oldest request at which a gateway starts to ask for credits."""
REQUEST_INTERVAL_MS = 20
REQUEST_SIDECARS = 2


class Demand:
    """Builds demand reports and decides when to send them.

    Args:
        queue: Backlog of waiting tasks.
    """

    def __init__(self, queue: backlog.Backlog) -> None:
        self._backlog = queue
        self._last_request_ms = 0
        self._last_index = 0

    def request_credits(
        self, routes: list[routing.Route], now_ms: int
    ) -> list[effects.Send]:
        """Ask a few sidecars, in rotation, for credits while requests wait.

        A gateway with at least as many tasks in flight as sidecars need not ask:
        the results that it receives carry credits and the number of idle slots
        for which it holds none.

        Args:
            routes: Routes that may be used for new tasks.
            now_ms: Monotonic time in ms.
        """
        if not routes or now_ms - self._last_request_ms < REQUEST_INTERVAL_MS:
            return []
        if self._backlog.measure_oldest_wait(now_ms) < REQUEST_WAIT_MS:
            return []
        self._last_request_ms = now_ms
        if sum(len(route.in_flight) for route in routes) >= len(routes):
            return []
        result = []
        for _ in range(min(REQUEST_SIDECARS, len(routes))):
            self._last_index = (self._last_index + 1) % len(routes)
            result.append(
                self.build_report(routes[self._last_index], len(routes), now_ms)
            )
        return result

    def count_share(self, sidecars: int) -> int:
        """Return one sidecar's share of the waiting tasks, rounded up.

        Args:
            sidecars: Number of sidecars that share them.
        """
        return -(-len(self._backlog) // max(1, sidecars))

    def build_report(
        self, route: routing.Route, sidecars: int, now_ms: int
    ) -> effects.Send:
        """Return the demand report to one sidecar.

        Args:
            route: Route to the sidecar.
            sidecars: Number of sidecars that the gateway has.
            now_ms: Monotonic time in ms.
        """
        route.last_demand_ms = now_ms
        route.acknowledged_sent = route.acknowledged
        report = messages.ReportDemand(
            route.member.incarnation,
            self.count_share(sidecars),
            self._backlog.measure_oldest_wait(now_ms),
            route.sent,
            route.acknowledged,
            route.credit_limit,
        )
        return effects.Send(route.member.address, report)

    def is_due(self, route: routing.Route, now_ms: int) -> bool:
        """Return whether it is time for the next report to a sidecar.

        Args:
            route: Route to the sidecar.
            now_ms: Monotonic time in ms.
        """
        holding = route.credits > 0 or bool(route.in_flight)
        interval_ms = KEEP_ALIVE_INTERVAL_MS if holding else IDLE_KEEP_ALIVE_INTERVAL_MS
        if len(self._backlog):
            interval_ms = BACKLOG_INTERVAL_MS
        if route.acknowledged > route.acknowledged_sent:
            interval_ms = ACKNOWLEDGE_INTERVAL_MS
        return now_ms - route.last_demand_ms >= interval_ms
