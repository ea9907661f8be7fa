"""Checks that decide whether a task may start on a sidecar's upstream.

No other module decides this.
"""

import enum

import attrs

from amaranthspar.membership import view
from amaranthspar.schema import messages

MAX_STARTED_TASKS = 1024


class Refusal(enum.Enum):
    """Reason for which a task does not start."""

    LEASE_EXPIRED = "lease lapsed"
    DOMAIN_OUT = "failure domain out of service"
    DRAINING = "upstream leaving"
    WRONG_INCARNATION = "wrong incarnation"
    STALE_MESSAGE = "stale message"
    NOT_RECEIVED = "start message not received"
    DUPLICATE = "duplicate"
    UNKNOWN_SERVICE = "unknown service"
    WRONG_HOME = "desk served elsewhere"
    OLD_CONFIGURATION = "older configuration"
    DEADLINE_PASSED = "deadline passed"
    NO_SLOT = "no free slot"
    CANCELLED = "cancelled"


@attrs.frozen(slots=True)
class SidecarState:
    """State of a sidecar when a start message is checked.

    Attributes:
        lease_valid: Whether the sidecar's lease is valid.
        draining: Whether the sidecar is draining.
        incarnation: Incarnation of the sidecar.
        last_sequence: Highest start sequence received from that gateway incarnation.
        announcement: Announcement of the sidecar's upstream.
        cluster_view: Configuration and membership that the sidecar holds.
    """

    lease_valid: bool
    draining: bool
    incarnation: int
    last_sequence: int
    announcement: messages.Announcement
    cluster_view: view.View


def find_refusal(message: messages.StartTasks, state: SidecarState) -> Refusal | None:
    """Return the reason for which no task of a message may start, if there is one.

    Args:
        message: Start message of a gateway.
        state: State of the sidecar.
    """
    announcement = state.announcement
    cluster_view = state.cluster_view
    if message.target != state.incarnation:
        return Refusal.WRONG_INCARNATION
    if message.sequence <= state.last_sequence:
        return Refusal.STALE_MESSAGE
    if not state.lease_valid:
        return Refusal.LEASE_EXPIRED
    if state.draining:
        return Refusal.DRAINING
    if not cluster_view.is_domain_in(announcement.failure_domain):
        return Refusal.DOMAIN_OUT
    if message.service not in announcement.services:
        return Refusal.UNKNOWN_SERVICE
    if message.service not in cluster_view.settings.services:
        return Refusal.UNKNOWN_SERVICE
    if cluster_view.find_home(message.desk) != announcement.group:
        return Refusal.WRONG_HOME
    if message.configuration_version < cluster_view.find_move(message.desk):
        return Refusal.OLD_CONFIGURATION
    if message.deadline_ms <= 0:
        return Refusal.DEADLINE_PASSED
    return None


class StartedTasks:
    """Most recent tasks that were started for one incarnation of a gateway.

    The sequence of the start messages prevents late and duplicate messages from
    starting a task. This set answers inquiries and is a second check.

    Args:
        capacity: Largest number of tasks; the oldest are evicted first.
    """

    def __init__(self, capacity: int = MAX_STARTED_TASKS) -> None:
        self._capacity = capacity
        self._tasks: dict[tuple[str, int], int] = {}
        self._evicted_sequence = 0

    def __contains__(self, task: tuple[str, int]) -> bool:
        """Return whether a task was started and has not been evicted."""
        return task in self._tasks

    def may_contain(self, task: messages.TaskReference) -> bool:
        """Return whether a task was started, or may have been and was evicted.

        Args:
            task: Task and the sequence of the start message that contained it.
        """
        name = (task.submission, task.index)
        return name in self._tasks or task.sequence <= self._evicted_sequence

    def add(self, task: tuple[str, int], sequence: int) -> None:
        """Add a task, and evict the oldest one beyond the capacity.

        Args:
            task: Submission id and position of the task.
            sequence: Sequence of the start message that contained it.
        """
        self._tasks[task] = sequence
        if len(self._tasks) > self._capacity:
            evicted = self._tasks.pop(next(iter(self._tasks)))
            self._evicted_sequence = max(self._evicted_sequence, evicted)

    def remove(self, task: tuple[str, int]) -> None:
        """Remove a task of which nothing was sent to the upstream."""
        self._tasks.pop(task, None)
