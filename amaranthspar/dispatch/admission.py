"""Admission control of a gateway."""

from collections.abc import Mapping

import attrs

from amaranthspar.dispatch import backlog, capacity, routing, submissions
from amaranthspar.membership import leaseholder
from amaranthspar.schema import entries

UNAVAILABLE_RETRY_MS = 1000
MIN_RETRY_MS = 500
MAX_RETRY_MS = 30_000


@attrs.frozen(slots=True)
class _Rejection:
    """Rejection of a submission.

    Attributes:
        failure: Kind of the failure.
        detail: Reason that the caller is given.
        retry_ms: Time in ms after which the caller may retry; 0 for no advice.
    """

    failure: submissions.Failure
    detail: str
    retry_ms: int = 0


class Admission:
    """Checks submissions before their tasks are queued.

    Args:
        holder: Lease of this gateway.
        queue: Backlog of waiting tasks.
        routes: Routes to the sidecars, by process name.
        index: Index of the same routes by the shape of their upstreams.
    """

    def __init__(
        self,
        holder: leaseholder.LeaseHolder,
        queue: backlog.Backlog,
        routes: Mapping[str, routing.Route],
        index: capacity.CapacityIndex,
    ) -> None:
        self._holder = holder
        self._backlog = queue
        self._routes = routes
        self._capacity = index
        self._slots = 0

    def update_slots(self) -> None:
        """Count the slots that this gateway uses or may use."""
        self._slots = sum(
            len(route.in_flight) + max(0, route.free_capacity)
            for route in self._routes.values()
        )

    def estimate_wait(self) -> float:
        """Return the expected time in ms to run the whole backlog on the slots."""
        return self._backlog.sum_cost() / max(1, self._slots)

    def copy(self, index: capacity.CapacityIndex) -> "Admission":
        """Return an admission control that decides alike with a copy of the index.

        Args:
            index: Copy of the index of this one.
        """
        result = Admission(self._holder, self._backlog, self._routes, index)
        result._slots = self._slots
        return result

    def estimate_start(self, team: str, service: entries.Service) -> int | None:
        """Return the time in ms until a new task starts, None without known slots.

        Args:
            team: Team of the task.
            service: Service of the task.
        """
        if not self._slots:
            return None
        cost_ms = self._backlog.estimate_cost_ahead(team, service)
        return int(cost_ms / self._slots)

    def check(
        self, submission: submissions.Submission, now_ms: int
    ) -> submissions.Answer | None:
        """Return the answer that rejects a submission, or None to admit it.

        Args:
            submission: Submission of which no task has been sent.
            now_ms: Monotonic time in ms.
        """
        rejection = self._find_rejection(submission, now_ms)
        if rejection is None:
            return None
        return submission.fail(rejection.detail, rejection.retry_ms, rejection.failure)

    def _find_rejection(
        self, submission: submissions.Submission, now_ms: int
    ) -> _Rejection | None:
        failure = submissions.Failure
        if not self._holder.is_valid(now_ms):
            detail = "gateway holds no lease"
            return _Rejection(failure.UNAVAILABLE, detail, UNAVAILABLE_RETRY_MS)
        if now_ms >= submission.deadline_ms:
            return _Rejection(failure.OVERDUE, "deadline passed")
        service = self._holder.view.settings.services.get(submission.service)
        if service is None:
            detail = "the service has been removed"
            return _Rejection(failure.INFEASIBLE, detail)
        return (
            self._check_feasibility(submission)
            or self._check_quota(submission, service)
            or self._check_wait(submission, service, now_ms)
        )

    def _check_feasibility(
        self, submission: submissions.Submission
    ) -> _Rejection | None:
        view = self._holder.view
        for requested in set(routing.list_needs(submission, view)):
            needs = routing.resolve_home(requested, view)
            if self._capacity.find_pool(needs):
                continue
            announcements = (item.announcement for item in self._routes.values())
            if any(routing.is_served(needs, item) for item in announcements):
                detail = "can never run: no upstream has what it needs"
                return _Rejection(submissions.Failure.INFEASIBLE, detail)
            failure = submissions.Failure.UNAVAILABLE
            detail = "no upstream serves it at present"
            return _Rejection(failure, detail, UNAVAILABLE_RETRY_MS)
        return None

    def _check_quota(
        self, submission: submissions.Submission, service: entries.Service
    ) -> _Rejection | None:
        count = len(submission.tasks)
        team = self._holder.view.settings.teams.get(submission.team)
        limit = 0 if team is None else team.max_queued
        if limit and self._backlog.count_team(submission.team) + count > limit:
            detail = f"team {submission.team} may queue {limit} tasks"
            retry_ms = UNAVAILABLE_RETRY_MS if count <= limit else 0
            return _Rejection(submissions.Failure.QUOTA, detail, retry_ms)
        if len(self._backlog) + count > service.queue_limit:
            detail = "queue full"
            retry_ms = UNAVAILABLE_RETRY_MS if count <= service.queue_limit else 0
            return _Rejection(submissions.Failure.QUEUE_FULL, detail, retry_ms)
        return None

    def _check_wait(
        self, submission: submissions.Submission, service: entries.Service, now_ms: int
    ) -> _Rejection | None:
        wait_ms = self.estimate_start(submission.team, service)
        left_ms = submission.deadline_ms - now_ms
        if wait_ms is None or wait_ms <= left_ms:
            return None
        detail = f"expected to wait {wait_ms} ms, deadline in {left_ms} ms"
        retry_ms = min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait_ms - left_ms))
        return _Rejection(submissions.Failure.TOO_LATE, detail, retry_ms)
