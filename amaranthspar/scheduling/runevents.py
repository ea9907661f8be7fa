"""State, events and effects of the runs that a sidecar manages.

`runmanager.RunManager` takes the events and returns the effects, which
`roles.runsidecar` carries out.
"""

from __future__ import annotations

import enum
from typing import Literal, TypeAlias

import attrs

from amaranthspar.schema import runmessages

ReportState: TypeAlias = Literal[
    "started", "running", "refused", "stale", "done", "failed", "stopped", "lost"
]


class RunState(enum.Enum):
    """State of a run that may occupy capacity.

    Attributes:
        STARTING: The start has been requested and is not answered yet.
        UNCONFIRMED: The start was not answered, so it is not known whether the run
            started.
        RUNNING: The upstream has confirmed the start.
        STOPPING: The run is to stop, or its stop was confirmed.
    """

    STARTING = enum.auto()
    UNCONFIRMED = enum.auto()
    RUNNING = enum.auto()
    STOPPING = enum.auto()


@attrs.define(slots=True, eq=False)
class Run:
    """A run that may occupy capacity of the upstream.

    Attributes:
        name: Task and number of the start.
        gateway: Name of the gateway that requested it; empty if none did.
        needs: Capacity that it occupies.
        upstream: Incarnation of the upstream for which its start was decided; empty if
            this process did not start it.
        state: State of the run.
        requested_ms: Time at which its start was requested in ms.
        percent: Percentage of the work that was done according to the last list.
        listed_ms: Time at which that list arrived in ms; -1 before the first.
        stop_reason: Why it is being stopped; empty while it is not.
        lease_limit_ms: Time in ms beyond which the upstream must not lease it, once it
            is to stop; -1 before.
        start_confirmed_ms: Time at which the upstream confirmed its start in ms; -1
            before.
        stop_confirmed_ms: Time at which the upstream confirmed its stop in ms; -1
            before.
        expected_ms: Duration in ms that its gateway expects on an upstream of ordinary
            speed; 0 if unknown.
    """

    name: runmessages.RunName
    gateway: str
    needs: runmessages.Resources
    upstream: str
    requested_ms: int
    state: RunState = RunState.STARTING
    percent: int = 0
    listed_ms: int = -1
    stop_reason: str = ""
    lease_limit_ms: int = -1
    start_confirmed_ms: int = -1
    stop_confirmed_ms: int = -1
    expected_ms: int = 0

    @property
    def is_confirmed(self) -> bool:
        """Whether the upstream has confirmed the start."""
        return self.start_confirmed_ms >= 0


@attrs.define(slots=True, eq=False)
class Gateway:
    """State that a sidecar keeps of a gateway.

    Attributes:
        name: Process name.
        incarnation: Incarnation of the process.
        address: Address at which it listens.
        last_message_ms: Time of its last message in ms.
        acknowledged_ms: Time in ms at which the newest report that it has acknowledged
            was sent.
        report_times_ms: Times in ms at which the latest reports were sent, by number.
        last_start: Highest number of a `StartRuns` received from it.
        last_renewal: Number of the last `KeepRuns` processed.
        is_waiting: Whether it has tasks that wait for capacity.
        last_report_ms: Time at which the last report was sent to it in ms.
        has_capacity_changed: Whether the free capacity has changed since then.
        is_report_due: Whether to send it a report at once.
        reports: Reports of runs that have not been sent to it yet.
        expected_free: Free capacity according to the last report, less the needs of
            orders that arrived since.
    """

    name: str
    incarnation: int
    address: str
    last_message_ms: int
    acknowledged_ms: int
    report_times_ms: dict[int, int] = attrs.field(factory=dict)
    last_start: int = 0
    last_renewal: int = 0
    is_waiting: bool = False
    last_report_ms: int = 0
    has_capacity_changed: bool = False
    is_report_due: bool = True
    reports: list[runmessages.RunReport] = attrs.field(factory=list)
    expected_free: runmessages.Resources = runmessages.Resources()

    def acknowledge(self, number: int) -> None:
        """Note that the gateway has received a report, which renews its lease.

        Args:
            number: Number of the report; 0 for none.
        """
        self.acknowledged_ms = max(
            self.acknowledged_ms, self.report_times_ms.get(number, -1)
        )

    def find_evidence_ms(self, oldest_ms: int) -> int:
        """Return until when an order that arrives now shows at least that it was alive.

        Args:
            oldest_ms: Time in ms of the oldest report on which an order may be based.

        Returns:
            Time in ms of the oldest such report, or of the newest one that the gateway has
            acknowledged; -1 if no order of it is accepted.
        """
        evidence_ms = -1
        for reported_ms in reversed(self.report_times_ms.values()):
            if reported_ms < oldest_ms:
                break
            evidence_ms = max(self.acknowledged_ms, reported_ms)
        return evidence_ms


@attrs.frozen(slots=True)
class Sender:
    """Gateway that sent a message."""

    name: str
    incarnation: int
    address: str


@attrs.frozen(slots=True)
class UpstreamKnown:
    """The upstream stated its identity and capacity.

    A list of a new incarnation follows, requested with a fencing token above those of
    the starts for earlier ones.

    Attributes:
        incarnation: Incarnation of the upstream.
        capacity: Total capacity.
        labels: Kind and rack.
        is_leaving: Whether it takes no new runs.
    """

    incarnation: str
    capacity: runmessages.Resources
    labels: tuple[str, ...]
    is_leaving: bool


@attrs.frozen(slots=True)
class UpstreamGone:
    """The upstream has ended or its last lease has expired, so it has no runs.

    Attributes:
        reason: What showed that it has ended.
        asked_ms: Time in ms at which the call began that showed it. Starts confirmed
            later may be those of its successor. None if all starts are covered.
    """

    reason: str
    asked_ms: int | None = None


@attrs.frozen(slots=True)
class Asked:
    """A gateway sent a message that starts, stops or renews runs."""

    sender: Sender
    message: runmessages.StartRuns | runmessages.StopRuns | runmessages.KeepRuns


class Answer(enum.Enum):
    """Answer of the upstream to a start or a stop.

    The values are logged and reported as reasons.

    Attributes:
        ACCEPTED: The start or stop is carried out.
        UNKNOWN: The outcome is not known, for example for want of an answer in time.
        NO_ROOM: The upstream has too little free capacity.
        STALE: The upstream refused the run as out of date.
        LATE: The start was too old when it was to be sent or when it arrived.
        UNHEALTHY: The upstream cannot accept the call at present.
        INVALID: The upstream rejected the request as invalid.
        REPLACED: Another incarnation of the upstream answered, or there is none.
    """

    ACCEPTED = "taken"
    UNKNOWN = "silent"
    NO_ROOM = "no room on the upstream"
    STALE = "stale"
    LATE = "start arrived late"
    UNHEALTHY = "upstream is unhealthy"
    INVALID = "upstream finds the start invalid"
    REPLACED = "another upstream answered"


@attrs.frozen(slots=True)
class StartAnswered:
    """A call that requested a start has ended, answered or not."""

    name: runmessages.RunName
    answer: Answer


@attrs.frozen(slots=True)
class StopAnswered:
    """A call that requested a stop has ended, answered or not.

    Attributes:
        name: Run to stop.
        answer: Answer of the upstream.
        upstream: Incarnation of the upstream that was called; empty for none.
    """

    name: runmessages.RunName
    answer: Answer
    upstream: str = ""


@attrs.frozen(slots=True)
class ListedRun:
    """A run that the upstream lists as under way.

    Attributes:
        name: Task and number of the start.
        saved: Last checkpoint; empty for none.
        percent: Percentage of the work that is done.
    """

    name: runmessages.RunName
    saved: str
    percent: int


@attrs.frozen(slots=True)
class EndedRun:
    """A run that the upstream lists as ended.

    Attributes:
        name: Task and number of the start.
        outcome: ``done``, ``failed``, ``stopped`` or another reason for the end.
        saved: Last checkpoint; empty for none.
    """

    name: runmessages.RunName
    outcome: str
    saved: str


@attrs.frozen(slots=True)
class Listed:
    """The upstream listed its runs.

    Attributes:
        asked_ms: Time at which the list was requested in ms.
        running: Runs under way.
        ends: Ends that have not been listed before, in order.
    """

    asked_ms: int
    running: tuple[ListedRun, ...]
    ends: tuple[EndedRun, ...]


@attrs.frozen(slots=True)
class Unlisted:
    """The upstream did not answer a request for its list."""


@attrs.frozen(slots=True)
class DomainChanged:
    """The upstream's failure domain went out of service or came back."""

    is_out: bool


@attrs.frozen(slots=True)
class Leave:
    """The sidecar begins its graceful shutdown and accepts no new runs."""


@attrs.frozen(slots=True)
class Tick:
    """Time has passed: leases and other time limits are checked."""


Event = (
    UpstreamKnown
    | UpstreamGone
    | Asked
    | StartAnswered
    | StopAnswered
    | Listed
    | Unlisted
    | DomainChanged
    | Leave
    | Tick
)


@attrs.frozen(slots=True)
class CallStart:
    """Requests that the upstream start a run.

    Attributes:
        order: Run to start.
        spec: Specification of its job.
        upstream: Incarnation of the upstream for which the start was decided.
        decided_ms: Time of the decision in ms, which is valid for a limited time.
    """

    order: runmessages.RunOrder
    spec: str
    upstream: str
    decided_ms: int


@attrs.frozen(slots=True)
class CallStop:
    """Requests that the upstream stop a run and refuse any later start of it."""

    name: runmessages.RunName
    reason: str


@attrs.frozen(slots=True)
class SendReports:
    """Sends reports of runs and the free capacity to a gateway."""

    gateway: str
    address: str
    reports: runmessages.RunReports


@attrs.frozen(slots=True)
class LogDecision:
    """Logs a decision.

    Attributes:
        event: Log event.
        task: Task that it concerns; empty for none.
        run: Number of the start; 0 for none.
        reason: Reason for the decision.
    """

    event: str
    task: str = ""
    run: int = 0
    reason: str = ""


Effect = CallStart | CallStop | SendReports | LogDecision
