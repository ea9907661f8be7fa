"""Decisions on tasks whose sidecar is silent or gone."""

from collections.abc import Mapping

import attrs

from amaranthspar import effects, leaseholder, messages, routing, submissions

SILENT_MS = 1500
INQUIRE_INTERVAL_MS = 1500


@attrs.frozen(slots=True)
class Retry:
    """The task may be sent to another sidecar."""

    submission: submissions.Submission
    task: submissions.Task


@attrs.frozen(slots=True)
class Lost:
    """The task may have run and its result is gone."""

    submission: submissions.Submission
    task: submissions.Task
    result: messages.TaskResult


Verdict = Retry | Lost


class Doubts:
    """Asks silent sidecars and judges what gone sidecars held.

    Args:
        holder: Lease of this gateway.
    """

    def __init__(self, holder: leaseholder.LeaseHolder) -> None:
        self._holder = holder

    def inquire(self, route: routing.Route, now_ms: int) -> list[effects.Send]:
        """Ask a silent sidecar what became of the tasks that it was sent.

        Args:
            route: Sidecar.
            now_ms: Monotonic time in ms.
        """
        silent = now_ms - route.heard_ms > SILENT_MS
        asked = now_ms - route.inquired_ms < INQUIRE_INTERVAL_MS
        if not route.in_flight or not silent or asked:
            return []
        route.inquired_ms = now_ms
        doubtful = [messages.TaskReference(*name) for name in route.in_flight]
        inquiry = messages.InquireTasks(
            route.member.incarnation, route.sequence, doubtful
        )
        return [effects.Send(route.member.address, inquiry)]

    def give_up(
        self,
        route: routing.Route,
        admitted: Mapping[str, submissions.Submission],
    ) -> list[Verdict]:
        """Judge the tasks of a sidecar that is gone.

        Args:
            route: Sidecar that is no longer a member in that incarnation.
            admitted: Submissions that are not over, by id.
        """
        result: list[Verdict] = []
        for (name, _), task in route.in_flight.items():
            submission = admitted.get(name)
            if submission is not None:
                result.append(self._judge(submission, task))
        return result

    def _judge(
        self, submission: submissions.Submission, task: submissions.Task
    ) -> Verdict:
        service = self._holder.view.settings.services.get(submission.service)
        idempotent = service is not None and service.idempotent
        if idempotent and not submission.is_job and task.attempts == 1:
            return Retry(submission, task)
        lost = messages.TaskResult(
            submission.name, task.index, "unknown", "sidecar lost"
        )
        return Lost(submission, task, lost)
