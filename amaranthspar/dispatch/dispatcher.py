"""State machine of a gateway: admission, queueing, dispatch and answers."""

import collections
import heapq

import attrs

from amaranthspar import effects
from amaranthspar.dispatch import (
    admission,
    backlog,
    capacity,
    demand,
    estimates,
    explainer,
    health,
    pools,
    quotas,
    retries,
    routing,
    speeds,
    startmessages,
    steering,
    submissions,
    sweep,
    tracking,
)
from amaranthspar.membership import leaseholder
from amaranthspar.schema import explanations, messages

FAILURE_REASONS = {
    submissions.Failure.OVERDUE: "deadline passed",
    submissions.Failure.CANCELLED: "cancelled",
}


@attrs.frozen(slots=True)
class Submitted:
    """A caller has submitted a submission."""

    submission: submissions.Submission


@attrs.frozen(slots=True)
class Cancelled:
    """A caller has cancelled a submission.

    Attributes:
        submission: Submission id.
    """

    submission: str


@attrs.frozen(slots=True)
class Received:
    """A message from a sidecar has arrived."""

    sidecar: str
    incarnation: int
    message: object


@attrs.frozen(slots=True)
class ViewChanged:
    """The gateway has installed a newer configuration or membership."""


Event = Submitted | Cancelled | Received | ViewChanged
Effect = effects.Send | submissions.Answer


class Dispatcher:
    """Admits submissions and sends their tasks to sidecars.

    Args:
        holder: Lease of this gateway.
        near_domain: Failure domain of this gateway, which is preferred.
    """

    def __init__(self, holder: leaseholder.LeaseHolder, near_domain: str) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.submissions: dict[str, submissions.Submission] = {}
        self.routes: dict[str, routing.Route] = {}
        self._holder = holder
        self._open_routes: list[routing.Route] = []
        self._reporting: dict[str, routing.Route] = {}
        self._capacity = capacity.CapacityIndex(near_domain)
        self._backlog = backlog.Backlog(holder)
        self._estimates = estimates.Estimates()
        self._admission = admission.Admission(
            holder, self._backlog, self.routes, self._capacity
        )
        self._former_routes: dict[str, routing.Route] = {}
        self._demand = demand.Demand(self._backlog)
        self._tracker = tracking.TaskTracker(holder, self.counts)
        self._pools = pools.Pools(holder, self._capacity)
        self._start_messages = startmessages.StartMessages(
            holder, self._backlog, self._demand, self._tracker
        )
        self._quotas = quotas.Quotas(holder, self._backlog)
        self._health = health.Health(self.routes)
        self._steering = steering.Steering(self._capacity)
        self._speeds = speeds.Speeds(self.routes)
        self._retries = retries.RetryBudget(holder)
        self._deadlines: list[tuple[int, str]] = []
        self._sweep = sweep.Sweep(self.routes)
        self._explainer = explainer.Explainer(
            holder,
            self.routes,
            self._capacity,
            self._admission,
            self._backlog,
            self._pools,
            self._quotas,
            self._estimates,
            self._health,
            self.submissions,
        )

    def explain(
        self, submission: submissions.Submission, now_ms: int
    ) -> explanations.Explanation:
        """Return what would happen to a submission now, without any effect.

        Args:
            submission: Request or job that was not submitted.
            now_ms: Monotonic time in ms.
        """
        return self._explainer.explain(submission, now_ms)

    def handle(self, event: Event, now_ms: int) -> list[Effect]:
        """Handle one event.

        Args:
            event: Event.
            now_ms: Monotonic time in ms.
        """
        return self.handle_batch([event], now_ms)

    def handle_batch(self, events: list[Event], now_ms: int) -> list[Effect]:
        """Handle events that arrived together, then send waiting tasks once.

        Args:
            events: Events in order.
            now_ms: Monotonic time in ms.
        """
        result: list[Effect] = []
        for event in events:
            result += self._handle_event(event, now_ms)
        for route in self._reporting.values():
            self._capacity.update(route)
        result += self._send_queued(now_ms)
        self._reporting.clear()
        return result

    def _handle_event(self, event: Event, now_ms: int) -> list[Effect]:
        match event:
            case Received():
                return self._handle_message(event, now_ms)
            case Submitted():
                return self._admit(event.submission, now_ms)
            case Cancelled():
                return self._cancel(event.submission)
            case ViewChanged():
                return self._apply_view(now_ms)

    def tick(self, now_ms: int) -> list[Effect]:
        """End overdue submissions and do periodic work for the sidecars.

        Args:
            now_ms: Monotonic time in ms.
        """
        result: list[Effect] = []
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            _, name = heapq.heappop(self._deadlines)
            if name in self.submissions:
                self.counts["submissions.overdue"] += 1
                result += self._fail(name, submissions.Failure.OVERDUE)
        for route in self._health.tick(now_ms):
            self._capacity.update(route)
        if self._sweep.is_complete:
            self._admission.update_slots()
        for route in self._speeds.tick(now_ms, self._admission.estimate_wait()):
            self._capacity.update(route)
        for route in self._sweep.take_batch():
            result += self._send_due_messages(route, now_ms)
        result += self._pools.inquire(now_ms)
        return result + self._send_queued(now_ms)

    def acknowledge_all(self, now_ms: int) -> list[Effect]:
        """Acknowledge every result, so that no sidecar waits for this gateway.

        Args:
            now_ms: Monotonic time in ms.
        """
        routes = self.routes.values()
        return [
            self._demand.build_report(route, len(routes), now_ms) for route in routes
        ]

    def count_queued(self) -> int:
        """Return how many tasks wait."""
        return len(self._backlog)

    def _admit(self, submission: submissions.Submission, now_ms: int) -> list[Effect]:
        rejection = self._admission.check(submission, now_ms)
        if rejection is not None:
            self.counts["submissions.refused"] += 1
            return [rejection]
        self.counts["submissions.admitted"] += 1
        self.submissions[submission.name] = submission
        heapq.heappush(self._deadlines, (submission.deadline_ms, submission.name))
        self._retries.earn(submission)
        needs = routing.list_needs(submission, self._holder.view)
        for task, required in zip(submission.tasks, needs, strict=True):
            self._enqueue(submission, task, required)
        return []

    def _requeue(
        self, submission: submissions.Submission, task: submissions.Task
    ) -> None:
        needs = routing.build_needs(submission, task, self._holder.view)
        self._enqueue(submission, task, needs)

    def _enqueue(
        self,
        submission: submissions.Submission,
        task: submissions.Task,
        needs: routing.Needs,
    ) -> None:
        task.cost_ms = self._estimates.predict(submission.service, task.expected_ms)
        queued = backlog.QueuedTask(submission, task, needs, task.cost_ms)
        self._backlog.push(self._pools.find(needs), queued)

    def _cancel(self, name: str) -> list[Effect]:
        if name not in self.submissions:
            return []
        self.counts["submissions.cancelled"] += 1
        return self._fail(name, submissions.Failure.CANCELLED)

    def _fail(self, name: str, failure: submissions.Failure) -> list[Effect]:
        submission = self.submissions[name]
        reason = FAILURE_REASONS[failure]
        return self._finish(submission, submission.fail(reason, failure=failure))

    def _finish(
        self, submission: submissions.Submission, answer: submissions.Answer
    ) -> list[Effect]:
        submission.answered = True
        del self.submissions[submission.name]
        self._backlog.drop(submission)
        result: list[Effect] = [answer]
        indexes_by_sidecar: dict[str, list[int]] = {}
        sent = submission.list_sent()
        self._quotas.end(submission.team, len(sent))
        for task in sent:
            indexes_by_sidecar.setdefault(task.sidecar, []).append(task.index)
        for sidecar, indexes in indexes_by_sidecar.items():
            route = self.routes.get(sidecar)
            if route is not None:
                cancel = messages.CancelTasks(submission.name, indexes)
                result.append(effects.Send(route.member.address, cancel))
        return result

    def _send_queued(self, now_ms: int) -> list[Effect]:
        """Send waiting tasks to the sidecars that have free capacity."""
        if not len(self._backlog) or not self._holder.is_valid(now_ms):
            return []
        batches: dict[tuple[str, str], list[backlog.QueuedTask]] = {}
        for pool in self._backlog.list_pools():
            self._assign(pool, batches, now_ms)
        result: list[Effect] = []
        for (sidecar, _), batch in batches.items():
            route = self.routes[sidecar]
            result.append(
                self._start_messages.build(route, batch, len(self.routes), now_ms)
            )
        return result + self._demand.request_credits(self._open_routes, now_ms)

    def _assign(
        self,
        pool: capacity.Pool,
        batches: dict[tuple[str, str], list[backlog.QueuedTask]],
        now_ms: int,
    ) -> None:
        deferred: list[backlog.QueuedTask] = []
        while True:
            first = self._capacity.choose(pool) or self._find_idle_sidecar(pool)
            queued = None if first is None else self._backlog.pop(pool)
            if first is None or queued is None:
                break
            open_routes = self._open_routes
            route = self._steering.choose(pool, queued, first, open_routes, now_ms)
            if route is None:
                deferred.append(queued)
                continue
            self._reserve(route, queued)
            name = (route.member.process, queued.submission.name)
            batches.setdefault(name, []).append(queued)
        for queued in deferred:
            self._backlog.push(pool, queued)

    def _reserve(self, route: routing.Route, queued: backlog.QueuedTask) -> None:
        """Reserve capacity for a task whose start message is built later.

        Without free capacity, it borrows an idle slot that the sidecar has reported.
        """
        if route.free_capacity <= 0:
            route.spare -= 1
            route.credit_limit += 1
            self.counts["credits.borrowed"] += 1
        submission = queued.submission
        route.reserve(submission.name, queued.task)
        self._capacity.update(route)
        self._quotas.start(submission.team)

    def _find_idle_sidecar(self, pool: capacity.Pool) -> routing.Route | None:
        """Return a sidecar that has just reported idle slots to borrow, None if none."""
        for route in self._reporting.values():
            if route.spare <= 0 or route.is_limited:
                continue
            if self._capacity.is_usable(pool, route):
                return route
        return None

    def _handle_message(self, event: Received, now_ms: int) -> list[Effect]:
        route = self.routes.get(event.sidecar)
        if route is None or route.member.incarnation != event.incarnation:
            self.counts["messages.stale"] += 1
            return []
        route.last_message_ms = now_ms
        match event.message:
            case messages.ReportResults():
                return self._handle_results(route, event.message, now_ms)
            case messages.GrantCredits():
                return self._handle_credits(route, event.message, now_ms)
            case messages.ReportSettled():
                sender = (event.sidecar, event.incarnation)
                if self._pools.note_settled(*sender, event.message):
                    self._backlog.regroup(self._pools.find)
                return []
            case _:
                self.counts["messages.unexpected"] += 1
                return []

    def _handle_credits(
        self, route: routing.Route, grant: messages.GrantCredits, now_ms: int
    ) -> list[Effect]:
        if grant.target != self._holder.member.incarnation:
            return []
        route.credit_limit = max(route.credit_limit, grant.credit_limit)
        self._tracker.note_confirmed(route, grant.received, now_ms)
        returned = min(grant.recalled, max(0, route.credits))
        route.sent += returned
        self._capacity.update(route)
        if not returned:
            return []
        return [self._demand.build_report(route, len(self.routes), now_ms)]

    def _handle_results(
        self, route: routing.Route, report: messages.ReportResults, now_ms: int
    ) -> list[Effect]:
        if report.target != self._holder.member.incarnation:
            return []
        route.credit_limit = max(route.credit_limit, report.credit_limit)
        route.spare = report.spare
        self._tracker.note_confirmed(route, report.received, now_ms)
        result: list[Effect] = []
        for accepted in self._tracker.accept_report(route, report):
            submission = self.submissions.get(accepted.result.submission)
            if submission is not None:
                self._quotas.end(submission.team)
                task, item = accepted.task, accepted.result
                self._health.note_result(route, item, now_ms)
                if submissions.is_success(item, is_job=True):
                    times = (item.run_ms, task.cost_ms, now_ms)
                    self._speeds.note_run(route, submission.service, *times)
                result += self._handle_result(
                    submission, accepted, route.member, now_ms
                )
        self._reporting[route.member.process] = route
        return result

    def _handle_result(
        self,
        submission: submissions.Submission,
        accepted: tracking.AcceptedResult,
        sender: messages.Member,
        now_ms: int,
    ) -> list[Effect]:
        task, item = accepted.task, accepted.result
        if item.outcome == submissions.NOT_RUN:
            self.counts["tasks.refused"] += 1
            if item.reason not in health.REFUSALS:
                task.note_failure(sender, now_ms)
            self._requeue(submission, task)
            return []
        if item.outcome == submissions.UNKNOWN and self._retries.spend(
            submission, task
        ):
            self.counts["tasks.retried"] += 1
            task.may_have_run = True
            task.note_failure(sender, now_ms)
            self._requeue(submission, task)
            return []
        submission.end_task(task, item)
        if submissions.is_success(item, is_job=True):
            self._estimates.observe(submission.service, task.expected_ms, item.run_ms)
        if submission.is_job and not submissions.is_success(item, is_job=True):
            return self._finish(submission, submission.conclude())
        if submission.ended < len(submission.tasks):
            return []
        return self._finish(submission, submission.conclude())

    def _apply_view(self, now_ms: int) -> list[Effect]:
        result: list[Effect] = []
        current = {item.process: item for item in self._holder.view.list_sidecars()}
        for name, route in list(self.routes.items()):
            member = current.get(name)
            if member is None or member.incarnation != route.member.incarnation:
                self._former_routes[name] = self.routes.pop(name)
                self._reporting.pop(name, None)
                self._health.remove(name)
                result += self._fail_over(route, now_ms)
        for name, member in current.items():
            if name in self.routes:
                self.routes[name].member = member
                continue
            self.routes[name] = self._open_route(member, now_ms)
            result.append(
                self._demand.build_report(self.routes[name], len(current), now_ms)
            )
        view = self._holder.view
        for route in self.routes.values():
            route.closed = not routing.is_open(route, view)
        self._open_routes = [item for item in self.routes.values() if not item.closed]
        self._quotas.apply_limits()
        if self._pools.apply_view(self.routes.values(), self._open_routes):
            self._backlog.regroup(self._pools.find)
        return result

    def _open_route(self, member: messages.Member, now_ms: int) -> routing.Route:
        """Return a new route, or the former one to the same incarnation.

        The sequences and totals of a former route continue, because the sidecar
        still holds them.
        """
        route = self._former_routes.pop(member.process, None)
        if route is None or route.member.incarnation != member.incarnation:
            return routing.Route(member, last_message_ms=now_ms)
        route.member = member
        route.last_message_ms = now_ms
        return route

    def _fail_over(self, route: routing.Route, now_ms: int) -> list[Effect]:
        result: list[Effect] = []
        for resolution in self._tracker.resolve_lost(route, self.submissions):
            submission = resolution.submission
            if submission.answered:
                continue
            match resolution:
                case tracking.Retry() if self._retries.spend(
                    submission, resolution.task
                ):
                    self.counts["tasks.retried"] += 1
                    self._quotas.end(submission.team)
                    resolution.task.note_failure(route.member, now_ms)
                    self._requeue(submission, resolution.task)
                case _:
                    self._quotas.end(submission.team)
                    submission.end_task(resolution.task, resolution.result)
                    result += self._finish(submission, submission.conclude())
        return result

    def _send_due_messages(self, route: routing.Route, now_ms: int) -> list[Effect]:
        result: list[Effect] = []
        if self._demand.is_due(route, now_ms):
            result.append(self._demand.build_report(route, len(self.routes), now_ms))
        inquiries = self._tracker.inquire(route, now_ms)
        self.counts["inquiries.sent"] += len(inquiries)
        return result + inquiries
