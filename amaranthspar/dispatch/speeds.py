"""Detection of slow sidecars, and a limit on those that are slow for all services.

For each service in a group, the logarithms of the ratios of run time to expected
run time are averaged over the fleet and for each sidecar. A sidecar is slow for a
service if its mean exceeds the mean of the fleet by a statistically significant
amount. Long tasks and wrong expectations affect all sidecars equally and therefore
have no influence. A sidecar that is slow over all its services is sent a single
task at intervals, through which it may recover. It is not limited while tasks
would wait longer than the delay it causes, or if no other sidecar serves them.
"""

import math
from collections.abc import Mapping

import attrs

from amaranthspar.dispatch import routing

SLOW_LOG = math.log(2.0)
"""Mean above which a sidecar may count as slow."""
RECOVERED_LOG = math.log(1.5)
"""Mean up to which a slow sidecar has recovered."""
SIGNIFICANT_DEVIATIONS = 4.0
"""Standard errors by which the mean of a slow sidecar exceeds that of the fleet."""
MIN_RESULTS = 4
RECENT_RESULTS = 10
MIN_FLEET_RESULTS = 30
MIN_STANDARD_DEVIATION = 0.7
PROBE_WEIGHT = 0.5
"""Weight of a new result in the mean of a slow sidecar."""
PROBE_INTERVAL_MS = 4000
MAX_LIMITED_RATIO = 0.2
"""Share of the sidecars that may be limited at a time, at least one of them."""
MIN_RUN_MS = 1.0


@attrs.define(slots=True)
class _FleetStats:
    """Ratios of run time to expected run time of one service, on all sidecars.

    Attributes:
        results: Number of results in the averages.
        mean: Mean logarithm of the ratio.
        variance: Variance of that logarithm.
    """

    results: int = 0
    mean: float = 0.0
    variance: float = 0.0

    def add(self, ratio_log: float, max_results: int) -> None:
        """Add the logarithm of one ratio.

        Args:
            ratio_log: Logarithm of the ratio.
            max_results: Number of results after which older ones decay.
        """
        self.results = min(self.results + 1, max_results)
        difference = ratio_log - self.mean
        self.mean += difference / self.results
        self.variance += (
            difference * (ratio_log - self.mean) - self.variance
        ) / self.results


class Speeds:
    """Finds and limits slow sidecars by the run times that they report.

    Args:
        routes: Routes to the sidecars, by process name.
    """

    def __init__(self, routes: Mapping[str, routing.Route]) -> None:
        self._routes = routes
        self._fleet: dict[tuple[str, str], _FleetStats] = {}
        self._probe_at_ms: dict[str, int] = {}

    def note_run(
        self,
        route: routing.Route,
        service: str,
        run_ms: int,
        expected_ms: float,
        now_ms: int,
    ) -> None:
        """Add the run time of a task.

        Args:
            route: Route to the sidecar that ran it.
            service: Service of the task.
            run_ms: Run time in ms.
            expected_ms: Run time expected when it was queued, in ms.
            now_ms: Monotonic time in ms.
        """
        expected_ms = max(expected_ms, MIN_RUN_MS)
        ratio_log = math.log(max(run_ms, MIN_RUN_MS) / expected_ms)
        group = route.announcement.group
        fleet = self._fleet.setdefault((service, group), _FleetStats())
        stats = route.run_times_by_service.setdefault(service, routing.RunTimeStats())
        if not stats.slow and not route.run_times.slow:
            recent = RECENT_RESULTS * len(self._routes)
            fleet.add(ratio_log, max(MIN_FLEET_RESULTS, recent))
        for item in (stats, route.run_times):
            _add_result(item, ratio_log - fleet.mean, expected_ms)
            _update_slow(item, fleet)
        self._update_limit(route, now_ms)

    def tick(self, now_ms: int, wait_ms: float) -> list[routing.Route]:
        """Allow single tasks at intervals, or lift limits while tasks wait long.

        Args:
            now_ms: Monotonic time in ms.
            wait_ms: Time in ms that a new task is expected to wait.

        Returns:
            Routes whose limit has changed.
        """
        changed = []
        for process, probe_at_ms in list(self._probe_at_ms.items()):
            route = self._routes.get(process)
            if route is None or not route.run_times.slow:
                del self._probe_at_ms[process]
                continue
            limit = route.slow_limit
            if wait_ms > _compute_delay(route) or not self._has_alternative(route):
                limit = None
            elif limit is None:
                limit = 0
            elif now_ms >= probe_at_ms:
                self._probe_at_ms[process] = now_ms + PROBE_INTERVAL_MS
                limit = len(route.in_flight) + 1
            if limit != route.slow_limit:
                route.slow_limit = limit
                changed.append(route)
        return changed

    def _update_limit(self, route: routing.Route, now_ms: int) -> None:
        process = route.member.process
        was_limited = process in self._probe_at_ms
        if not route.run_times.slow:
            route.slow_limit = None
            self._probe_at_ms.pop(process, None)
            return
        max_limited = max(1, int(len(self._routes) * MAX_LIMITED_RATIO))
        if not was_limited and len(self._probe_at_ms) >= max_limited:
            return
        self._probe_at_ms[process] = now_ms + PROBE_INTERVAL_MS
        if not was_limited or route.slow_limit is not None:
            route.slow_limit = 0

    def _has_alternative(self, slow: routing.Route) -> bool:
        """Return whether another sidecar may run the tasks that a slow one serves."""
        served = slow.announcement
        return any(
            not route.closed
            and not route.is_limited
            and route.announcement.group == served.group
            and route.announcement.services == served.services
            for route in self._routes.values()
        )


def _compute_delay(route: routing.Route) -> float:
    """Return the expected delay in ms of a task on a slow sidecar."""
    return route.run_times.expected_ms * (math.exp(route.run_times.mean) - 1)


def _add_result(
    stats: routing.RunTimeStats, difference: float, expected_ms: float
) -> None:
    stats.results = min(stats.results + 1, RECENT_RESULTS)
    weight = PROBE_WEIGHT if stats.slow else 1 / stats.results
    stats.mean += weight * (difference - stats.mean)
    stats.expected_ms += (expected_ms - stats.expected_ms) / stats.results


def _update_slow(stats: routing.RunTimeStats, fleet: _FleetStats) -> None:
    if stats.slow:
        stats.slow = stats.mean > RECOVERED_LOG
        return
    if fleet.results < MIN_FLEET_RESULTS:
        return
    if stats.results < MIN_RESULTS or stats.mean <= SLOW_LOG:
        return
    # An exponential average with factor 1/n weighs as much as 2n - 1 results.
    effective_results = (
        2 * stats.results - 1 if stats.results == RECENT_RESULTS else stats.results
    )
    standard_deviation = max(MIN_STANDARD_DEVIATION, math.sqrt(fleet.variance))
    standard_error = standard_deviation * math.sqrt(
        1 / effective_results + 1 / fleet.results
    )
    stats.slow = stats.mean > SIGNIFICANT_DEVIATIONS * standard_error
