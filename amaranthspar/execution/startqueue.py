"""Queue of starts that wait at a sidecar for a free slot."""

import attrs

from amaranthspar.schema import messages

MAX_QUEUED_STARTS = 2


@attrs.frozen(slots=True)
class QueuedStart:
    """A task that waits for a free slot.

    Attributes:
        gateway: Process name of the gateway.
        incarnation: Incarnation of the gateway.
        message: Start message that contained the task.
        task: Task.
        received_ms: Monotonic time at which the message arrived in ms.
    """

    gateway: str
    incarnation: int
    message: messages.StartTasks
    task: messages.TaskStart
    received_ms: int

    def build_message(self, now_ms: int) -> messages.StartTasks:
        """Return the start message with the time that remains until its deadline.

        Args:
            now_ms: Monotonic time in ms.
        """
        left_ms = self.message.deadline_ms - (now_ms - self.received_ms)
        return attrs.evolve(self.message, deadline_ms=left_ms)


class StartQueue:
    """First-in, first-out queue of starts with a bounded length."""

    def __init__(self) -> None:
        self._starts: dict[tuple[str, int], QueuedStart] = {}

    def __len__(self) -> int:
        """Return the number of tasks that wait."""
        return len(self._starts)

    def __contains__(self, name: tuple[str, int]) -> bool:
        """Return whether a task waits."""
        return name in self._starts

    @property
    def has_capacity(self) -> bool:
        """Whether one more task may wait."""
        return len(self._starts) < MAX_QUEUED_STARTS

    def add(self, start: QueuedStart) -> None:
        """Append a task."""
        self._starts[start.message.submission, start.task.index] = start

    def remove(self, name: tuple[str, int]) -> QueuedStart | None:
        """Remove and return a task, or return None if it does not wait.

        Args:
            name: Submission id and position of the task.
        """
        return self._starts.pop(name, None)

    def pop_first(self) -> QueuedStart:
        """Remove and return the task that has waited longest."""
        return self._starts.pop(next(iter(self._starts)))
