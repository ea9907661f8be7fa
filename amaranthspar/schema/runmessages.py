"""Classes of the schema file ``schema/runmessages.yaml``; generated."""

from __future__ import annotations

from typing import Any, Literal, TypeAlias

import attrs

RunMessages: TypeAlias = Any


@attrs.frozen(slots=True)
class Resources:
    """Amounts that a task needs or an upstream offers.

    Attributes:
        cpu_millis: Thousandths of a processor core.
        memory_mb: Memory in MB.
        accelerators: Accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@attrs.frozen(slots=True)
class RunName:
    """One start of one task.

    Attributes:
        task: Name of the task, unique among all jobs.
        run: Number of the start; grows with each start of the task.
    """

    task: str
    run: int


@attrs.frozen(slots=True)
class RunOrder:
    """Asks for one start.

    Attributes:
        name: Task and number of the start.
        needs: What the task occupies while it runs.
        saved: Checkpoint to resume from; empty for none.
        ticket: Permission of the queue's policy; empty for none.
    """

    name: RunName
    needs: Resources
    saved: str = ""
    ticket: str = ""


@attrs.frozen(slots=True)
class StartRuns:
    """Asks a sidecar to start tasks of one job.

    Attributes:
        number: Number of this message, which grows on the link.
        upstream: Incarnation of the upstream that is meant.
        spec: Specification that all these tasks share.
        orders: Starts wanted.
        heard: Number of the newest `Room` heard from the receiver; 0 for none.
    """

    number: int
    upstream: str
    spec: str
    orders: list[RunOrder]
    heard: int


@attrs.frozen(slots=True)
class StopRuns:
    """Asks a sidecar to stop runs and to start none of them any more.

    Attributes:
        names: Runs to stop.
    """

    names: list[RunName]


@attrs.frozen(slots=True)
class KeepRuns:
    """Renews the lease of a gateway's runs on a sidecar; runs not named are stopped.

    Attributes:
        number: Number of the renewal, which grows with each one.
        started: Number of the last `StartRuns` sent before this.
        is_waiting: Whether the gateway has tasks that wait for room.
        names: Runs that the gateway counts on.
        heard: Number of the newest `Room` heard from the receiver; 0 for none.
    """

    number: int
    started: int
    is_waiting: bool
    names: list[RunName]
    heard: int


@attrs.frozen(slots=True)
class Room:
    """What a sidecar says of its upstream.

    Attributes:
        number: Number of this statement, which grows with each one.
        started: Number of the last `StartRuns` of the receiver that it covers.
        upstream: Incarnation of the upstream; empty while there is none.
        service: Service of the upstream.
        failure_domain: Failure domain of the upstream.
        labels: Kind and rack of the upstream.
        capacity: All that the upstream offers.
        free: What no run occupies.
        is_leaving: Whether the upstream or the sidecar takes no new runs.
    """

    number: int
    started: int
    upstream: str
    service: str
    failure_domain: str
    labels: list[str]
    capacity: Resources
    free: Resources
    is_leaving: bool


@attrs.frozen(slots=True)
class RunReport:
    """What became of one run.

    Attributes:
        name: Task and number of the start.
        state: All but `started` and `running` are final.
        reason: Why it did not start or what ended it; the highest run known for `stale`.
        elapsed_ms: Time since the start in ms.
        percent: Share of the work that is done.
        saved: Last checkpoint; empty for none.
    """

    name: RunName
    state: Literal[
        "started", "running", "refused", "stale", "done", "failed", "stopped", "lost"
    ]
    reason: str = ""
    elapsed_ms: int = 0
    percent: int = 0
    saved: str = ""


@attrs.frozen(slots=True)
class RunReports:
    """Tells a gateway what became of its runs.

    Attributes:
        reports: Changes in order.
        room: Room after these changes.
    """

    reports: list[RunReport]
    room: Room
