"""Tasks that wait in a gateway for a slot."""

import attrs

from amaranthspar import fairqueue, routing, submissions

DEFAULT_EXPECTED_MS = 200


@attrs.frozen(slots=True)
class Waiting:
    """A task in the queue."""

    submission: submissions.Submission
    task: submissions.Task


class Backlog:
    """Queues of waiting tasks, one for each set of needs."""

    def __init__(self) -> None:
        self._queues: dict[routing.Needs, fairqueue.FairQueue[Waiting]] = {}
        self._counts: dict[str, int] = {}
        self._oldest: dict[str, int] = {}
        self._total = 0

    def __len__(self) -> int:
        """Return how many tasks wait."""
        return self._total

    def list_needs(self) -> list[routing.Needs]:
        """Return the needs for which something may wait."""
        return list(self._queues)

    def push(self, needs: routing.Needs, waiting: Waiting) -> None:
        """Add a task.

        Args:
            needs: What the task asks of an upstream.
            waiting: Task and its submission.
        """
        submission, task = waiting.submission, waiting.task
        task.state = submissions.TaskState.QUEUED
        task.sidecar = ""
        queue = self._queues.setdefault(needs, fairqueue.FairQueue())
        path = (submission.team, submission.caller, submission.name)
        queue.push(path, waiting, task.expected_ms or DEFAULT_EXPECTED_MS)
        self._counts[submission.name] = self._counts.get(submission.name, 0) + 1
        self._oldest.setdefault(submission.name, submission.admitted_ms)
        self._total += 1

    def pop(self, needs: routing.Needs) -> Waiting | None:
        """Remove and return the task that is served next, none if none waits.

        Args:
            needs: What the task asks of an upstream.
        """
        queue = self._queues.get(needs)
        while queue is not None and len(queue):
            waiting = queue.pop()
            if not waiting.submission.over:
                self._forget_one(waiting.submission.name)
                return waiting
        self._queues.pop(needs, None)
        return None

    def drop(self, submission: str) -> None:
        """Forget the tasks of a submission that is over.

        Args:
            submission: Submission id.
        """
        self._total -= self._counts.pop(submission, 0)
        self._oldest.pop(submission, None)

    def measure_oldest_wait(self, now_ms: int) -> int:
        """Return how long the longest waiting submission has waited in ms.

        Args:
            now_ms: Monotonic time in ms.
        """
        if not self._oldest:
            return 0
        return now_ms - next(iter(self._oldest.values()))

    def _forget_one(self, submission: str) -> None:
        self._total -= 1
        self._counts[submission] -= 1
        if not self._counts[submission]:
            del self._counts[submission]
            del self._oldest[submission]
