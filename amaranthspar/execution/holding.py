"""Starts that wait at a sidecar for a slot to be freed."""

import attrs

from amaranthspar.schema import messages

HELD_TASKS = 2


@attrs.frozen(slots=True)
class Held:
    """A task that has not been started.

    Attributes:
        gateway: Process name of the gateway.
        incarnation: Incarnation of the gateway.
        message: Start message that carried it.
        task: Task.
        received_ms: Monotonic time of its arrival.
    """

    gateway: str
    incarnation: int
    message: messages.StartTasks
    task: messages.TaskStart
    received_ms: int

    def update_message(self, now_ms: int) -> messages.StartTasks:
        """Return the start message with the time that is left.

        Args:
            now_ms: Monotonic time in ms.
        """
        left_ms = self.message.deadline_ms - (now_ms - self.received_ms)
        return attrs.evolve(self.message, deadline_ms=left_ms)


class Holding:
    """Tasks in the order of their arrival."""

    def __init__(self) -> None:
        self._tasks: dict[tuple[str, int], Held] = {}

    def __len__(self) -> int:
        """Return how many tasks wait."""
        return len(self._tasks)

    def __contains__(self, name: tuple[str, int]) -> bool:
        """Return whether a task waits here."""
        return name in self._tasks

    @property
    def has_room(self) -> bool:
        """Whether one more task may wait."""
        return len(self._tasks) < HELD_TASKS

    def add(self, held: Held) -> None:
        """Let a task wait."""
        self._tasks[held.message.submission, held.task.index] = held

    def take(self, name: tuple[str, int]) -> Held | None:
        """Remove and return a task, none if it does not wait here.

        Args:
            name: Submission id and position of the task.
        """
        return self._tasks.pop(name, None)

    def take_first(self) -> Held:
        """Remove and return the task that came first."""
        return self._tasks.pop(next(iter(self._tasks)))
