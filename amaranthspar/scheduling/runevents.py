"""What happens to the runs of a sidecar, and what it does about it."""

from __future__ import annotations

import enum
from typing import Literal, TypeAlias

import attrs

from amaranthspar.schema import runmessages

ReportState: TypeAlias = Literal[
    "started", "running", "refused", "stale", "done", "failed", "stopped", "lost"
]


class RunState(enum.Enum):
    """Where a run stands."""

    STARTING = enum.auto()
    UNCONFIRMED = enum.auto()
    RUNNING = enum.auto()
    STOPPING = enum.auto()


@attrs.define(slots=True, eq=False)
class Run:
    """A run that may occupy room.

    Attributes:
        name: Task and number of the start.
        gateway: Process that asked for it; empty for one that nobody owns.
        needs: What it occupies.
        state: Where it stands.
        called_ms: Time of the start in ms.
        percent: Share of the work that was done when it was last listed.
        listed_ms: Time at which that list came in ms; -1 before the first.
        why: Why it is being stopped; empty while it is not.
        confirmed_ms: Time at which the upstream confirmed that it runs; -1 before.
        stopped_ms: Time at which the upstream confirmed its stop in ms; -1 before.
    """

    name: runmessages.RunName
    gateway: str
    needs: runmessages.Resources
    called_ms: int
    state: RunState = RunState.STARTING
    percent: int = 0
    listed_ms: int = -1
    why: str = ""
    confirmed_ms: int = -1
    stopped_ms: int = -1

    @property
    def was_seen(self) -> bool:
        """Whether the upstream has confirmed that it runs."""
        return self.confirmed_ms >= 0


@attrs.define(slots=True, eq=False)
class Gateway:
    """A gateway as a sidecar knows it.

    Attributes:
        name: Process name.
        incarnation: Incarnation of the process.
        address: Address at which it listens.
        heard_ms: Time of its last message in ms.
        confirmed_ms: Time in ms of the newest statement that it says to have heard.
        told: Times in ms of the latest statements to it, by number.
        started: Number of its last `StartRuns` taken.
        kept: Number of its last `KeepRuns` taken.
        is_waiting: Whether it has tasks that wait for room.
        told_ms: Time at which it was last told of runs and room in ms.
        is_room_due: Whether the room has changed since.
        is_answer_due: Whether it is to be told at once.
        reports: What it is to be told.
        believed: Room that it was told of, less what it has sent since.
    """

    name: str
    incarnation: int
    address: str
    heard_ms: int
    confirmed_ms: int
    told: dict[int, int] = attrs.field(factory=dict)
    started: int = 0
    kept: int = 0
    is_waiting: bool = False
    told_ms: int = 0
    is_room_due: bool = False
    is_answer_due: bool = True
    reports: list[runmessages.RunReport] = attrs.field(factory=list)
    believed: runmessages.Resources = runmessages.Resources()

    def note_heard(self, number: int) -> None:
        """Take which statement the gateway has heard, which renews its lease.

        Args:
            number: Number of the statement; 0 for none.
        """
        self.confirmed_ms = max(self.confirmed_ms, self.told.get(number, -1))


@attrs.frozen(slots=True)
class Sender:
    """Gateway that a message came from."""

    name: str
    incarnation: int
    address: str


@attrs.frozen(slots=True)
class UpstreamKnown:
    """The upstream stated itself.

    Attributes:
        incarnation: One life of the upstream; another one runs nothing yet.
        capacity: All that it offers.
        labels: Kind and rack.
        is_leaving: Whether it takes no new runs.
    """

    incarnation: str
    capacity: runmessages.Resources
    labels: tuple[str, ...]
    is_leaving: bool


@attrs.frozen(slots=True)
class UpstreamGone:
    """The upstream has ended or its last lease has run out, so nothing runs."""

    reason: str


@attrs.frozen(slots=True)
class Asked:
    """A gateway sent a message."""

    sender: Sender
    message: runmessages.StartRuns | runmessages.StopRuns | runmessages.KeepRuns


class Answer(enum.Enum):
    """What the upstream answered to a start or a stop."""

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
    """The call of a start has ended."""

    name: runmessages.RunName
    answer: Answer


@attrs.frozen(slots=True)
class StopAnswered:
    """The call of a stop has ended."""

    name: runmessages.RunName
    answer: Answer


@attrs.frozen(slots=True)
class ListedRun:
    """A run on the upstream's list."""

    name: runmessages.RunName
    saved: str
    percent: int


@attrs.frozen(slots=True)
class EndedRun:
    """A run that ended on the upstream.

    Attributes:
        name: Task and number of the start.
        outcome: ``done``, ``failed`` or why it ended otherwise.
        saved: Last checkpoint; empty for none.
    """

    name: runmessages.RunName
    outcome: str
    saved: str


@attrs.frozen(slots=True)
class Listed:
    """The upstream listed its runs.

    Attributes:
        asked_ms: Time at which the list was asked for in ms.
        running: Runs under way.
        ends: Ends not taken before, in order.
    """

    asked_ms: int
    running: tuple[ListedRun, ...]
    ends: tuple[EndedRun, ...]


@attrs.frozen(slots=True)
class Unlisted:
    """The upstream left a request for its list unanswered."""


@attrs.frozen(slots=True)
class DomainChanged:
    """The upstream's failure domain went out of service or came back."""

    is_out: bool


@attrs.frozen(slots=True)
class Leave:
    """The sidecar is to stop: it takes no new runs."""


@attrs.frozen(slots=True)
class Tick:
    """Time has passed."""


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
    """Asks the upstream to start a run.

    Attributes:
        order: What to start.
        spec: Specification of its job.
        decided_ms: Time of the decision in ms, after which it holds for some time only.
    """

    order: runmessages.RunOrder
    spec: str
    decided_ms: int


@attrs.frozen(slots=True)
class CallStop:
    """Asks the upstream to stop a run and never to start it any more."""

    name: runmessages.RunName
    reason: str


@attrs.frozen(slots=True)
class SendReports:
    """Sends a gateway reports and the room."""

    gateway: str
    address: str
    reports: runmessages.RunReports


@attrs.frozen(slots=True)
class LogDecision:
    """Something worth a line in the log.

    Attributes:
        event: What was decided.
        task: Task that it is about; empty for none.
        run: Number of the start; 0 for none.
        reason: What decided it.
    """

    event: str
    task: str = ""
    run: int = 0
    reason: str = ""


Effect = CallStart | CallStop | SendReports | LogDecision
