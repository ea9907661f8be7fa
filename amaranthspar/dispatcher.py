"""State machine of a gateway: admission, queue, dispatch and answers."""

import attrs

from amaranthspar import (
    effects,
    fairqueue,
    leaseholder,
    messages,
    routing,
    submissions,
)

DEFAULT_EXPECTED_MS = 200
DEMAND_INTERVAL_MS = 100
KEEP_ALIVE_MS = 1000
SILENT_MS = 1500
INQUIRE_INTERVAL_MS = 1500
UNAVAILABLE_RETRY_MS = 1000


@attrs.frozen(slots=True)
class Submitted:
    """A submission asks for admission."""

    submission: submissions.Submission


@attrs.frozen(slots=True)
class Cancelled:
    """A caller no longer wants a submission."""

    submission: str


@attrs.frozen(slots=True)
class Received:
    """A message from a sidecar has arrived."""

    sidecar: str
    incarnation: int
    message: object


@attrs.frozen(slots=True)
class ViewChanged:
    """A newer configuration or membership is held."""


Event = Submitted | Cancelled | Received | ViewChanged
Effect = effects.Send | submissions.Answer


@attrs.frozen(slots=True)
class _Waiting:
    """A task in the queue."""

    submission: submissions.Submission
    task: submissions.Task


class Dispatcher:
    """Admits submissions and sends their tasks to sidecars.

    Args:
        holder: Lease of this gateway.
        near_domain: Failure domain of this gateway.
    """

    def __init__(self, holder: leaseholder.LeaseHolder, near_domain: str) -> None:
        self.counts: dict[str, int] = {}
        self.submissions: dict[str, submissions.Submission] = {}
        self.routes: dict[str, routing.Route] = {}
        self._holder = holder
        self._near_domain = near_domain
        self._queues: dict[routing.Needs, fairqueue.FairQueue[_Waiting]] = {}
        self._queued: dict[str, int] = {}
        self._oldest_ms: dict[str, int] = {}

    def handle(self, event: Event, now_ms: int) -> list[Effect]:
        """Take one event.

        Args:
            event: What has happened.
            now_ms: Monotonic time in ms.
        """
        match event:
            case Submitted():
                result = self._admit(event.submission, now_ms)
            case Cancelled():
                result = self._cancel(event.submission)
            case Received():
                result = self._receive(event, now_ms)
            case ViewChanged():
                result = self._follow_membership(now_ms)
        return result + self._pump(now_ms)

    def tick(self, now_ms: int) -> list[Effect]:
        """End what is overdue and ask after silent sidecars.

        Args:
            now_ms: Monotonic time in ms.
        """
        result: list[Effect] = []
        for submission in list(self.submissions.values()):
            if now_ms >= submission.deadline_ms:
                self._count("submissions.overdue")
                result += self._end(submission, submission.fail("deadline passed"))
        for route in self.routes.values():
            result += self._keep_in_touch(route, now_ms)
        return result + self._pump(now_ms)

    def _admit(self, submission: submissions.Submission, now_ms: int) -> list[Effect]:
        refusal = self._judge_admission(submission, now_ms)
        if refusal:
            self._count("submissions.refused")
            retry_ms = 0 if refusal.startswith("can never") else UNAVAILABLE_RETRY_MS
            return [submission.fail(refusal, retry_ms)]
        self._count("submissions.admitted")
        self.submissions[submission.name] = submission
        for task in submission.tasks:
            self._enqueue(submission, task)
        return []

    def _judge_admission(self, submission: submissions.Submission, now_ms: int) -> str:
        if not self._holder.is_valid(now_ms):
            return "gateway holds no lease"
        if now_ms >= submission.deadline_ms:
            return "deadline passed"
        service = self._holder.view.settings.services[submission.service]
        waiting = sum(self._queued.values())
        if waiting + len(submission.tasks) > service.queue_limit:
            return "queue full"
        announcements = [item.announcement for item in self.routes.values()]
        for needs in {self._read_needs(submission, task) for task in submission.tasks}:
            if not any(routing.is_feasible(needs, item) for item in announcements):
                return "can never run: no upstream has what it needs"
        return ""

    def _read_needs(
        self, submission: submissions.Submission, task: submissions.Task
    ) -> routing.Needs:
        group = self._holder.view.find_home(submission.desk)
        wanted = (task.cores, task.memory_mb, task.accelerators)
        return routing.Needs(submission.service, group, *wanted)

    def _enqueue(
        self, submission: submissions.Submission, task: submissions.Task
    ) -> None:
        task.state = submissions.TaskState.QUEUED
        task.sidecar = ""
        needs = self._read_needs(submission, task)
        queue = self._queues.setdefault(needs, fairqueue.FairQueue())
        path = (submission.team, submission.caller, submission.name)
        cost_ms = task.expected_ms or DEFAULT_EXPECTED_MS
        queue.push(path, _Waiting(submission, task), cost_ms)
        self._queued[submission.name] = self._queued.get(submission.name, 0) + 1

    def _cancel(self, name: str) -> list[Effect]:
        submission = self.submissions.get(name)
        if submission is None:
            return []
        self._count("submissions.cancelled")
        return self._end(submission, submission.fail("cancelled"))

    def _end(
        self, submission: submissions.Submission, answer: submissions.Answer
    ) -> list[Effect]:
        submission.over = True
        del self.submissions[submission.name]
        self._queued.pop(submission.name, None)
        result: list[Effect] = [answer]
        held: dict[str, list[int]] = {}
        for task in submission.list_sent():
            held.setdefault(task.sidecar, []).append(task.index)
        for sidecar, indexes in held.items():
            route = self.routes.get(sidecar)
            if route is not None:
                cancel = messages.CancelTasks(submission.name, indexes)
                result.append(effects.Send(route.member.address, cancel))
        return result

    def _pump(self, now_ms: int) -> list[Effect]:
        """Send what waits to the sidecars that have room."""
        if not self._holder.is_valid(now_ms) or not self._queued:
            return []
        known = self._holder.view
        routes = [
            route
            for route in self.routes.values()
            if route.credits > 0 and routing.is_open(route, known)
        ]
        batches: dict[tuple[str, str], list[_Waiting]] = {}
        for needs in list(self._queues):
            self._assign(needs, routes, batches)
        result: list[Effect] = []
        for (sidecar, _), batch in batches.items():
            result.append(self._send_batch(self.routes[sidecar], batch, now_ms))
        return result + self._report_demand(now_ms)

    def _assign(
        self,
        needs: routing.Needs,
        routes: list[routing.Route],
        batches: dict[tuple[str, str], list[_Waiting]],
    ) -> None:
        queue = self._queues[needs]
        while len(queue):
            route = routing.choose_route(needs, routes, self._near_domain)
            if route is None:
                return
            waiting = queue.pop()
            if waiting.submission.over:
                continue
            name = waiting.submission.name
            route.sent += 1
            self._queued[name] -= 1
            if not self._queued[name]:
                del self._queued[name]
            batches.setdefault((route.member.process, name), []).append(waiting)
        del self._queues[needs]

    def _send_batch(
        self, route: routing.Route, batch: list[_Waiting], now_ms: int
    ) -> effects.Send:
        submission = batch[0].submission
        starts = []
        for waiting in batch:
            task = waiting.task
            task.state = submissions.TaskState.SENT
            task.sidecar = route.member.process
            task.sent_ms = now_ms
            task.attempts += 1
            route.in_flight[submission.name, task.index] = task
            wanted = (task.cores, task.memory_mb, task.accelerators)
            starts.append(messages.TaskStart(task.index, task.payload, *wanted))
        route.sequence += 1
        route.demand_ms = now_ms
        message = messages.StartTasks(
            sequence=route.sequence,
            target=route.member.incarnation,
            configuration_version=self._holder.view.configuration_version,
            submission=submission.name,
            service=submission.service,
            desk=submission.desk,
            content_type=submission.content_type,
            deadline_ms=submission.deadline_ms - now_ms,
            traceparent=submission.traceparent,
            queued=self.count_queued(),
            oldest_wait_ms=self._measure_oldest_wait(now_ms),
            sent=route.sent,
            acknowledged=route.acknowledged,
            tasks=starts,
        )
        return effects.Send(route.member.address, message)

    def count_queued(self) -> int:
        """Return how many tasks wait."""
        return sum(self._queued.values())

    def _measure_oldest_wait(self, now_ms: int) -> int:
        if not self._queued:
            return 0
        oldest = self.submissions[next(iter(self._queued))]
        return now_ms - oldest.admitted_ms

    def _report_demand(self, now_ms: int) -> list[Effect]:
        """Tell sidecars of work that waits without credits."""
        if not self._queued:
            return []
        return [
            self._state_demand(route, now_ms)
            for route in self.routes.values()
            if now_ms - route.demand_ms >= DEMAND_INTERVAL_MS
        ]

    def _state_demand(self, route: routing.Route, now_ms: int) -> effects.Send:
        route.demand_ms = now_ms
        demand = messages.ReportDemand(
            route.member.incarnation,
            self.count_queued(),
            self._measure_oldest_wait(now_ms),
            route.sent,
            route.acknowledged,
        )
        return effects.Send(route.member.address, demand)

    def _receive(self, event: Received, now_ms: int) -> list[Effect]:
        route = self.routes.get(event.sidecar)
        if route is None or route.member.incarnation != event.incarnation:
            self._count("messages.stale")
            return []
        route.heard_ms = now_ms
        match event.message:
            case messages.ReportResults():
                return self._take_results(route, event.message, now_ms)
            case messages.GrantCredits():
                return self._take_credits(route, event.message, now_ms)
            case _:
                self._count("messages.unexpected")
                return []

    def _take_credits(
        self, route: routing.Route, grant: messages.GrantCredits, now_ms: int
    ) -> list[Effect]:
        if grant.target != self._holder.member.incarnation:
            return []
        route.limit = max(route.limit, grant.credit_limit)
        returned = min(grant.recalled, max(0, route.credits))
        if not returned:
            return []
        route.sent += returned
        return [self._state_demand(route, now_ms)]

    def _take_results(
        self, route: routing.Route, report: messages.ReportResults, now_ms: int
    ) -> list[Effect]:
        if report.target != self._holder.member.incarnation:
            return []
        route.limit = max(route.limit, report.credit_limit)
        if report.first_sequence <= route.acknowledged + 1:
            last = report.first_sequence + len(report.results) - 1
            route.acknowledged = max(route.acknowledged, last)
        result: list[Effect] = []
        for item in report.results:
            result += self._take_result(route, item, now_ms)
        return result

    def _take_result(
        self, route: routing.Route, item: messages.TaskResult, now_ms: int
    ) -> list[Effect]:
        task = route.in_flight.pop((item.submission, item.index), None)
        submission = self.submissions.get(item.submission)
        if task is None or submission is None:
            self._count("results.late")
            return []
        if item.outcome == submissions.NOT_RUN:
            self._count("tasks.refused")
            self._enqueue(submission, task)
            return []
        submission.end_task(task, item)
        if submission.is_job and not submissions.is_success(item, is_job=True):
            return self._end(submission, submission.conclude())
        if submission.ended < len(submission.tasks):
            return []
        return self._end(submission, submission.conclude())

    def _follow_membership(self, now_ms: int) -> list[Effect]:
        result: list[Effect] = []
        current = {item.process: item for item in self._holder.view.list_sidecars()}
        for name, route in list(self.routes.items()):
            member = current.get(name)
            if member is None or member.incarnation != route.member.incarnation:
                del self.routes[name]
                result += self._give_up(route)
        for name, member in current.items():
            if name in self.routes:
                self.routes[name].member = member
                continue
            self.routes[name] = routing.Route(member, heard_ms=now_ms)
            result.append(self._state_demand(self.routes[name], now_ms))
        return result

    def _give_up(self, route: routing.Route) -> list[Effect]:
        """End the tasks of a sidecar that is gone; retry where that is allowed."""
        result: list[Effect] = []
        services = self._holder.view.settings.services
        for (name, index), task in route.in_flight.items():
            submission = self.submissions.get(name)
            if submission is None:
                continue
            service = services.get(submission.service)
            retry = service is not None and service.idempotent
            if retry and not submission.is_job and task.attempts == 1:
                self._count("tasks.retried")
                self._enqueue(submission, task)
                continue
            lost = messages.TaskResult(name, index, "unknown", "sidecar lost")
            submission.end_task(task, lost)
            result += self._end(submission, submission.conclude())
        return result

    def _keep_in_touch(self, route: routing.Route, now_ms: int) -> list[Effect]:
        result: list[Effect] = []
        if now_ms - route.demand_ms >= KEEP_ALIVE_MS:
            result.append(self._state_demand(route, now_ms))
        silent = now_ms - route.heard_ms > SILENT_MS
        asked = now_ms - route.inquired_ms < INQUIRE_INTERVAL_MS
        if not route.in_flight or not silent or asked:
            return result
        route.inquired_ms = now_ms
        self._count("inquiries.sent")
        doubtful = [messages.TaskReference(*name) for name in route.in_flight]
        inquiry = messages.InquireTasks(
            route.member.incarnation, route.sequence, doubtful
        )
        return [*result, effects.Send(route.member.address, inquiry)]

    def _count(self, name: str, amount: int = 1) -> None:
        self.counts[name] = self.counts.get(name, 0) + amount
