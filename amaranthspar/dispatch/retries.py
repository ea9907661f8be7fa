"""Budget for the retries of idempotent requests."""

from amaranthspar.dispatch import submissions
from amaranthspar.membership import leaseholder
from amaranthspar.schema import entries

FIRST_RETRIES = 10.0


class RetryBudget:
    """Retries allowed by service, a share of the first attempts.

    Args:
        holder: Lease of this gateway; its view names the services.
    """

    def __init__(self, holder: leaseholder.LeaseHolder) -> None:
        self._holder = holder
        self._left: dict[str, float] = {}

    def earn(self, submission: submissions.Submission) -> None:
        """Note a first attempt.

        Args:
            submission: Submission that is admitted.
        """
        service = self._find_service(submission)
        if service is None:
            return
        left = self._left.get(service.name, FIRST_RETRIES)
        self._left[service.name] = min(FIRST_RETRIES, left + service.retry_ratio)

    def spend(self, submission: submissions.Submission, task: submissions.Task) -> bool:
        """Return whether a task may run once more, and count it if so.

        Args:
            submission: Submission of the task.
            task: Task that may have run.
        """
        service = self._find_service(submission)
        if service is None or task.attempts > 1:
            return False
        left = self._left.get(service.name, FIRST_RETRIES)
        if left < 1 or not service.retry_ratio:
            return False
        self._left[service.name] = left - 1
        return True

    def _find_service(
        self, submission: submissions.Submission
    ) -> entries.Service | None:
        """Return the service of a submission if its tasks may run twice."""
        service = self._holder.view.settings.services.get(submission.service)
        if service is None or not service.idempotent or submission.is_job:
            return None
        return service
