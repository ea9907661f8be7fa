"""What happens to the jobs of a gateway, and what it does about it."""

from __future__ import annotations

import enum

import attrs

from amaranthspar import effects
from amaranthspar.scheduling import jobs
from amaranthspar.schema import runmessages, viewmessages


class Outcome(enum.Enum):
    """How a job ends."""

    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"
    CANCELLED = "cancelled"
    ABANDONED = "abandoned"


@attrs.frozen(slots=True)
class Submit:
    """A caller submits a job.

    Attributes:
        request: Job as submitted.
        arrived_ms: Time of its arrival in ms; nothing if it has just come.
    """

    request: jobs.Request
    arrived_ms: int | None = None


@attrs.frozen(slots=True)
class Cancel:
    """A job is to end without a result.

    Attributes:
        job: Id of the job.
        outcome: How it ends.
        reason: What decided it.
    """

    job: str
    outcome: Outcome
    reason: str


@attrs.frozen(slots=True)
class Heard:
    """A sidecar sent reports."""

    sidecar: str
    incarnation: int
    address: str
    reports: runmessages.RunReports


@attrs.frozen(slots=True)
class Found:
    """Controllers list these processes and domains out of service."""

    peers: tuple[viewmessages.Peer, ...]
    domains_out: frozenset[str]


@attrs.frozen(slots=True)
class Drain:
    """The gateway is to stop: it admits only jobs that end in time.

    Attributes:
        until_ms: Time in ms by which the last job must have ended.
    """

    until_ms: int


@attrs.frozen(slots=True)
class Tick:
    """Time has passed."""


Event = Submit | Cancel | Heard | Found | Drain | Tick


@attrs.frozen(slots=True)
class JobEnded:
    """A job has its outcome.

    Attributes:
        job: Id of the job.
        outcome: How it ended.
        reason: What decided it.
        retry_after_ms: When the caller may come back in ms, for a refusal.
    """

    job: str
    outcome: Outcome
    reason: str
    retry_after_ms: int = 0


@attrs.frozen(slots=True)
class LogRecord:
    """Something worth a line in the log.

    Attributes:
        event: What was decided.
        job: Job that it is about; empty for none.
        details: What decided it, by name.
    """

    event: str
    job: str = ""
    details: tuple[tuple[str, str | int | float], ...] = ()


Effect = effects.Send | JobEnded | LogRecord
