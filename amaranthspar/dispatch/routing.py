"""State of a gateway's routes to sidecars, and needs of tasks."""

import attrs

from amaranthspar.dispatch import submissions
from amaranthspar.membership import view
from amaranthspar.schema import messages


@attrs.define(slots=True)
class RunTimeStats:
    """Averages of run times on one sidecar.

    Attributes:
        results: Number of results in the averages.
        mean: Mean logarithm of the run times relative to those of the fleet.
        expected_ms: Mean of the expected run times in ms.
        slow: Whether other sidecars are faster.
    """

    results: int = 0
    mean: float = 0.0
    expected_ms: float = 0.0
    slow: bool = False


@attrs.define(slots=True)
class Route:
    """State that a gateway holds for one sidecar.

    Attributes:
        member: Sidecar as replicated.
        credit_limit: Total of tasks that may have been sent.
        sent: Total of tasks sent and of credits returned.
        unsent: Tasks counted in `sent` whose start message is not built yet.
        sequence: Sequence of the last start message.
        acknowledged: Sequence up to which results arrived.
        last_message_ms: Monotonic time of the last message from the sidecar.
        last_demand_ms: Monotonic time of the last demand sent to the sidecar.
        last_inquiry_ms: Monotonic time of the last inquiry about tasks.
        acknowledged_sent: Value of `acknowledged` last sent to the sidecar.
        spare: Idle slots last reported for which this gateway holds no credit.
        health_limit: Limit on tasks in flight set by `health`; None for no limit.
        slow_limit: Limit on tasks in flight set by `speeds`; None for no limit.
        run_times: Run times over all services.
        run_times_by_service: Run times by service.
        closed: Whether the sidecar may not be sent new tasks.
        index_group: Group of the capacity index that holds the route, None if
            it is not indexed.
        unconfirmed_since_ms: Monotonic time since which a start message is
            unconfirmed.
        confirmed_sequence: Start sequence up to which the sidecar has accounted
            for every task.
        in_flight: Tasks sent that have not ended, by submission and index.
    """

    member: messages.Member
    credit_limit: int = 0
    sent: int = 0
    unsent: int = 0
    sequence: int = 0
    acknowledged: int = 0
    last_message_ms: int = 0
    last_demand_ms: int = 0
    last_inquiry_ms: int = 0
    acknowledged_sent: int = 0
    spare: int = 0
    health_limit: int | None = None
    slow_limit: int | None = None
    run_times: RunTimeStats = attrs.field(factory=RunTimeStats)
    run_times_by_service: dict[str, RunTimeStats] = attrs.field(factory=dict)
    closed: bool = False
    index_group: object = None
    unconfirmed_since_ms: int = 0
    confirmed_sequence: int = 0
    in_flight: dict[tuple[str, int], submissions.Task] = attrs.field(factory=dict)

    def reserve(self, submission: str, task: submissions.Task) -> None:
        """Count a task as sent whose start message is not built yet.

        Args:
            submission: Submission id.
            task: Task of that submission.
        """
        self.sent += 1
        self.unsent += 1
        self.in_flight[submission, task.index] = task

    @property
    def credits(self) -> int:
        """Number of tasks that may be sent within the credit limit."""
        return self.credit_limit - self.sent

    @property
    def free_capacity(self) -> int:
        """Number of tasks that may be sent within all limits."""
        if not self.is_limited:
            return self.credits
        limits = [
            item for item in (self.health_limit, self.slow_limit) if item is not None
        ]
        return min(self.credits, min(limits) - len(self.in_flight))

    @property
    def priority(self) -> int:
        """Order in the capacity index, greatest first.

        It is the free capacity, and more for a slow sidecar that is due for a
        task, so that this one comes first.
        """
        free = self.free_capacity
        if free > 0 and self.slow_limit is not None:
            return free + self.announcement.slots
        return free

    @property
    def is_limited(self) -> bool:
        """Whether its health or its speed limits the tasks in flight."""
        return self.health_limit is not None or self.slow_limit is not None

    def is_slow(self, service: str) -> bool:
        """Return whether other sidecars are faster at a service."""
        stats = self.run_times_by_service.get(service)
        return stats is not None and stats.slow

    @property
    def announcement(self) -> messages.Announcement:
        """Announcement of the sidecar about its upstream."""
        assert self.member.announcement is not None
        return self.member.announcement


@attrs.frozen(slots=True, cache_hash=True)
class Needs:
    """Requirements of a task on an upstream.

    Attributes:
        service: Service name.
        group: Upstream group; empty if it follows from the home of the desk.
        desk: Name of a desk in the configuration; empty for any other desk.
        cores: Processor cores.
        memory_mb: Memory in MB.
        accelerators: Accelerators.
    """

    service: str
    group: str
    desk: str = ""
    cores: int = 0
    memory_mb: int = 0
    accelerators: int = 0


def build_needs(
    submission: submissions.Submission, task: submissions.Task, current_view: view.View
) -> Needs:
    """Return the needs of one task.

    Args:
        submission: Submission of the task.
        task: Task.
        current_view: Configuration held by the gateway.
    """
    desk = submission.desk if submission.desk in current_view.settings.desks else ""
    group = "" if desk else current_view.find_home(submission.desk)
    resources = (task.cores, task.memory_mb, task.accelerators)
    return Needs(submission.service, group, desk, *resources)


def list_needs(
    submission: submissions.Submission, current_view: view.View
) -> list[Needs]:
    """Return the needs of each task of a submission; equal needs share one object.

    Args:
        submission: Submission.
        current_view: Configuration held by the gateway.
    """
    found: dict[tuple[int, int, int], Needs] = {}
    result = []
    for task in submission.tasks:
        resources = (task.cores, task.memory_mb, task.accelerators)
        needs = found.get(resources)
        if needs is None:
            needs = found[resources] = build_needs(submission, task, current_view)
        result.append(needs)
    return result


def resolve_home(needs: Needs, current_view: view.View) -> Needs:
    """Return needs with the upstream group that serves the desk at present.

    Args:
        needs: Needs of a task.
        current_view: Configuration held by the gateway.
    """
    if not needs.desk:
        return needs
    return attrs.evolve(needs, group=current_view.find_home(needs.desk))


def is_served(needs: Needs, announcement: messages.Announcement) -> bool:
    """Return whether an upstream serves the service and group that a task needs.

    Args:
        needs: Needs of the task.
        announcement: Announcement of the upstream.
    """
    served = needs.service in announcement.services
    return served and needs.group == announcement.group


def is_feasible(needs: Needs, announcement: messages.Announcement) -> bool:
    """Return whether an upstream could ever run a task.

    Args:
        needs: Needs of the task.
        announcement: Announcement of the upstream.
    """
    return (
        is_served(needs, announcement)
        and needs.cores <= announcement.cores
        and needs.memory_mb <= announcement.memory_mb
        and needs.accelerators <= announcement.accelerators
    )


def is_open(route: Route, current_view: view.View) -> bool:
    """Return whether a sidecar may be sent new tasks.

    Args:
        route: Route to the sidecar.
        current_view: Configuration held by the gateway.
    """
    domain = route.announcement.failure_domain
    return not route.member.leaving and current_view.is_domain_in(domain)
