"""Choice of the sidecar for a task."""

import attrs

from amaranthspar import messages, submissions, view


@attrs.define(slots=True)
class Route:
    """What a gateway knows of one sidecar.

    Attributes:
        member: Sidecar as replicated.
        limit: Total of tasks that may have been sent.
        sent: Total of tasks sent and of credits handed back.
        sequence: Last start sequence used.
        acknowledged: Sequence up to which results arrived.
        in_flight: Tasks sent and not ended.
        heard_ms: Monotonic time of the last message.
        doubt_ms: Monotonic time since which a start is not accounted for.
        received: Start sequence that the sidecar accounts for.
    """

    member: messages.Member
    limit: int = 0
    sent: int = 0
    sequence: int = 0
    acknowledged: int = 0
    heard_ms: int = 0
    demand_ms: int = 0
    inquired_ms: int = 0
    doubt_ms: int = 0
    received: int = 0
    in_flight: dict[tuple[str, int], submissions.Task] = attrs.field(factory=dict)

    @property
    def credits(self) -> int:
        """Tasks that may be sent now."""
        return self.limit - self.sent

    @property
    def announcement(self) -> messages.Announcement:
        """What the sidecar stated about its upstream."""
        assert self.member.announcement is not None
        return self.member.announcement


@attrs.frozen(slots=True)
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


def read_needs(
    submission: submissions.Submission, task: submissions.Task, known: view.View
) -> Needs:
    """Return what a task asks of an upstream.

    Args:
        submission: Submission of the task.
        task: Task.
        known: Configuration held by the gateway.
    """
    desk = submission.desk if submission.desk in known.settings.desks else ""
    group = "" if desk else known.find_home(submission.desk)
    wanted = (task.cores, task.memory_mb, task.accelerators)
    return Needs(submission.service, group, desk, *wanted)


def resolve_home(needs: Needs, known: view.View) -> Needs:
    """Return needs with the upstream group that serves the desk now.

    Args:
        needs: What a task asks for.
        known: Configuration held by the gateway.
    """
    if not needs.desk:
        return needs
    return attrs.evolve(needs, group=known.find_home(needs.desk))


def is_feasible(needs: Needs, announcement: messages.Announcement) -> bool:
    """Return whether an upstream could ever run a task.

    Args:
        needs: What the task asks for.
        announcement: What the upstream has.
    """
    return (
        needs.service in announcement.services
        and needs.group == announcement.group
        and needs.cores <= announcement.cores
        and needs.memory_mb <= announcement.memory_mb
        and needs.accelerators <= announcement.accelerators
    )


def is_open(route: Route, known: view.View) -> bool:
    """Return whether a sidecar may be sent new work.

    Args:
        route: Sidecar.
        known: Configuration held by the gateway.
    """
    domain = route.announcement.failure_domain
    return not route.member.leaving and known.is_domain_in(domain)


def choose_route(needs: Needs, routes: list[Route], near_domain: str) -> Route | None:
    """Return the sidecar that gets the next task, none if all are full.

    The near failure domain comes first, then the sidecar with the most
    credits, so that load spreads.

    Args:
        needs: What the task asks for.
        routes: Sidecars that may be sent new work.
        near_domain: Failure domain of the gateway.
    """
    best: Route | None = None
    best_rank = (False, 0)
    for route in routes:
        if route.credits <= 0 or not is_feasible(needs, route.announcement):
            continue
        rank = (route.announcement.failure_domain == near_domain, route.credits)
        if best is None or rank > best_rank:
            best, best_rank = route, rank
    return best
