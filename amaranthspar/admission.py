"""Decision whether a submission may be admitted."""

from collections.abc import Mapping

from amaranthspar import backlog, leaseholder, routing, submissions

UNAVAILABLE_RETRY_MS = 1000


class Admission:
    """Judges submissions before they are queued.

    Args:
        holder: Lease of this gateway.
        waiting: Tasks that wait.
        routes: Sidecars by process name.
    """

    def __init__(
        self,
        holder: leaseholder.LeaseHolder,
        waiting: backlog.Backlog,
        routes: Mapping[str, routing.Route],
    ) -> None:
        self._holder = holder
        self._backlog = waiting
        self._routes = routes

    def judge(
        self, submission: submissions.Submission, now_ms: int
    ) -> submissions.Answer | None:
        """Return the refusal of a submission, none if it may be admitted.

        Args:
            submission: Submission of which nothing has been sent.
            now_ms: Monotonic time in ms.
        """
        refusal = self._find_refusal(submission, now_ms)
        if not refusal:
            return None
        retry_ms = 0 if refusal.startswith("can never") else UNAVAILABLE_RETRY_MS
        return submission.fail(refusal, retry_ms)

    def _find_refusal(self, submission: submissions.Submission, now_ms: int) -> str:
        if not self._holder.is_valid(now_ms):
            return "gateway holds no lease"
        if now_ms >= submission.deadline_ms:
            return "deadline passed"
        known = self._holder.view
        service = known.settings.services[submission.service]
        if len(self._backlog) + len(submission.tasks) > service.queue_limit:
            return "queue full"
        announcements = [item.announcement for item in self._routes.values()]
        wanted = {
            routing.resolve_home(routing.read_needs(submission, task, known), known)
            for task in submission.tasks
        }
        for needs in wanted:
            if not any(routing.is_feasible(needs, item) for item in announcements):
                return "can never run: no upstream has what it needs"
        return ""
