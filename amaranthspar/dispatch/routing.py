"""Choice of the sidecar for a task."""

import attrs

from amaranthspar.dispatch import submissions
from amaranthspar.membership import view
from amaranthspar.schema import messages


@attrs.define(slots=True)
class RunTimeStats:
    """Run times on one sidecar.

    Attributes:
        results: Results averaged.
        mean: Mean logarithm of run times against those of the fleet.
        expected_ms: Mean run time expected in ms.
        slow: Whether other sidecars are faster.
    """

    results: int = 0
    mean: float = 0.0
    expected_ms: float = 0.0
    slow: bool = False


@attrs.define(slots=True)
class Route:
    """What a gateway knows of one sidecar.

    Attributes:
        member: Sidecar as replicated.
        credit_limit: Total of tasks that may have been sent.
        sent: Total of tasks sent and of credits handed back.
        unsent: Tasks counted in it whose start message is yet to be built.
        sequence: Last start sequence used.
        acknowledged: Sequence up to which results arrived.
        in_flight: Tasks sent and not ended.
        last_message_ms: Monotonic time of the last message.
        acknowledged_sent: Acknowledged sequence that the sidecar was told last.
        spare: Idle slots last seen there that stand for others' credits.
        health_limit: Tasks that may be in flight there; none for no limit.
        slow_limit: Tasks that may be in flight there as it is slow; none for no limit.
        run_times: Run times there of all services.
        run_times_by_service: Run times there by service.
        closed: Whether it may be sent no new work.
        index_group: Sidecars among which it is indexed, none if it is not.
        unconfirmed_since_ms: Monotonic time since which a start is not accounted for.
        confirmed_sequence: Start sequence that the sidecar accounts for.
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

    @property
    def credits(self) -> int:
        """Tasks that may be sent now."""
        return self.credit_limit - self.sent

    @property
    def free_capacity(self) -> int:
        """Tasks that should be sent now."""
        if not self.is_limited:
            return self.credits
        limits = [
            item for item in (self.health_limit, self.slow_limit) if item is not None
        ]
        return min(self.credits, min(limits) - len(self.in_flight))

    @property
    def priority(self) -> int:
        """Room; a slow sidecar that is due for a task comes first."""
        capacity = self.free_capacity
        if capacity > 0 and self.slow_limit is not None:
            return capacity + self.announcement.slots
        return capacity

    @property
    def is_limited(self) -> bool:
        """Whether it may be sent fewer tasks than it has slots."""
        return self.health_limit is not None or self.slow_limit is not None

    def is_slow(self, service: str) -> bool:
        """Return whether other sidecars are faster at a service."""
        stats = self.run_times_by_service.get(service)
        return stats is not None and stats.slow

    @property
    def announcement(self) -> messages.Announcement:
        """What the sidecar stated about its upstream."""
        assert self.member.announcement is not None
        return self.member.announcement


@attrs.frozen(slots=True, cache_hash=True)
class Needs:
    """What a task asks of an upstream.

    Attributes:
        service: Service name.
        group: Upstream group; empty where the desk's home decides.
        desk: Desk with an entry in the configuration; empty for any other.
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
    """Return what a task asks of an upstream.

    Args:
        submission: Submission of the task.
        task: Task.
        current_view: Configuration held by the gateway.
    """
    desk = submission.desk if submission.desk in current_view.settings.desks else ""
    group = "" if desk else current_view.find_home(submission.desk)
    wanted = (task.cores, task.memory_mb, task.accelerators)
    return Needs(submission.service, group, desk, *wanted)


def list_needs(
    submission: submissions.Submission, current_view: view.View
) -> list[Needs]:
    """Return what each task of a submission asks for; equal needs are one object.

    Args:
        submission: Submission.
        current_view: Configuration held by the gateway.
    """
    found: dict[tuple[int, int, int], Needs] = {}
    result = []
    for task in submission.tasks:
        wanted = (task.cores, task.memory_mb, task.accelerators)
        needs = found.get(wanted)
        if needs is None:
            needs = found[wanted] = build_needs(submission, task, current_view)
        result.append(needs)
    return result


def resolve_home(needs: Needs, current_view: view.View) -> Needs:
    """Return needs with the upstream group that serves the desk now.

    Args:
        needs: What a task asks for.
        current_view: Configuration held by the gateway.
    """
    if not needs.desk:
        return needs
    return attrs.evolve(needs, group=current_view.find_home(needs.desk))


def is_served(needs: Needs, announcement: messages.Announcement) -> bool:
    """Return whether an upstream serves a task's service in its group.

    Args:
        needs: What the task asks for.
        announcement: What the upstream has.
    """
    served = needs.service in announcement.services
    return served and needs.group == announcement.group


def is_feasible(needs: Needs, announcement: messages.Announcement) -> bool:
    """Return whether an upstream could ever run a task.

    Args:
        needs: What the task asks for.
        announcement: What the upstream has.
    """
    return (
        is_served(needs, announcement)
        and needs.cores <= announcement.cores
        and needs.memory_mb <= announcement.memory_mb
        and needs.accelerators <= announcement.accelerators
    )


def is_open(route: Route, current_view: view.View) -> bool:
    """Return whether a sidecar may be sent new work.

    Args:
        route: Sidecar.
        current_view: Configuration held by the gateway.
    """
    domain = route.announcement.failure_domain
    return not route.member.leaving and current_view.is_domain_in(domain)
