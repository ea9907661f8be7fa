"""Events that a gateway's dispatcher handles, and the effects that it returns."""

from __future__ import annotations

import enum

import attrs

from amaranthspar import effects
from amaranthspar.scheduling import jobs
from amaranthspar.schema import runmessages, viewmessages


class Outcome(enum.Enum):
    """Outcome of a job.

    Attributes:
        COMPLETED: Every task is done.
        FAILED: A task failed on every attempt.
        REFUSED: The job was not admitted, or left the queue before any start was sent.
        CANCELLED: The job was cancelled on request.
        ABANDONED: The job was given up because its caller left, or by the gateway after
            a start was sent.
    """

    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"
    CANCELLED = "cancelled"
    ABANDONED = "abandoned"


@attrs.frozen(slots=True)
class Submit:
    """A caller has submitted a job.

    Attributes:
        request: Job as submitted.
        arrived_ms: Time of its arrival in ms; `None` for the time of the event.
    """

    request: jobs.Request
    arrived_ms: int | None = None


@attrs.frozen(slots=True)
class Cancel:
    """A job has to end without a result.

    Attributes:
        job: Id of the job.
        outcome: Outcome that it gets.
        reason: Reason for the answer and the log.
    """

    job: str
    outcome: Outcome
    reason: str


@attrs.frozen(slots=True)
class Heard:
    """Reports of a sidecar were received.

    Attributes:
        sidecar: Process name of the sidecar.
        incarnation: Incarnation of its process.
        address: Address at which it listens.
        reports: State of runs, and the capacity of the upstream.
    """

    sidecar: str
    incarnation: int
    address: str
    reports: runmessages.RunReports


@attrs.frozen(slots=True)
class Found:
    """Controllers sent the list of processes and of domains out of service.

    Attributes:
        peers: All listed processes.
        domains_out: Names of the failure domains that are out of service.
    """

    peers: tuple[viewmessages.Peer, ...]
    domains_out: frozenset[str]


@attrs.frozen(slots=True)
class Drain:
    """The gateway shuts down gracefully: it admits only jobs that end in time.

    Attributes:
        until_ms: Time in ms by which the last job must have ended.
    """

    until_ms: int


@attrs.frozen(slots=True)
class Tick:
    """Time for the periodic work: renewals, timeouts and resends."""


Event = Submit | Cancel | Heard | Found | Drain | Tick


@attrs.frozen(slots=True)
class JobEnded:
    """Effect: a job has ended, and its caller gets an answer.

    Attributes:
        job: Id of the job.
        outcome: Outcome of the job.
        reason: Reason for the answer and the log.
        retry_after_ms: Time in ms after which the caller may retry; 0 if not refused.
    """

    job: str
    outcome: Outcome
    reason: str
    retry_after_ms: int = 0


@attrs.frozen(slots=True)
class LogRecord:
    """Effect: a line is written to the log.

    Attributes:
        event: Name of the log event.
        job: Id of the job that it concerns; empty for none.
        details: Keys and values of the line.
    """

    event: str
    job: str = ""
    details: tuple[tuple[str, str | int | float], ...] = ()


Effect = effects.Send | JobEnded | LogRecord
