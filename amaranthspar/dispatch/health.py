"""Ejection of unhealthy sidecars, probes and gradual recovery.

A sidecar whose tasks fail one after another, while those of the fleet succeed, is
ejected. It is then sent single tasks as probes, at growing intervals, until one
succeeds. A payload that fails everywhere raises the failure rate of the fleet as
well and causes no ejection. After a successful probe, the limit on the tasks in
flight at the sidecar is raised in steps.
"""

from collections.abc import Mapping

import attrs

from amaranthspar.dispatch import routing, submissions
from amaranthspar.execution import starts
from amaranthspar.schema import messages

FAILURES_TO_EJECT = 4
MAX_FLEET_FAILURE_RATIO = 0.5
"""Failure rate of the fleet above which no sidecar is ejected."""
FLEET_SMOOTHING = 0.05
"""Weight of a new result in the failure rate of the fleet."""
MAX_EJECTED_RATIO = 0.2
"""Share of the sidecars that may be ejected at a time, at least one of them."""
PROBE_INTERVAL_MS = 1000
MAX_PROBE_INTERVAL_MS = 30_000
RECOVERY_STEPS = 4
RECOVERY_STEP_MS = 250
REFUSALS = frozenset(item.value for item in starts.Refusal)
"""Reasons for which a healthy sidecar starts no task."""
HEALTHY = "healthy"
EJECTED = "ejected"
PROBING = "probing"
RECOVERING = "recovering"


@attrs.define(slots=True)
class _SidecarHealth:
    """Health record of one sidecar.

    Attributes:
        failures: Failures of different submissions since the last success.
        submission: Submission that failed last.
        ejected_ms: Monotonic time of ejection, None if it is not ejected.
        probe_ms: Interval until the next probe in ms.
        probe_at_ms: Monotonic time of the next probe.
        step: Step of the recovery, `RECOVERY_STEPS` when it is complete.
        step_at_ms: Monotonic time of the next step.
    """

    failures: int = 0
    submission: str = ""
    ejected_ms: int | None = None
    probe_ms: int = PROBE_INTERVAL_MS
    probe_at_ms: int = 0
    step: int = RECOVERY_STEPS
    step_at_ms: int = 0


class Health:
    """Limits the tasks at sidecars by the failures that they report.

    Args:
        routes: Routes to the sidecars, by process name.
    """

    def __init__(self, routes: Mapping[str, routing.Route]) -> None:
        self.ejections = 0
        self._routes = routes
        self._records: dict[str, _SidecarHealth] = {}
        self._fleet_failures = 0.0
        self._limited: set[str] = set()

    def note_result(
        self,
        route: routing.Route,
        result: messages.TaskResult,
        now_ms: int,
    ) -> None:
        """Record whether a task failed.

        Args:
            route: Route to the sidecar that had the task.
            result: Result of the task.
            now_ms: Monotonic time in ms.
        """
        if result.outcome == submissions.NOT_RUN and result.reason in REFUSALS:
            return
        record = self._get_record(route)
        failed = result.outcome != submissions.DONE or result.status >= 500
        self._fleet_failures += FLEET_SMOOTHING * (failed - self._fleet_failures)
        if failed:
            name = "" if result.outcome == submissions.NOT_RUN else result.submission
            self._note_failure(route, record, name, now_ms)
            return
        record.failures = 0
        record.submission = ""
        if record.ejected_ms is not None:
            record.ejected_ms = None
            record.probe_ms = PROBE_INTERVAL_MS
            self._begin_recovery(route, record, now_ms)

    def remove(self, process: str) -> None:
        """Remove the record of a sidecar that is no longer a member."""
        self._records.pop(process, None)
        self._limited.discard(process)

    def describe(self, process: str) -> str:
        """Return the health of a sidecar.

        Args:
            process: Process name of the sidecar.

        Returns:
            ``healthy``, ``ejected``, ``probing`` or ``recovering``.
        """
        record = self._records.get(process)
        if record is None:
            return HEALTHY
        if record.ejected_ms is not None:
            return PROBING if self._routes[process].health_limit else EJECTED
        return HEALTHY if record.step >= RECOVERY_STEPS else RECOVERING

    def tick(self, now_ms: int) -> list[routing.Route]:
        """Allow probes and the next steps of a recovery.

        Args:
            now_ms: Monotonic time in ms.

        Returns:
            Routes whose `health_limit` has changed.
        """
        changed = []
        for process in list(self._limited):
            route = self._routes.get(process)
            if route is None:
                self.remove(process)
            elif self._advance(route, self._records[process], now_ms):
                changed.append(route)
        return changed

    def _advance(
        self, route: routing.Route, record: _SidecarHealth, now_ms: int
    ) -> bool:
        if record.ejected_ms is not None:
            if now_ms < record.probe_at_ms or route.health_limit:
                return False
            route.health_limit = 1
            return True
        if now_ms < record.step_at_ms:
            return False
        record.step += 1
        record.step_at_ms = now_ms + RECOVERY_STEP_MS
        self._apply_step(route, record)
        return True

    def _note_failure(
        self,
        route: routing.Route,
        record: _SidecarHealth,
        submission: str,
        now_ms: int,
    ) -> None:
        if record.ejected_ms is not None and not route.health_limit:
            return
        if record.ejected_ms is not None:
            record.probe_ms = min(MAX_PROBE_INTERVAL_MS, 2 * record.probe_ms)
            record.probe_at_ms = now_ms + record.probe_ms
            route.health_limit = 0
            return
        if submission and submission == record.submission:
            return
        record.submission = submission
        record.failures += 1
        if record.failures >= FAILURES_TO_EJECT and self._can_eject():
            self.ejections += 1
            record.ejected_ms = now_ms
            record.probe_at_ms = now_ms + record.probe_ms
            route.health_limit = 0
            self._limited.add(route.member.process)

    def _can_eject(self) -> bool:
        if self._fleet_failures > MAX_FLEET_FAILURE_RATIO:
            return False
        ejected = sum(item.ejected_ms is not None for item in self._records.values())
        return ejected < max(1, int(len(self._routes) * MAX_EJECTED_RATIO))

    def _begin_recovery(
        self, route: routing.Route, record: _SidecarHealth, now_ms: int
    ) -> None:
        record.step = 1
        record.step_at_ms = now_ms + RECOVERY_STEP_MS
        self._limited.add(route.member.process)
        self._apply_step(route, record)

    def _apply_step(self, route: routing.Route, record: _SidecarHealth) -> None:
        if record.step >= RECOVERY_STEPS:
            route.health_limit = None
            self._limited.discard(route.member.process)
            return
        slots = route.announcement.slots
        route.health_limit = max(1, slots * record.step // RECOVERY_STEPS)

    def _get_record(self, route: routing.Route) -> _SidecarHealth:
        return self._records.setdefault(route.member.process, _SidecarHealth())
