"""Classes of the schema file ``schema/runmessages.yaml``; generated."""

from __future__ import annotations

from typing import Any, Literal, TypeAlias

import attrs

RunMessages: TypeAlias = Any


@attrs.frozen(slots=True)
class Resources:
    """Resources that a task needs or an upstream offers.

    Attributes:
        cpu_millis: Processor capacity in thousandths of a core.
        memory_mb: Memory in MB.
        accelerators: Number of accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@attrs.frozen(slots=True)
class RunName:
    """Identifies one run, which is one start of a task.

    Attributes:
        task: Name of the task, which is unique among all jobs.
        run: Number of the run, which increases with each start of the task.
    """

    task: str
    run: int


@attrs.frozen(slots=True)
class RunOrder:
    """Requests one start of a task.

    Attributes:
        name: Task and number of the run.
        needs: Resources that the task occupies while it runs.
        saved: Checkpoint from which the run resumes; empty for none.
        ticket: Ticket by which the policy of the queue permits the start; empty for none.
        expected_ms: Expected duration in ms on an upstream of ordinary speed, with the factor for data in another rack; 0 if unknown.
    """

    name: RunName
    needs: Resources
    saved: str = ""
    ticket: str = ""
    expected_ms: int = 0


@attrs.frozen(slots=True)
class StartRuns:
    """Asks a sidecar to start tasks of one job.

    Attributes:
        number: Number of this message, which increases on the link.
        upstream: Incarnation of the upstream for which the orders are meant.
        spec: Specification shared by all these tasks.
        orders: Requested starts.
        heard: Number of the newest `Room` received from the receiver; 0 for none.
    """

    number: int
    upstream: str
    spec: str
    orders: list[RunOrder]
    heard: int


@attrs.frozen(slots=True)
class StopRuns:
    """Asks a sidecar to stop runs and never to start them afterwards.

    Attributes:
        names: Runs to stop.
    """

    names: list[RunName]


@attrs.frozen(slots=True)
class KeepRuns:
    """Renews the lease of a gateway's runs on a sidecar; runs not named are stopped.

    Attributes:
        number: Number of the renewal, which increases with each one.
        started: Number of the last `StartRuns` message sent before this one.
        is_waiting: Whether the gateway has tasks that wait for free capacity.
        names: Runs that the gateway expects to be active.
        heard: Number of the newest `Room` received from the receiver; 0 for none.
    """

    number: int
    started: int
    is_waiting: bool
    names: list[RunName]
    heard: int


@attrs.frozen(slots=True)
class Release:
    """Capacity that runs are expected to release.

    Attributes:
        after_ms: Time after the report in ms.
        amount: Resources released by then, in total.
    """

    after_ms: int
    amount: Resources


@attrs.frozen(slots=True)
class Room:
    """Reports the state and free capacity of the upstream of a sidecar.

    Attributes:
        number: Number of this report, which increases with each one.
        started: Number of the last `StartRuns` of the receiver that this report covers.
        upstream: Incarnation of the upstream; empty if there is none.
        service: Service of the upstream.
        failure_domain: Failure domain of the upstream.
        labels: Kind and rack of the upstream.
        capacity: Total resources that the upstream offers.
        free: Resources that no run occupies.
        is_leaving: Whether the upstream or the sidecar accepts no new runs.
        slowness_permille: Measured over expected duration of the runs of all gateways, in thousandths; 0 if unknown.
        releases: Expected releases of capacity, the soonest first.
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
    slowness_permille: int = 0
    releases: list[Release] = attrs.field(factory=list)


@attrs.frozen(slots=True)
class RunReport:
    """Reports the state of one run.

    Attributes:
        name: Task and number of the run.
        state: State of the run; all but `started` and `running` are final.
        reason: Why the run did not start or what ended it; for `stale`, the highest known run number.
        elapsed_ms: Time since the start in ms.
        percent: Completed share of the work in percent.
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
    """Reports the state of a gateway's runs to it.

    Attributes:
        reports: State changes in order.
        room: Free capacity after these changes.
    """

    reports: list[RunReport]
    room: Room


@attrs.frozen(slots=True)
class FindJob:
    """Asks another gateway for a job that the sender does not hold.

    Attributes:
        search: Number of the search, which the answer copies.
        job: Id of the job.
        cancels: Whether the job is to be cancelled.
    """

    search: int
    job: str
    cancels: bool


@attrs.frozen(slots=True)
class JobFound:
    """Answers `FindJob`.

    Attributes:
        search: Copied from the request.
        state: State of the job; empty if the sender does not hold it.
    """

    search: int
    state: Literal["", "queued", "running", "cancelled"]
