"""Budget for retries of idempotent requests."""

from amaranthspar.dispatch import submissions
from amaranthspar.membership import leaseholder
from amaranthspar.schema import entries

MAX_BALANCE = 10.0
"""Retries that a service has at the start, and that it may have at most."""


class RetryBudget:
    """Limits retries to a share of the first attempts, for each service.

    Args:
        holder: Lease of this gateway; its view holds the services.
    """

    def __init__(self, holder: leaseholder.LeaseHolder) -> None:
        self._holder = holder
        self._balances: dict[str, float] = {}

    def earn(self, submission: submissions.Submission) -> None:
        """Add the share of a first attempt to the budget.

        Args:
            submission: Admitted submission.
        """
        service = self._find_service(submission)
        if service is None:
            return
        balance = self._balances.get(service.name, MAX_BALANCE)
        self._balances[service.name] = min(MAX_BALANCE, balance + service.retry_ratio)

    def spend(self, submission: submissions.Submission, task: submissions.Task) -> bool:
        """Take a retry from the budget and return whether it is allowed.

        Args:
            submission: Submission of the task.
            task: Task that may have run.
        """
        service = self._find_service(submission)
        if service is None or task.attempts > 1:
            return False
        balance = self._balances.get(service.name, MAX_BALANCE)
        if balance < 1 or not service.retry_ratio:
            return False
        self._balances[service.name] = balance - 1
        return True

    def _find_service(
        self, submission: submissions.Submission
    ) -> entries.Service | None:
        """Return the service of a submission if its tasks may run twice."""
        service = self._holder.view.settings.services.get(submission.service)
        if service is None or not service.idempotent or submission.is_job:
            return None
        return service
