"""State machine of a gateway: admission, queue, dispatch and answers."""

import collections

import attrs

from amaranthspar import (
    admission,
    backlog,
    demand,
    desks,
    doubts,
    effects,
    leaseholder,
    messages,
    routing,
    submissions,
)

KEEP_ALIVE_MS = 1000


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


class Dispatcher:
    """Admits submissions and sends their tasks to sidecars.

    Args:
        holder: Lease of this gateway.
        near_domain: Failure domain of this gateway.
    """

    def __init__(self, holder: leaseholder.LeaseHolder, near_domain: str) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.submissions: dict[str, submissions.Submission] = {}
        self.routes: dict[str, routing.Route] = {}
        self._holder = holder
        self._near_domain = near_domain
        self._backlog = backlog.Backlog()
        self._admission = admission.Admission(holder, self._backlog, self.routes)
        self._parted: dict[str, routing.Route] = {}
        self._demand = demand.Demand(self._backlog)
        self._doubts = doubts.Doubts(holder, self.counts)
        self._barrier = desks.Barrier()

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
                self.counts["submissions.overdue"] += 1
                result += self._end(submission, submission.fail("deadline passed"))
        for route in self.routes.values():
            result += self._keep_in_touch(route, now_ms)
        waiting = (needs.desk for needs in self._backlog.list_needs())
        result += self._barrier.inquire(waiting, self._holder.view, now_ms)
        return result + self._pump(now_ms)

    def sign_off(self, now_ms: int) -> list[Effect]:
        """Confirm every result, so that no sidecar waits for this gateway.

        Args:
            now_ms: Monotonic time in ms.
        """
        return [self._demand.state(route, now_ms) for route in self.routes.values()]

    def count_queued(self) -> int:
        """Return how many tasks wait."""
        return len(self._backlog)

    def _admit(self, submission: submissions.Submission, now_ms: int) -> list[Effect]:
        refusal = self._admission.judge(submission, now_ms)
        if refusal is not None:
            self.counts["submissions.refused"] += 1
            return [refusal]
        self.counts["submissions.admitted"] += 1
        self.submissions[submission.name] = submission
        for task in submission.tasks:
            self._enqueue(submission, task)
        return []

    def _enqueue(
        self, submission: submissions.Submission, task: submissions.Task
    ) -> None:
        needs = routing.read_needs(submission, task, self._holder.view)
        self._backlog.push(needs, backlog.Waiting(submission, task))

    def _cancel(self, name: str) -> list[Effect]:
        submission = self.submissions.get(name)
        if submission is None:
            return []
        self.counts["submissions.cancelled"] += 1
        return self._end(submission, submission.fail("cancelled"))

    def _end(
        self, submission: submissions.Submission, answer: submissions.Answer
    ) -> list[Effect]:
        submission.over = True
        del self.submissions[submission.name]
        self._backlog.drop(submission.name)
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
        if not self._holder.is_valid(now_ms) or not len(self._backlog):
            return []
        known = self._holder.view
        routes = [
            route
            for route in self.routes.values()
            if route.credits > 0 and routing.is_open(route, known)
        ]
        batches: dict[tuple[str, str], list[backlog.Waiting]] = {}
        for needs in self._backlog.list_needs():
            self._assign(needs, routes, batches)
        result: list[Effect] = []
        for (sidecar, _), batch in batches.items():
            result.append(self._send_batch(self.routes[sidecar], batch, now_ms))
        return result + self._demand.report(self.routes.values(), now_ms)

    def _assign(
        self,
        needs: routing.Needs,
        routes: list[routing.Route],
        batches: dict[tuple[str, str], list[backlog.Waiting]],
    ) -> None:
        known = self._holder.view
        if not self._barrier.is_open(needs.desk, known):
            return
        resolved = routing.resolve_home(needs, known)
        while True:
            route = routing.choose_route(resolved, routes, self._near_domain)
            if route is None:
                return
            waiting = self._backlog.pop(needs)
            if waiting is None:
                return
            route.sent += 1
            name = (route.member.process, waiting.submission.name)
            batches.setdefault(name, []).append(waiting)

    def _send_batch(
        self, route: routing.Route, batch: list[backlog.Waiting], now_ms: int
    ) -> effects.Send:
        submission = batch[0].submission
        route.sequence += 1
        self._doubts.note_start(route, now_ms)
        starts = []
        for waiting in batch:
            task = waiting.task
            task.state = submissions.TaskState.SENT
            task.sidecar = route.member.process
            task.sent_ms = now_ms
            task.attempts += 1
            task.sequence = route.sequence
            route.in_flight[submission.name, task.index] = task
            wanted = (task.cores, task.memory_mb, task.accelerators)
            starts.append(messages.TaskStart(task.index, task.payload, *wanted))
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
            queued=len(self._backlog),
            oldest_wait_ms=self._backlog.measure_oldest_wait(now_ms),
            sent=route.sent,
            acknowledged=route.acknowledged,
            tasks=starts,
        )
        return effects.Send(route.member.address, message)

    def _receive(self, event: Received, now_ms: int) -> list[Effect]:
        route = self.routes.get(event.sidecar)
        if route is None or route.member.incarnation != event.incarnation:
            self.counts["messages.stale"] += 1
            return []
        route.heard_ms = now_ms
        match event.message:
            case messages.ReportResults():
                return self._take_results(route, event.message, now_ms)
            case messages.GrantCredits():
                return self._take_credits(route, event.message, now_ms)
            case messages.ReportSettled():
                self._barrier.note(
                    event.sidecar, event.incarnation, event.message.version
                )
                return []
            case _:
                self.counts["messages.unexpected"] += 1
                return []

    def _take_credits(
        self, route: routing.Route, grant: messages.GrantCredits, now_ms: int
    ) -> list[Effect]:
        if grant.target != self._holder.member.incarnation:
            return []
        route.limit = max(route.limit, grant.credit_limit)
        self._doubts.note_received(route, grant.received, now_ms)
        returned = min(grant.recalled, max(0, route.credits))
        if not returned:
            return []
        route.sent += returned
        return [self._demand.state(route, now_ms)]

    def _take_results(
        self, route: routing.Route, report: messages.ReportResults, now_ms: int
    ) -> list[Effect]:
        if report.target != self._holder.member.incarnation:
            return []
        route.limit = max(route.limit, report.credit_limit)
        self._doubts.note_received(route, report.received, now_ms)
        result: list[Effect] = []
        for receipt in self._doubts.take_report(route, report):
            submission = self.submissions.get(receipt.result.submission)
            if submission is not None:
                result += self._take_result(submission, receipt)
        return result

    def _take_result(
        self, submission: submissions.Submission, receipt: doubts.Receipt
    ) -> list[Effect]:
        task, item = receipt.task, receipt.result
        if item.outcome == submissions.NOT_RUN:
            self.counts["tasks.refused"] += 1
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
        self._barrier.forget_absent(self._holder.view)
        current = {item.process: item for item in self._holder.view.list_sidecars()}
        for name, route in list(self.routes.items()):
            member = current.get(name)
            if member is None or member.incarnation != route.member.incarnation:
                self._parted[name] = self.routes.pop(name)
                result += self._give_up(route)
        for name, member in current.items():
            if name in self.routes:
                self.routes[name].member = member
                continue
            self.routes[name] = self._open_route(member, now_ms)
            result.append(self._demand.state(self.routes[name], now_ms))
        return result

    def _open_route(self, member: messages.Member, now_ms: int) -> routing.Route:
        """Return a new route, or the former one to the same incarnation.

        Its sequences and totals go on, as the sidecar remembers them.
        """
        route = self._parted.pop(member.process, None)
        if route is None or route.member.incarnation != member.incarnation:
            return routing.Route(member, heard_ms=now_ms)
        route.member = member
        route.heard_ms = now_ms
        return route

    def _give_up(self, route: routing.Route) -> list[Effect]:
        result: list[Effect] = []
        for verdict in self._doubts.give_up(route, self.submissions):
            submission = verdict.submission
            if submission.over:
                continue
            match verdict:
                case doubts.Retry():
                    self.counts["tasks.retried"] += 1
                    self._enqueue(submission, verdict.task)
                case doubts.Lost():
                    submission.end_task(verdict.task, verdict.result)
                    result += self._end(submission, submission.conclude())
        return result

    def _keep_in_touch(self, route: routing.Route, now_ms: int) -> list[Effect]:
        result: list[Effect] = []
        if now_ms - route.demand_ms >= KEEP_ALIVE_MS:
            result.append(self._demand.state(route, now_ms))
        inquiries = self._doubts.inquire(route, now_ms)
        self.counts["inquiries.sent"] += len(inquiries)
        return result + inquiries
