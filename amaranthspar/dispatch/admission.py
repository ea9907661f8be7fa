"""Decision whether a submission may be admitted."""

from collections.abc import Mapping

import attrs

from amaranthspar.dispatch import backlog, capacity, routing, submissions
from amaranthspar.membership import leaseholder
from amaranthspar.schema import entries

UNAVAILABLE_RETRY_MS = 1000
LEAST_RETRY_MS = 500
MOST_RETRY_MS = 30_000


@attrs.frozen(slots=True)
class _Refusal:
    """Why a submission is not admitted."""

    failure: submissions.Failure
    detail: str
    retry_ms: int = 0


class Admission:
    """Judges submissions before they are queued.

    Args:
        holder: Lease of this gateway.
        waiting: Tasks that wait.
        routes: Sidecars by process name.
        index: The same sidecars by what they offer.
    """

    def __init__(
        self,
        holder: leaseholder.LeaseHolder,
        waiting: backlog.Backlog,
        routes: Mapping[str, routing.Route],
        index: capacity.CapacityIndex,
    ) -> None:
        self._holder = holder
        self._backlog = waiting
        self._routes = routes
        self._capacity = index
        self._slots = 0

    def measure_slots(self) -> None:
        """Note how many slots this gateway uses or may use."""
        self._slots = sum(
            len(route.in_flight) + max(0, route.free_capacity)
            for route in self._routes.values()
        )

    def measure_wait(self) -> float:
        """Return how long in ms all that waits keeps the slots busy."""
        return self._backlog.count_cost() / max(1, self._slots)

    def judge(
        self, submission: submissions.Submission, now_ms: int
    ) -> submissions.Answer | None:
        """Return the refusal of a submission, none if it may be admitted.

        Args:
            submission: Submission of which nothing has been sent.
            now_ms: Monotonic time in ms.
        """
        refusal = self._find_refusal(submission, now_ms)
        if refusal is None:
            return None
        return submission.fail(refusal.detail, refusal.retry_ms, refusal.failure)

    def _find_refusal(
        self, submission: submissions.Submission, now_ms: int
    ) -> _Refusal | None:
        failure = submissions.Failure
        if not self._holder.is_valid(now_ms):
            detail = "gateway holds no lease"
            return _Refusal(failure.UNAVAILABLE, detail, UNAVAILABLE_RETRY_MS)
        if now_ms >= submission.deadline_ms:
            return _Refusal(failure.OVERDUE, "deadline passed")
        service = self._holder.view.settings.services.get(submission.service)
        if service is None:
            detail = "the service has been removed"
            return _Refusal(failure.INFEASIBLE, detail)
        return (
            self._judge_feasibility(submission)
            or self._judge_quota(submission, service)
            or self._judge_wait(submission, service, now_ms)
        )

    def _judge_feasibility(self, submission: submissions.Submission) -> _Refusal | None:
        known = self._holder.view
        for asked in set(routing.list_needs(submission, known)):
            needs = routing.resolve_home(asked, known)
            if self._capacity.find_pool(needs):
                continue
            announcements = (item.announcement for item in self._routes.values())
            if any(routing.is_served(needs, item) for item in announcements):
                detail = "can never run: no upstream has what it needs"
                return _Refusal(submissions.Failure.INFEASIBLE, detail)
            failure = submissions.Failure.UNAVAILABLE
            detail = "no upstream serves it at present"
            return _Refusal(failure, detail, UNAVAILABLE_RETRY_MS)
        return None

    def _judge_quota(
        self, submission: submissions.Submission, service: entries.Service
    ) -> _Refusal | None:
        count = len(submission.tasks)
        team = self._holder.view.settings.teams.get(submission.team)
        most = 0 if team is None else team.max_queued
        if most and self._backlog.count_team(submission.team) + count > most:
            detail = f"team {submission.team} may queue {most} tasks"
            retry_ms = UNAVAILABLE_RETRY_MS if count <= most else 0
            return _Refusal(submissions.Failure.QUOTA, detail, retry_ms)
        if len(self._backlog) + count > service.queue_limit:
            detail = "queue full"
            retry_ms = UNAVAILABLE_RETRY_MS if count <= service.queue_limit else 0
            return _Refusal(submissions.Failure.QUEUE_FULL, detail, retry_ms)
        return None

    def _judge_wait(
        self, submission: submissions.Submission, service: entries.Service, now_ms: int
    ) -> _Refusal | None:
        if not self._slots:
            return None
        cost_ms = self._backlog.find_cost_ahead(submission.team, service)
        wait_ms = int(cost_ms / self._slots)
        left_ms = submission.deadline_ms - now_ms
        if wait_ms <= left_ms:
            return None
        detail = f"expected to wait {wait_ms} ms, deadline in {left_ms} ms"
        retry_ms = min(MOST_RETRY_MS, max(LEAST_RETRY_MS, wait_ms - left_ms))
        return _Refusal(submissions.Failure.TOO_LATE, detail, retry_ms)
