"""Speeds of sidecars, and a limit on those that run everything slowly.

For each service in a group the logarithms of run times against those expected are averaged over
the fleet and for each sidecar. A sidecar is slow for a service if its mean
exceeds the fleet's by more than chance explains, so that long tasks and wrong
expectations, which meet every sidecar alike, count for nothing. One that is slow
for all its services gets a single task now and then, by which it may recover, unless
tasks would wait longer than it takes or no other sidecar serves them.
"""

import math
from collections.abc import Mapping

import attrs

from amaranthspar.dispatch import routing

SLOW_LOG = math.log(2.0)
RECOVERED_LOG = math.log(1.5)
CERTAIN_DEVIATIONS = 4.0
LEAST_RESULTS = 4
RECENT_RESULTS = 10
LEAST_FLEET_RESULTS = 30
LEAST_SPREAD = 0.7
PROBE_WEIGHT = 0.5
PROBE_INTERVAL_MS = 4000
MOST_LIMITED_RATIO = 0.2
LEAST_RUN_MS = 1.0


@attrs.define(slots=True)
class _Fleet:
    """Run times of one service against those expected, on all sidecars.

    Attributes:
        results: Results averaged.
        mean: Mean logarithm of the ratio.
        variance: Variance of it.
    """

    results: int = 0
    mean: float = 0.0
    variance: float = 0.0

    def add(self, ratio_log: float, most_results: int) -> None:
        """Add the logarithm of one ratio.

        Args:
            ratio_log: Logarithm of the ratio.
            most_results: Results after which older ones fade.
        """
        self.results = min(self.results + 1, most_results)
        gap = ratio_log - self.mean
        self.mean += gap / self.results
        self.variance += (gap * (ratio_log - self.mean) - self.variance) / self.results


class Speeds:
    """Judges sidecars by the run times that they report.

    Args:
        routes: Sidecars by process name.
    """

    def __init__(self, routes: Mapping[str, routing.Route]) -> None:
        self._routes = routes
        self._fleet: dict[tuple[str, str], _Fleet] = {}
        self._probe_at_ms: dict[str, int] = {}

    def note(
        self,
        route: routing.Route,
        service: str,
        run_ms: int,
        expected_ms: float,
        now_ms: int,
    ) -> None:
        """Learn from a task that has run.

        Args:
            route: Sidecar that ran it.
            service: Service of the task.
            run_ms: Run time in ms.
            expected_ms: Run time expected when it was queued, in ms.
            now_ms: Monotonic time in ms.
        """
        expected_ms = max(expected_ms, LEAST_RUN_MS)
        ratio_log = math.log(max(run_ms, LEAST_RUN_MS) / expected_ms)
        group = route.announcement.group
        fleet = self._fleet.setdefault((service, group), _Fleet())
        pace = route.run_times_by_service.setdefault(service, routing.RunTimeStats())
        if not pace.slow and not route.run_times.slow:
            recent = RECENT_RESULTS * len(self._routes)
            fleet.add(ratio_log, max(LEAST_FLEET_RESULTS, recent))
        for item in (pace, route.run_times):
            _average(item, ratio_log - fleet.mean, expected_ms)
            _judge(item, fleet)
        self._limit(route, now_ms)

    def tick(self, now_ms: int, wait_ms: float) -> list[routing.Route]:
        """Allow single tasks, and all of them while tasks wait long.

        Args:
            now_ms: Monotonic time in ms.
            wait_ms: Time in ms that a new task is expected to wait.

        Returns:
            Sidecars whose limit has changed.
        """
        changed = []
        for process, probe_at_ms in list(self._probe_at_ms.items()):
            route = self._routes.get(process)
            if route is None or not route.run_times.slow:
                del self._probe_at_ms[process]
                continue
            limit = route.slow_limit
            if wait_ms > _measure_loss(route) or not self._has_other(route):
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

    def _limit(self, route: routing.Route, now_ms: int) -> None:
        process = route.member.process
        known = process in self._probe_at_ms
        if not route.run_times.slow:
            route.slow_limit = None
            self._probe_at_ms.pop(process, None)
            return
        most = max(1, int(len(self._routes) * MOST_LIMITED_RATIO))
        if not known and len(self._probe_at_ms) >= most:
            return
        self._probe_at_ms[process] = now_ms + PROBE_INTERVAL_MS
        if not known or route.slow_limit is not None:
            route.slow_limit = 0

    def _has_other(self, slow: routing.Route) -> bool:
        """Return whether another sidecar may be sent what a slow one serves."""
        served = slow.announcement
        return any(
            not route.closed
            and not route.is_limited
            and route.announcement.group == served.group
            and route.announcement.services == served.services
            for route in self._routes.values()
        )


def _measure_loss(route: routing.Route) -> float:
    """Return by how many ms a task ends later on a slow sidecar than elsewhere."""
    return route.run_times.expected_ms * (math.exp(route.run_times.mean) - 1)


def _average(pace: routing.RunTimeStats, gap: float, expected_ms: float) -> None:
    pace.results = min(pace.results + 1, RECENT_RESULTS)
    weight = PROBE_WEIGHT if pace.slow else 1 / pace.results
    pace.mean += weight * (gap - pace.mean)
    pace.expected_ms += (expected_ms - pace.expected_ms) / pace.results


def _judge(pace: routing.RunTimeStats, fleet: _Fleet) -> None:
    if pace.slow:
        pace.slow = pace.mean > RECOVERED_LOG
        return
    if fleet.results < LEAST_FLEET_RESULTS:
        return
    if pace.results < LEAST_RESULTS or pace.mean <= SLOW_LOG:
        return
    # A mean that fades with 1/n has the weight of 2n - 1 results.
    counted = 2 * pace.results - 1 if pace.results == RECENT_RESULTS else pace.results
    spread = max(LEAST_SPREAD, math.sqrt(fleet.variance))
    deviation = spread * math.sqrt(1 / counted + 1 / fleet.results)
    pace.slow = pace.mean > CERTAIN_DEVIATIONS * deviation
