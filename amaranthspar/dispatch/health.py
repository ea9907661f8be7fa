"""Limits on what sidecars get: ejection, probes and a stepped return.

A sidecar whose tasks fail one after another while the fleet's succeed is ejected
and gets single probes, at growing intervals, until one succeeds. A payload that fails
everywhere raises the fleet's failures as well and ejects nobody. An ejected sidecar
that recovers takes its load in steps.
"""

from collections.abc import Mapping

import attrs

from amaranthspar.dispatch import routing, submissions
from amaranthspar.execution import starts
from amaranthspar.schema import messages

FAILURES_TO_EJECT = 4
FLEET_FAILURE_RATIO = 0.5
FLEET_SMOOTHING = 0.05
MOST_EJECTED_RATIO = 0.2
PROBE_INTERVAL_MS = 1000
MAX_PROBE_INTERVAL_MS = 30_000
STEPS = 4
STEP_MS = 250
REFUSALS = frozenset(item.value for item in starts.Refusal)
"""Reasons for which a healthy sidecar starts nothing."""


@attrs.define(slots=True)
class _Standing:
    """What is known of one sidecar.

    Attributes:
        failures: Failures of different submissions since the last success.
        submission: Submission that failed last.
        ejected_ms: Monotonic time of ejection, none if it is in.
        probe_ms: Interval until the next probe in ms.
        probe_at_ms: Monotonic time of the next probe.
        step: Step of the return, `STEPS` when it is complete.
        step_at_ms: Monotonic time of the next step.
    """

    failures: int = 0
    submission: str = ""
    ejected_ms: int | None = None
    probe_ms: int = PROBE_INTERVAL_MS
    probe_at_ms: int = 0
    step: int = STEPS
    step_at_ms: int = 0


class Health:
    """Judges sidecars by the results that they report.

    Args:
        routes: Sidecars by process name.
    """

    def __init__(self, routes: Mapping[str, routing.Route]) -> None:
        self.ejections = 0
        self._routes = routes
        self._standings: dict[str, _Standing] = {}
        self._fleet_failures = 0.0
        self._limited: set[str] = set()

    def note_result(
        self,
        route: routing.Route,
        result: messages.TaskResult,
        now_ms: int,
    ) -> None:
        """Take the result of a task.

        Args:
            route: Sidecar that ran it.
            result: How it ended.
            now_ms: Monotonic time in ms.
        """
        if result.outcome == submissions.NOT_RUN and result.reason in REFUSALS:
            return
        standing = self._find_standing(route)
        failed = result.outcome != submissions.DONE or result.status >= 500
        self._fleet_failures += FLEET_SMOOTHING * (failed - self._fleet_failures)
        if failed:
            name = "" if result.outcome == submissions.NOT_RUN else result.submission
            self._note_failure(route, standing, name, now_ms)
            return
        standing.failures = 0
        standing.submission = ""
        if standing.ejected_ms is not None:
            standing.ejected_ms = None
            standing.probe_ms = PROBE_INTERVAL_MS
            self._begin_return(route, standing, now_ms)

    def forget(self, process: str) -> None:
        """Drop what is known of a sidecar that is gone."""
        self._standings.pop(process, None)
        self._limited.discard(process)

    def tick(self, now_ms: int) -> list[routing.Route]:
        """Allow probes and the next steps of a return.

        Args:
            now_ms: Monotonic time in ms.

        Returns:
            Sidecars whose health_limit has changed.
        """
        changed = []
        for process in list(self._limited):
            route = self._routes.get(process)
            if route is None:
                self.forget(process)
            elif self._advance(route, self._standings[process], now_ms):
                changed.append(route)
        return changed

    def _advance(self, route: routing.Route, standing: _Standing, now_ms: int) -> bool:
        if standing.ejected_ms is not None:
            if now_ms < standing.probe_at_ms or route.health_limit:
                return False
            route.health_limit = 1
            return True
        if now_ms < standing.step_at_ms:
            return False
        standing.step += 1
        standing.step_at_ms = now_ms + STEP_MS
        self._apply_step(route, standing)
        return True

    def _note_failure(
        self,
        route: routing.Route,
        standing: _Standing,
        submission: str,
        now_ms: int,
    ) -> None:
        if standing.ejected_ms is not None and not route.health_limit:
            return
        if standing.ejected_ms is not None:
            standing.probe_ms = min(MAX_PROBE_INTERVAL_MS, 2 * standing.probe_ms)
            standing.probe_at_ms = now_ms + standing.probe_ms
            route.health_limit = 0
            return
        if submission and submission == standing.submission:
            return
        standing.submission = submission
        standing.failures += 1
        if standing.failures >= FAILURES_TO_EJECT and self._may_eject():
            self.ejections += 1
            standing.ejected_ms = now_ms
            standing.probe_at_ms = now_ms + standing.probe_ms
            route.health_limit = 0
            self._limited.add(route.member.process)

    def _may_eject(self) -> bool:
        if self._fleet_failures > FLEET_FAILURE_RATIO:
            return False
        out = sum(item.ejected_ms is not None for item in self._standings.values())
        return out < max(1, int(len(self._routes) * MOST_EJECTED_RATIO))

    def _begin_return(
        self, route: routing.Route, standing: _Standing, now_ms: int
    ) -> None:
        standing.step = 1
        standing.step_at_ms = now_ms + STEP_MS
        self._limited.add(route.member.process)
        self._apply_step(route, standing)

    def _apply_step(self, route: routing.Route, standing: _Standing) -> None:
        if standing.step >= STEPS:
            route.health_limit = None
            self._limited.discard(route.member.process)
            return
        slots = route.announcement.slots
        route.health_limit = max(1, slots * standing.step // STEPS)

    def _find_standing(self, route: routing.Route) -> _Standing:
        return self._standings.setdefault(route.member.process, _Standing())
