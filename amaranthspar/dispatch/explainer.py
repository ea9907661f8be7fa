"""Explanation of the decision on a request or job that is not submitted.

The admission control and the choice of sidecars are those of the dispatcher. They run
on copies of the routes and of the capacity index, and only read everything else.
"""

import collections
import math
from collections.abc import Iterable, Mapping

import attrs

from amaranthspar.dispatch import (
    admission,
    backlog,
    capacity,
    estimates,
    health,
    pools,
    quotas,
    routing,
    steering,
    submissions,
)
from amaranthspar.membership import leaseholder
from amaranthspar.schema import explanations, messages

MAX_SIDECARS = 500
"""Largest number of sidecars listed, so that an explanation stays under 300 KB."""
CHOSEN = "chosen"
AVAILABLE = "available"
NO_ROOM = "no-room"
RULED_OUT = "ruled-out"
VERDICTS = (CHOSEN, AVAILABLE, NO_ROOM, RULED_OUT)
"""Verdicts in the order in which the sidecars are listed."""


@attrs.define(slots=True)
class _Placement:
    """Tasks of a submission that would be sent now.

    Attributes:
        sent: Number of tasks sent, by process name of the sidecar.
        waiting: Number of tasks that wait.
        waits_for: What they wait for; empty if none waits.
    """

    sent: collections.Counter[str] = attrs.field(factory=collections.Counter)
    waiting: int = 0
    waits_for: str = ""


@attrs.frozen(slots=True)
class _Decision:
    """Decision on a submission.

    Attributes:
        submission: Submission.
        queued: Its tasks with their needs and expected run times.
        suitable: Number of tasks that an upstream could run, by its shape.
        answer: Answer that would refuse the submission, None if it is admitted.
        placement: Tasks that would be sent now; empty for a refused submission.
    """

    submission: submissions.Submission
    queued: list[backlog.QueuedTask]
    suitable: Mapping[capacity.Shape, int]
    answer: submissions.Answer | None
    placement: _Placement


@attrs.frozen(slots=True)
class _JudgedRoute:
    """A route with the verdict on its sidecar.

    Attributes:
        route: Route.
        verdict: Verdict.
        reason: Reason for the verdict.
        sent: Number of tasks that would be sent to it now.
        suitable: Number of tasks whose needs its upstream meets.
    """

    route: routing.Route
    verdict: str
    reason: str
    sent: int
    suitable: int


@attrs.frozen(slots=True)
class Explainer:
    """Explains decisions of a dispatcher from its state, which it only reads.

    Attributes:
        holder: Lease of this gateway.
        routes: Routes to the sidecars, by process name.
        index: Index of the same routes by free capacity.
        admission: Admission control.
        queue: Backlog of waiting tasks.
        pools: Assignment of tasks to pools.
        quotas: Limits on the running tasks of teams.
        estimates: Expected run times.
        health: Health of the sidecars.
        running: Submissions that have not ended, by id.
    """

    holder: leaseholder.LeaseHolder
    routes: Mapping[str, routing.Route]
    index: capacity.CapacityIndex
    admission: admission.Admission
    queue: backlog.Backlog
    pools: pools.Pools
    quotas: quotas.Quotas
    estimates: estimates.Estimates
    health: health.Health
    running: Mapping[str, submissions.Submission]

    def explain(
        self, submission: submissions.Submission, now_ms: int
    ) -> explanations.Explanation:
        """Return what would happen to a submission now.

        Args:
            submission: Request or job that was not submitted; it is not changed.
            now_ms: Monotonic time in ms.
        """
        decision = self._decide(submission, now_ms)
        judged = [self._judge(route, decision) for route in self.routes.values()]
        return self._summarize(decision, judged, now_ms)

    def _summarize(
        self, decision: _Decision, judged: list[_JudgedRoute], now_ms: int
    ) -> explanations.Explanation:
        submission, answer = decision.submission, decision.answer
        placement = decision.placement
        view = self.holder.view
        return explanations.Explanation(
            gateway=self.holder.member.process,
            configuration_version=view.configuration_version,
            membership_revision=view.membership_revision,
            service=submission.service,
            account=submission.account,
            team=submission.team,
            desk=submission.desk,
            home=view.find_home(submission.desk),
            is_job=submission.is_job,
            tasks=len(submission.tasks),
            deadline_ms=submission.deadline_ms - now_ms,
            admitted=answer is None,
            failure="" if answer is None else answer.failure.value,
            reason=_describe_reason(decision),
            retry_after_ms=0 if answer is None else answer.retry_after_ms,
            expected_start_ms=self._estimate_start(decision, now_ms),
            expected_run_ms=round(max(item.cost_ms for item in decision.queued)),
            sent=placement.sent.total(),
            waiting=placement.waiting,
            waits_for=placement.waits_for,
            queued=len(self.queue),
            queued_team=self.queue.count_team(submission.team),
            known=len(judged),
            sidecars=self._list_sidecars(judged, submission.service, now_ms),
            ruled_out=_count_ruled_out(judged),
        )

    def _decide(self, submission: submissions.Submission, now_ms: int) -> _Decision:
        """Run the admission control and the choice of sidecars on copies."""
        copies = {name: _copy_route(route) for name, route in self.routes.items()}
        index = self.index.copy(copies)
        answer = self.admission.copy(index).check(submission, now_ms)
        queued = self._build_queued(submission)
        suitable = self._count_suitable(queued, index)
        placement = _Placement()
        if answer is None:
            placement = self._place(submission, queued, index, now_ms)
        return _Decision(submission, queued, suitable, answer, placement)

    def _build_queued(
        self, submission: submissions.Submission
    ) -> list[backlog.QueuedTask]:
        needs = routing.list_needs(submission, self.holder.view)
        return [
            backlog.QueuedTask(
                submission,
                task,
                required,
                self.estimates.predict(submission.service, task.expected_ms),
            )
            for task, required in zip(submission.tasks, needs, strict=True)
        ]

    def _place(
        self,
        submission: submissions.Submission,
        queued: list[backlog.QueuedTask],
        index: capacity.CapacityIndex,
        now_ms: int,
    ) -> _Placement:
        """Send the tasks on copies, pool by pool as the dispatcher does.

        The order of the tasks within a pool does not matter to the sidecars.
        """
        result = _Placement()
        tasks_by_pool: dict[capacity.Pool, list[backlog.QueuedTask]] = {}
        for item in queued:
            pool = self.pools.predict(item.needs, index)
            tasks_by_pool.setdefault(pool, []).append(item)
        chooser = steering.Steering(index)
        allowed = self.quotas.count_allowed(submission.team)
        count = 0
        for pool in self.queue.rank_pools(tasks_by_pool):
            for item in tasks_by_pool[pool]:
                first = index.choose(pool)
                if first is None or count == allowed:
                    break
                route = chooser.choose(pool, item, first, [], now_ms)
                assert route is not None, "only a task that has failed may be deferred"
                route.reserve(submission.name, item.task)
                index.update(route)
                result.sent[route.member.process] += 1
                count += 1
        result.waiting = len(queued) - count
        if result.waiting:
            is_held = count == allowed
            result.waits_for = self._find_wait(submission, tasks_by_pool, is_held)
        return result

    def _find_wait(
        self,
        submission: submissions.Submission,
        pools_used: Iterable[capacity.Pool],
        is_held: bool,
    ) -> str:
        blocking = self.pools.list_blocking(submission.desk)
        if blocking:
            names = ", ".join(blocking[:3]) + (", ..." if len(blocking) > 3 else "")
            return f"the move of desk {submission.desk}, which {names} must settle"
        for pool in pools_used:
            if not any(
                self.index.is_usable(pool, item) for item in self.routes.values()
            ):
                return "a suitable sidecar that is in service"
        if is_held:
            return f"team {submission.team}, which runs as many tasks as it may"
        return "free capacity"

    def _estimate_start(self, decision: _Decision, now_ms: int) -> int | None:
        """Return the time in ms until the first task starts, None if unknown.

        Without free capacity it is the wait that the admission control expects, and
        no less than the time until a task of this gateway should end that makes
        room for it.
        """
        submission, answer = decision.submission, decision.answer
        service = self.holder.view.settings.services.get(submission.service)
        too_late = submissions.Failure.TOO_LATE
        if service is None or (answer is not None and answer.failure is not too_late):
            return None
        if decision.placement.sent:
            return 0
        routes = [
            route
            for route in self.routes.values()
            if not route.closed
            and capacity.describe(route.announcement) in decision.suitable
        ]
        if not routes or self.pools.list_blocking(submission.desk):
            return None
        wait_ms = self.admission.estimate_start(submission.team, service)
        end_ms = self._find_next_end(routes, submission.team, now_ms)
        if end_ms is None:
            return wait_ms or None
        return max(wait_ms or 0, end_ms)

    def _find_next_end(
        self, routes: Iterable[routing.Route], team: str, now_ms: int
    ) -> int | None:
        """Return the time in ms until the next task in flight should end.

        Of a team that runs as many tasks as it may, only its own tasks count.
        """
        is_held = self.quotas.count_allowed(team) == 0
        ends_ms = [
            max(0, round(task.sent_ms + task.cost_ms) - now_ms)
            for route in routes
            for (name, _), task in route.in_flight.items()
            if not is_held or (name in self.running and self.running[name].team == team)
        ]
        return min(ends_ms, default=None)

    def _count_suitable(
        self, queued: Iterable[backlog.QueuedTask], index: capacity.CapacityIndex
    ) -> collections.Counter[capacity.Shape]:
        """Return how many tasks an upstream of each shape could run."""
        result: collections.Counter[capacity.Shape] = collections.Counter()
        counts = collections.Counter(item.needs for item in queued)
        for needs, count in counts.items():
            resolved = routing.resolve_home(needs, self.holder.view)
            for shape in index.find_pool(resolved):
                result[shape] += count
        return result

    def _describe_sidecar(
        self, judged: _JudgedRoute, service: str, now_ms: int
    ) -> explanations.ExplainedSidecar:
        route, announcement = judged.route, judged.route.announcement
        stats = route.run_times_by_service.get(service)
        limits = [
            item for item in (route.health_limit, route.slow_limit) if item is not None
        ]
        return explanations.ExplainedSidecar(
            process=route.member.process,
            worker=announcement.worker,
            rack=announcement.rack,
            group=announcement.group,
            failure_domain=announcement.failure_domain,
            near=self.index.is_near(route),
            verdict=judged.verdict,
            reason=judged.reason,
            tasks=judged.sent,
            suitable=judged.suitable,
            slots=announcement.slots,
            credits=route.credits,
            free=max(0, route.free_capacity),
            in_flight=len(route.in_flight),
            idle=route.spare,
            limit=min(limits, default=None),
            health=self.health.describe(route.member.process),
            run_time_ratio=None if stats is None else round(math.exp(stats.mean), 3),
            slow=route.is_slow(service),
            report_age_ms=now_ms - route.last_message_ms,
        )

    def _list_sidecars(
        self, judged: Iterable[_JudgedRoute], service: str, now_ms: int
    ) -> list[explanations.ExplainedSidecar]:
        listed = sorted(judged, key=self._rank)[:MAX_SIDECARS]
        return [self._describe_sidecar(item, service, now_ms) for item in listed]

    def _rank(self, judged: _JudgedRoute) -> tuple[int, int, bool, int, str]:
        """Return the place of a sidecar in the list, the smallest first."""
        route = judged.route
        place = VERDICTS.index(judged.verdict)
        near = self.index.is_near(route)
        name = route.member.process
        return place, -judged.sent, not near, -route.free_capacity, name

    def _judge(self, route: routing.Route, decision: _Decision) -> _JudgedRoute:
        suitable = decision.suitable.get(capacity.describe(route.announcement), 0)
        sent = decision.placement.sent[route.member.process]
        needs = decision.queued[0].needs
        if suitable:
            verdict, reason = self._find_verdict(route, needs.service, sent)
        else:
            needs = routing.resolve_home(needs, self.holder.view)
            verdict = RULED_OUT
            reason = _describe_mismatch(needs, route.announcement)
        return _JudgedRoute(route, verdict, reason, sent, suitable)

    def _find_verdict(
        self, route: routing.Route, service: str, sent: int
    ) -> tuple[str, str]:
        """Return the verdict on a suitable sidecar and the reason for it."""
        if route.member.leaving:
            return RULED_OUT, "the sidecar is leaving"
        if route.closed:
            domain = route.announcement.failure_domain
            return RULED_OUT, f"failure domain {domain} is out"
        if route.health_limit == 0:
            return RULED_OUT, "ejected: its last tasks failed"
        if sent:
            return CHOSEN, self._describe_choice(route)
        if route.free_capacity > 0:
            slow = route.is_slow(service)
            return AVAILABLE, "slow for the service" if slow else "not needed"
        if route.credits <= 0:
            return NO_ROOM, "no credits left"
        if route.slow_limit is not None:
            return NO_ROOM, "slow: sent single tasks only"
        return NO_ROOM, "its health limits the tasks in flight"

    def _describe_choice(self, route: routing.Route) -> str:
        if route.health_limit is not None:
            return f"health allows {route.health_limit} tasks in flight"
        if route.slow_limit is not None:
            return "due for a task that measures its speed"
        near = "in the gateway's failure domain, " if self.index.is_near(route) else ""
        return f"{near}{route.free_capacity} free"


def _copy_route(route: routing.Route) -> routing.Route:
    """Return a copy on which tasks can be reserved."""
    return attrs.evolve(route, in_flight=dict(route.in_flight))


def _describe_reason(decision: _Decision) -> str:
    if decision.answer is not None:
        return decision.answer.reason
    placement = decision.placement
    if not placement.waiting:
        return "there is free capacity for all tasks"
    return f"no limit is exceeded; waits for {placement.waits_for}"


def _describe_mismatch(
    needs: routing.Needs, announcement: messages.Announcement
) -> str:
    """Return why an upstream can't run tasks with some needs."""
    if needs.service not in announcement.services:
        return f"does not serve {needs.service}"
    if needs.group != announcement.group:
        return f"group {announcement.group} instead of {needs.group}"
    lacking = [
        f"{available} {name}"
        for name, required, available in (
            ("cores", needs.cores, announcement.cores),
            ("MB of memory", needs.memory_mb, announcement.memory_mb),
            ("accelerators", needs.accelerators, announcement.accelerators),
        )
        if required > available
    ]
    return f"has only {', '.join(lacking)}"


def _count_ruled_out(judged: Iterable[_JudgedRoute]) -> list[explanations.RuledOut]:
    counts = collections.Counter(
        item.reason for item in judged if item.verdict == RULED_OUT
    )
    return [explanations.RuledOut(*item) for item in counts.most_common()]
