"""Tracking of tasks in flight, despite lost messages and lost sidecars."""

import collections
from collections.abc import Mapping

import attrs
import xxhash

from amaranthspar import effects
from amaranthspar.dispatch import routing, submissions
from amaranthspar.membership import leaseholder
from amaranthspar.schema import messages

CONFIRM_TIMEOUT_MS = 1000
"""Time after which an unconfirmed start message causes an inquiry."""
INQUIRE_INTERVAL_MS = 1000


@attrs.frozen(slots=True)
class Retry:
    """A task of a lost sidecar that may be sent to another one."""

    submission: submissions.Submission
    task: submissions.Task
    result: messages.TaskResult


@attrs.frozen(slots=True)
class Lost:
    """A task of a lost sidecar that may have run and must not run again."""

    submission: submissions.Submission
    task: submissions.Task
    result: messages.TaskResult


Resolution = Retry | Lost


@attrs.frozen(slots=True)
class AcceptedResult:
    """A result that was accepted for a task in flight."""

    task: submissions.Task
    result: messages.TaskResult


class TaskTracker:
    """Confirms start messages, accepts results and resolves lost tasks.

    Args:
        holder: Lease of this gateway.
        counts: Counters of the gateway.
    """

    def __init__(
        self,
        holder: leaseholder.LeaseHolder,
        counts: collections.Counter[str],
    ) -> None:
        self._holder = holder
        self.counts = counts

    def note_start(self, route: routing.Route, now_ms: int) -> None:
        """Note that a start message is sent.

        Args:
            route: Route to the sidecar; its sequence already counts the message.
            now_ms: Monotonic time in ms.
        """
        if route.confirmed_sequence == route.sequence - 1:
            route.unconfirmed_since_ms = now_ms

    def note_confirmed(self, route: routing.Route, sequence: int, now_ms: int) -> None:
        """Note up to which start message a sidecar has accounted for every task.

        Args:
            route: Route to the sidecar.
            sequence: Start sequence that the sidecar reports; 0 if uncertain.
            now_ms: Monotonic time in ms.
        """
        if sequence > route.confirmed_sequence:
            route.unconfirmed_since_ms = now_ms
        route.confirmed_sequence = sequence

    def inquire(self, route: routing.Route, now_ms: int) -> list[effects.Send]:
        """Build an inquiry about tasks in flight if a start message is unconfirmed.

        Args:
            route: Route to the sidecar.
            now_ms: Monotonic time in ms.
        """
        if route.confirmed_sequence >= route.sequence or not route.in_flight:
            return []
        if now_ms - route.unconfirmed_since_ms < CONFIRM_TIMEOUT_MS:
            return []
        if now_ms - route.last_inquiry_ms < INQUIRE_INTERVAL_MS:
            return []
        route.last_inquiry_ms = now_ms
        references = [
            messages.TaskReference(*name, task.sequence)
            for name, task in route.in_flight.items()
        ]
        inquiry = messages.InquireTasks(
            route.member.incarnation, route.sequence, references
        )
        return [effects.Send(route.member.address, inquiry)]

    def accept_report(
        self, route: routing.Route, report: messages.ReportResults
    ) -> list[AcceptedResult]:
        """Accept the results of a report and acknowledge them.

        A result counts only for the start message that it answers or an
        earlier one: a late "not run" must not end a task that has been sent
        again since. A damaged result is not acknowledged, so that the sidecar
        sends it again.

        Args:
            route: Route to the sidecar that reports.
            report: Results in the order of their sequence.
        """
        if report.dropped > route.acknowledged:
            route.acknowledged = report.dropped
        accepted: list[AcceptedResult] = []
        for sequence, item in enumerate(report.results, report.first_sequence):
            if not is_intact(item):
                self.counts["results.damaged"] += 1
                continue
            if sequence == route.acknowledged + 1:
                route.acknowledged = sequence
            name = (item.submission, item.index)
            task = route.in_flight.get(name)
            if task is None or item.start < task.sequence:
                self.counts["results.late"] += 1
                continue
            del route.in_flight[name]
            accepted.append(AcceptedResult(task, item))
        return accepted

    def resolve_lost(
        self,
        route: routing.Route,
        admitted: Mapping[str, submissions.Submission],
    ) -> list[Resolution]:
        """Decide what happens to the tasks in flight at a lost sidecar.

        Args:
            route: Route to a sidecar that is no longer a member in that
                incarnation.
            admitted: Submissions that have not ended, by id.
        """
        result: list[Resolution] = []
        in_flight, route.in_flight = route.in_flight, {}
        for (name, _), task in in_flight.items():
            submission = admitted.get(name)
            if submission is not None:
                result.append(self._resolve(submission, task))
        return result

    def _resolve(
        self, submission: submissions.Submission, task: submissions.Task
    ) -> Resolution:
        service = self._holder.view.settings.services.get(submission.service)
        idempotent = service is not None and service.idempotent
        lost = messages.TaskResult(
            submission.name, task.index, "unknown", "sidecar lost"
        )
        if idempotent and not submission.is_job and task.attempts == 1:
            task.may_have_run = True
            return Retry(submission, task, lost)
        return Lost(submission, task, lost)


def is_intact(result: messages.TaskResult) -> bool:
    """Return whether a result's body matches its digest."""
    if not result.body and not result.digest:
        return True
    return digest_body(result.body) == result.digest


def digest_body(body: bytes) -> int:
    """Return the digest that is sent with the body of an upstream's response."""
    return xxhash.xxh3_64_intdigest(body) >> 1
