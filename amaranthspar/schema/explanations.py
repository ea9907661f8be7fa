"""Classes of the schema file ``schema/explanations.yaml``; generated."""

from __future__ import annotations

from typing import Any, TypeAlias

import attrs

Explanations: TypeAlias = Any


@attrs.frozen(slots=True)
class ExplainedSidecar:
    """A sidecar as a gateway considers it for a request or job.

    Attributes:
        process: Process name.
        worker: Name of the worker.
        rack: Rack of the worker.
        group: Upstream group.
        failure_domain: Failure domain of the worker.
        near: Whether it is in the failure domain of the gateway, which is preferred.
        verdict: `chosen` for tasks that would be sent now, `available` with free capacity, `no-room` without any, or `ruled-out` for all tasks.
        reason: Reason for the verdict.
        tasks: Number of tasks that would be sent to it now.
        suitable: Number of tasks whose needs its upstream meets.
        slots: Largest number of tasks that its upstream runs at the same time.
        credits: Number of tasks that the gateway may send within its credits.
        free: Number of tasks that the gateway may send within all limits, at least 0.
        in_flight: Number of tasks of the gateway at the sidecar.
        idle: Idle slots last reported for which the gateway holds no credit.
        limit: Largest number of tasks in flight that its health and speed allow; null for no limit.
        health: Health by the failures of its tasks: `healthy`, `ejected`, `probing` or `recovering`.
        run_time_ratio: Measured run time of the service's tasks relative to the fleet's; null if none was measured.
        slow: Whether other sidecars are significantly faster at the service.
        report_age_ms: Time in ms since the last message from the sidecar, or since the gateway has known it.
    """

    process: str
    worker: str
    rack: str
    group: str
    failure_domain: str
    near: bool
    verdict: str
    reason: str
    tasks: int
    suitable: int
    slots: int
    credits: int
    free: int
    in_flight: int
    idle: int
    limit: int | None
    health: str
    run_time_ratio: float | None
    slow: bool
    report_age_ms: int


@attrs.frozen(slots=True)
class RuledOut:
    """Number of sidecars that were ruled out for one reason.

    Attributes:
        reason: Reason.
        sidecars: Number of sidecars.
    """

    reason: str
    sidecars: int


@attrs.frozen(slots=True)
class Explanation:
    """Decision that a gateway would make now on a request or job, which was not submitted.

    Attributes:
        gateway: Process name of the gateway.
        configuration_version: Configuration version that the gateway holds.
        membership_revision: Membership revision that the gateway holds.
        service: Service name.
        account: Account for which the decision holds; empty for none.
        team: Team of the account; empty for none.
        desk: Desk name; empty for none.
        home: Upstream group that serves the desk.
        is_job: Whether it is a job.
        tasks: Number of tasks.
        deadline_ms: Time allowed in ms.
        admitted: Whether it would be admitted.
        failure: Kind of the refusal, as in `queue-full`; empty if it would be admitted.
        reason: Reason for the decision.
        retry_after_ms: Time in ms after which a refused caller would be told to retry; 0 for no advice.
        expected_start_ms: Time in ms until the first task is expected to start; null if that is not known.
        expected_run_ms: Expected run time in ms of the longest task.
        sent: Number of tasks that would be sent now.
        waiting: Number of tasks that would wait.
        waits_for: What they would wait for; empty if none would wait.
        queued: Number of tasks that wait in the gateway.
        queued_team: Number of these that are of the team.
        known: Number of sidecars that the gateway knows.
        sidecars: Sidecars, the chosen ones first, at most 500.
        ruled_out: Reasons for which sidecars were ruled out, with the most sidecars first.
    """

    gateway: str
    configuration_version: int
    membership_revision: int
    service: str
    account: str
    team: str
    desk: str
    home: str
    is_job: bool
    tasks: int
    deadline_ms: int
    admitted: bool
    failure: str
    reason: str
    retry_after_ms: int
    expected_start_ms: int | None
    expected_run_ms: int
    sent: int
    waiting: int
    waits_for: str
    queued: int
    queued_team: int
    known: int
    sidecars: list[ExplainedSidecar]
    ruled_out: list[RuledOut]
