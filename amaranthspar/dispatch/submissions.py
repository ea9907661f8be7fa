"""Requests and jobs that callers submit to a gateway, and their answers."""

import enum

import attrs

from amaranthspar.schema import messages

NOT_RUN = "not-run"
DONE = "done"
UNKNOWN = "unknown"


class TaskState(enum.Enum):
    """State of one task."""

    QUEUED = enum.auto()
    SENT = enum.auto()
    ENDED = enum.auto()


class Failure(enum.Enum):
    """Kind of a failed submission, as callers see it."""

    TASK_FAILED = "failed"
    CANCELLED = "cancelled"
    OVERDUE = "deadline-passed"
    TOO_LATE = "deadline-too-near"
    INFEASIBLE = "can-never-run"
    QUEUE_FULL = "queue-full"
    QUOTA = "quota-exceeded"
    UNAVAILABLE = "unavailable"


@attrs.frozen(slots=True)
class Answer:
    """Final answer to a submission.

    Attributes:
        submission: Submission id.
        outcome: ``done``, ``not-run`` or ``unknown``.
        results: Results in task order if all tasks are done, else empty.
        reason: Why the submission failed; empty for a successful answer.
        retry_after_ms: Time after which a caller may retry; 0 for no advice.
        failure: Kind of the failure; without meaning for a successful answer.
    """

    submission: str
    outcome: str
    results: list[messages.TaskResult]
    reason: str = ""
    retry_after_ms: int = 0
    failure: Failure = Failure.TASK_FAILED


@attrs.define(slots=True)
class Task:
    """One task of a submission.

    Attributes:
        index: Position in the submission.
        payload: Body for the upstream.
        expected_ms: Declared run time in ms; 0 for none.
        cores: Declared processor cores.
        memory_mb: Declared memory in MB.
        accelerators: Declared accelerators.
        state: State of the task.
        sidecar: Process name of the sidecar that holds it; empty for none.
        cost_ms: Expected run time in ms.
        sent_ms: Monotonic time at which it was last sent.
        attempts: Number of times it was sent.
        sequence: Sequence of the start message that last carried it.
        may_have_run: Whether an earlier attempt may have run.
        failed_at: Sidecar at which it failed last, None if it has not failed.
        failed_ms: Monotonic time of that failure.
        result: Final result, None until the task has ended.
    """

    index: int
    payload: bytes
    expected_ms: int = 0
    cores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    state: TaskState = TaskState.QUEUED
    sidecar: str = ""
    cost_ms: float = 0.0
    sent_ms: int = 0
    attempts: int = 0
    sequence: int = 0
    may_have_run: bool = False
    failed_at: messages.Member | None = None
    failed_ms: int = 0
    result: messages.TaskResult | None = None

    def note_failure(self, sidecar: messages.Member, now_ms: int) -> None:
        """Record where and when the task has failed.

        Args:
            sidecar: Sidecar that had it.
            now_ms: Monotonic time in ms.
        """
        self.failed_at = sidecar
        self.failed_ms = now_ms


@attrs.define(slots=True)
class Submission:
    """A request or a job.

    Attributes:
        name: Submission id, unique over gateways and incarnations.
        service: Service name.
        account: Account name.
        team: Team name; empty for none.
        caller: Name that distinguishes callers of one account.
        desk: Desk name; empty for none.
        is_job: Whether the answer is that of a job.
        content_type: Content type of the payloads.
        admitted_ms: Monotonic time of admission.
        deadline_ms: Monotonic time of the deadline.
        tasks: Tasks in order.
        traceparent: W3C trace context; empty for none.
        ended: Number of tasks that have ended.
        answered: Whether the submission has been answered.
    """

    name: str
    service: str
    account: str
    team: str
    caller: str
    desk: str
    is_job: bool
    content_type: str
    admitted_ms: int
    deadline_ms: int
    tasks: list[Task]
    traceparent: str = ""
    ended: int = 0
    answered: bool = False

    def list_sent(self) -> list[Task]:
        """Return the tasks that a sidecar holds."""
        return [task for task in self.tasks if task.state is TaskState.SENT]

    def end_task(self, task: Task, result: messages.TaskResult) -> None:
        """Record the final result of a task.

        Args:
            task: Task of this submission that has not ended.
            result: Result of the task.
        """
        task.state = TaskState.ENDED
        task.result = result
        self.ended += 1

    def conclude(self) -> Answer:
        """Return the answer once every task has ended."""
        results = [task.result for task in self.tasks if task.result is not None]
        failed = [item for item in results if not is_success(item, self.is_job)]
        if not failed:
            return Answer(self.name, DONE, results)
        return self.fail(f"task {failed[0].index}: {describe_failure(failed[0])}")

    def fail(
        self,
        reason: str,
        retry_after_ms: int = 0,
        failure: Failure = Failure.TASK_FAILED,
    ) -> Answer:
        """Return the answer of a submission that has failed.

        Args:
            reason: Cause in a few words.
            retry_after_ms: Time after which a caller may retry; 0 for no advice.
            failure: Kind of the failure.
        """
        outcome = self._find_outcome()
        return Answer(self.name, outcome, [], reason, retry_after_ms, failure)

    def _find_outcome(self) -> str:
        started = False
        for task in self.tasks:
            outcome = "" if task.result is None else task.result.outcome
            if task.state is TaskState.SENT or outcome == UNKNOWN:
                return UNKNOWN
            if task.may_have_run and outcome != DONE:
                return UNKNOWN
            started |= outcome == DONE
        return DONE if started else NOT_RUN


def is_success(result: messages.TaskResult, is_job: bool) -> bool:
    """Return whether a task succeeded.

    Args:
        result: Result of a task.
        is_job: Whether the task is part of a job; the status of a single request
            is returned to the caller unchanged.
    """
    return result.outcome == DONE and (not is_job or result.status < 400)


def describe_failure(result: messages.TaskResult) -> str:
    """Return the cause of a failed task in a few words."""
    if result.outcome == DONE:
        return f"upstream answered {result.status}"
    return result.reason or result.outcome
