"""The one place that decides whether a task may start."""

import enum

import attrs

from amaranthspar import messages, view

REMEMBERED_TASKS = 65536


class Refusal(enum.Enum):
    """Why a task does not start."""

    LEASE_LAPSED = "lease lapsed"
    DOMAIN_OUT = "failure domain out of service"
    LEAVING = "upstream leaving"
    WRONG_INCARNATION = "wrong incarnation"
    STALE_MESSAGE = "stale message"
    DUPLICATE = "duplicate"
    UNKNOWN_SERVICE = "unknown service"
    WRONG_HOME = "desk served elsewhere"
    OLD_CONFIGURATION = "older configuration"
    DEADLINE_PASSED = "deadline passed"
    NO_SLOT = "no free slot"
    CANCELLED = "cancelled"


@attrs.frozen(slots=True)
class Situation:
    """State of the sidecar when a start message is judged.

    Attributes:
        lease_valid: Whether the sidecar's lease is in force.
        leaving: Whether the sidecar drains.
        incarnation: Incarnation of the sidecar.
        last_sequence: Last start sequence seen from that gateway incarnation.
        announcement: What the sidecar stated about its upstream.
        known: Configuration and membership held.
    """

    lease_valid: bool
    leaving: bool
    incarnation: int
    last_sequence: int
    announcement: messages.Announcement
    known: view.View


def judge_message(message: messages.StartTasks, situation: Situation) -> Refusal | None:
    """Return why none of a message's tasks may start, none if they may.

    Args:
        message: Offer of a gateway.
        situation: State of the sidecar.
    """
    announcement = situation.announcement
    known = situation.known
    if message.target != situation.incarnation:
        return Refusal.WRONG_INCARNATION
    if message.sequence <= situation.last_sequence:
        return Refusal.STALE_MESSAGE
    if not situation.lease_valid:
        return Refusal.LEASE_LAPSED
    if situation.leaving:
        return Refusal.LEAVING
    if not known.is_domain_in(announcement.failure_domain):
        return Refusal.DOMAIN_OUT
    if message.service not in announcement.services:
        return Refusal.UNKNOWN_SERVICE
    if message.service not in known.settings.services:
        return Refusal.UNKNOWN_SERVICE
    if known.find_home(message.desk) != announcement.group:
        return Refusal.WRONG_HOME
    if message.deadline_ms <= 0:
        return Refusal.DEADLINE_PASSED
    return None


class TaskMemory:
    """Remembers the tasks that this incarnation started or refused.

    The message sequence is what keeps late and doubled messages from starting
    a task; this memory answers inquiries and is a second check.
    """

    def __init__(self) -> None:
        self._tasks: dict[tuple[str, int], None] = {}

    def __contains__(self, task: tuple[str, int]) -> bool:
        """Return whether a task was started here."""
        return task in self._tasks

    def note(self, submission: str, index: int) -> None:
        """Remember a task; the oldest is forgotten when the memory is full."""
        self._tasks[submission, index] = None
        if len(self._tasks) > REMEMBERED_TASKS:
            del self._tasks[next(iter(self._tasks))]
