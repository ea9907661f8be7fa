"""State machine of a sidecar for starts, results, credits and draining.

The executor takes messages from gateways, ends of tasks and clock ticks, and
returns effects: messages to send, tasks to run and tasks to stop. It does no
input or output itself.
"""

import collections

import attrs

from amaranthspar import effects
from amaranthspar.execution import gateways, grants, outbox, slots, startqueue, starts
from amaranthspar.membership import desks, leaseholder
from amaranthspar.schema import messages

RESULT_RETENTION_MS = 30000
"""Time from a gateway's last message until its results are dropped, in ms."""


@attrs.frozen(slots=True)
class RunTask:
    """Effect that starts a task on the upstream.

    Attributes:
        submission: Submission id.
        index: Position of the task in the submission.
        service: Service name.
        content_type: Content type of the payload.
        payload: Body of the request to the upstream.
        timeout_ms: Time until the deadline in ms.
        traceparent: W3C trace context; empty for none.
    """

    submission: str
    index: int
    service: str
    content_type: str
    payload: bytes
    timeout_ms: int
    traceparent: str


@attrs.frozen(slots=True)
class StopTask:
    """Effect that asks the upstream to stop a started task.

    Attributes:
        submission: Submission id.
        index: Position of the task in the submission.
    """

    submission: str
    index: int


@attrs.frozen(slots=True)
class Received:
    """Event of a message that has arrived from a gateway.

    Attributes:
        gateway: Process name of the gateway.
        incarnation: Incarnation of the gateway.
        address: Address at which the gateway listens.
        message: Message.
    """

    gateway: str
    incarnation: int
    address: str
    message: object


@attrs.frozen(slots=True)
class TaskEnded:
    """Event of a started task that has ended.

    Attributes:
        result: Result; its outcome is ``not-run`` only if nothing was sent to the
            upstream.
    """

    result: messages.TaskResult


Effect = effects.Send | RunTask | StopTask

_GATEWAY_MESSAGES = (
    messages.StartTasks,
    messages.ReportDemand,
    messages.CancelTasks,
    messages.InquireTasks,
    messages.InquireSettled,
)


@attrs.frozen(slots=True)
class _StartedTask:
    """A started task and the sequence of the start message that contained it."""

    gateway: gateways.Gateway
    sequence: int
    task: desks.RunningTask


class Executor:
    """Starts tasks on one upstream and reports their results to the gateways.

    Args:
        holder: Lease of this sidecar; its member contains the announcement.

    Attributes:
        draining: Whether new starts are refused because the sidecar stops.
        counts: Counters of the process.
        allocator: Slots of the upstream and their allocation to gateways.
    """

    def __init__(self, holder: leaseholder.LeaseHolder) -> None:
        if holder.member.announcement is None:
            raise ValueError("a sidecar's member needs an announcement")
        self.draining = False
        self.counts: collections.Counter[str] = collections.Counter()
        self._holder = holder
        self._announcement = holder.member.announcement
        self.allocator = slots.Allocator(self._announcement.slots)
        self._gateways = gateways.Gateways(self.allocator, self.counts)
        self._grants = grants.CreditGranter(self.allocator, self._gateways)
        self._running: dict[tuple[str, int], _StartedTask] = {}
        self._start_queue = startqueue.StartQueue()

    @property
    def is_idle(self) -> bool:
        """Whether no task runs or waits and no responsive gateway lacks a result."""
        waiting = any(
            item.suspended_share is None and not item.results.is_empty
            for item in self._gateways
        )
        return not self._running and not len(self._start_queue) and not waiting

    @property
    def is_drained(self) -> bool:
        """Whether the executor is idle and no responsive gateway may send a start."""
        shares = self.allocator.shares.values()
        return self.is_idle and not any(share.unused > 0 for share in shares)

    def handle(self, event: Received | TaskEnded, now_ms: int) -> list[Effect]:
        """Process one event and return its effects.

        Args:
            event: Message of a gateway or end of a task.
            now_ms: Monotonic time in ms.
        """
        match event:
            case Received():
                return self._handle_message(event, now_ms)
            case TaskEnded():
                return self._handle_end(event.result, now_ms)

    def tick(self, now_ms: int) -> list[Effect]:
        """Resend results, suspend unresponsive gateways and check the lease.

        Args:
            now_ms: Monotonic time in ms.
        """
        result: list[Effect] = []
        for gateway in self._gateways:
            elapsed_ms = now_ms - gateway.last_message_ms
            if elapsed_ms > RESULT_RETENTION_MS and not gateway.results.is_empty:
                self.counts["results.dropped"] += gateway.results.drop_all()
                gateway.received_sequence = 0
            if self._gateways.is_unresponsive(gateway, now_ms):
                self._gateways.suspend(gateway)
                continue
            result += self._resend(gateway, now_ms)
        was_granting = self._grants.is_granting
        self._grants.is_granting = self._may_start(now_ms)
        result += self._process_queue(now_ms)
        if was_granting and not self._grants.is_granting:
            return result + self._grants.recall_all()
        return result + self._grants.grant_pending()

    def drain(self, now_ms: int) -> list[Effect]:
        """Refuse new starts from now on and recall every credit.

        Args:
            now_ms: Monotonic time in ms.
        """
        self.draining = True
        self._grants.is_granting = False
        return self._process_queue(now_ms) + self._grants.recall_all()

    def _may_start(self, now_ms: int) -> bool:
        domain = self._announcement.failure_domain
        return (
            not self.draining
            and self._holder.is_valid(now_ms)
            and self._holder.view.is_domain_in(domain)
        )

    def _handle_message(self, event: Received, now_ms: int) -> list[Effect]:
        if not isinstance(event.message, _GATEWAY_MESSAGES):
            self.counts["messages.unexpected"] += 1
            return []
        gateway = self._gateways.register_sender(
            event.gateway, event.incarnation, event.address, now_ms
        )
        if gateway is None:
            return []
        if isinstance(event.message, messages.CancelTasks):
            return self._handle_cancel(gateway, event.message, now_ms)
        if event.message.target != self._holder.member.incarnation:
            self.counts["messages.stale"] += 1
            return []
        self._grants.is_granting = self._may_start(now_ms)
        match event.message:
            case messages.StartTasks():
                return self._handle_start(gateway, event.message, now_ms)
            case messages.ReportDemand():
                return self._handle_demand(gateway, event.message)
            case messages.InquireSettled():
                return self._report_settled(gateway)
            case messages.InquireTasks():
                return self._answer_inquiry(gateway, event.message, now_ms)
        return []

    def _handle_start(
        self, gateway: gateways.Gateway, message: messages.StartTasks, now_ms: int
    ) -> list[Effect]:
        state = self._read_state(gateway.last_sequence, now_ms)
        refusal = starts.find_refusal(message, state)
        if refusal is starts.Refusal.STALE_MESSAGE:
            self.counts["starts.stale"] += 1
            return []
        if gateway.received_sequence == message.sequence - 1:
            gateway.received_sequence = message.sequence
        gateway.last_sequence = message.sequence
        gateway.results.acknowledge(message.acknowledged)
        self._grants.update_demand(gateway, message)
        result: list[Effect] = []
        for task in message.tasks:
            name = (message.submission, task.index)
            reason = refusal or self._find_task_refusal(gateway, name)
            if reason is starts.Refusal.NO_SLOT and self._start_queue.has_capacity:
                self._enqueue(gateway, message, task, now_ms)
            elif reason is not None:
                self._refuse(gateway, name, message.sequence, reason)
            else:
                self.allocator.start(gateway.name)
                left_ms = message.deadline_ms
                result.append(self._start_task(gateway, message, task, left_ms))
        if gateway.results.has_unsent:
            recipients = self._grants.redistribute(gateway.name)
            return (
                result
                + self._report(gateway, now_ms)
                + self._grants.build_grants(recipients)
            )
        return result + self._grants.build_grants(self._grants.redistribute())

    def _find_task_refusal(
        self, gateway: gateways.Gateway, name: tuple[str, int]
    ) -> starts.Refusal | None:
        if name in gateway.started or name in self._start_queue:
            return starts.Refusal.DUPLICATE
        if len(self._running) >= self.allocator.count:
            return starts.Refusal.NO_SLOT
        return None

    def _start_task(
        self,
        gateway: gateways.Gateway,
        message: messages.StartTasks,
        task: messages.TaskStart,
        left_ms: int,
    ) -> RunTask:
        name = (message.submission, task.index)
        gateway.started.add(name, message.sequence)
        version = self._holder.view.configuration_version
        running = desks.RunningTask(gateway.name, message.desk, version)
        self._running[name] = _StartedTask(gateway, message.sequence, running)
        self.counts["tasks.started"] += 1
        return RunTask(
            message.submission,
            task.index,
            message.service,
            message.content_type,
            task.payload,
            left_ms,
            message.traceparent,
        )

    def _enqueue(
        self,
        gateway: gateways.Gateway,
        message: messages.StartTasks,
        task: messages.TaskStart,
        now_ms: int,
    ) -> None:
        self.counts["tasks.held"] += 1
        self.allocator.start(gateway.name)
        sender = (gateway.name, gateway.incarnation)
        self._start_queue.add(startqueue.QueuedStart(*sender, message, task, now_ms))

    def _process_queue(self, now_ms: int) -> list[Effect]:
        """Start queued tasks in free slots, or refuse those that may not start."""
        result: list[Effect] = []
        while len(self._start_queue) and self._can_process_queue():
            queued = self._start_queue.pop_first()
            gateway = self._gateways[queued.gateway]
            if gateway.incarnation != queued.incarnation:
                self.allocator.end("")
                continue
            message = queued.build_message(now_ms)
            refusal = starts.find_refusal(message, self._read_state(0, now_ms))
            if refusal is None:
                left_ms = message.deadline_ms
                result.append(self._start_task(gateway, message, queued.task, left_ms))
                continue
            self.allocator.end(gateway.name)
            name = (message.submission, queued.task.index)
            self._refuse(gateway, name, message.sequence, refusal)
            if gateway.suspended_share is None:
                result += self._report(gateway, now_ms)
        return result

    def _can_process_queue(self) -> bool:
        return len(self._running) < self.allocator.count or not self._grants.is_granting

    def _read_state(self, last_sequence: int, now_ms: int) -> starts.SidecarState:
        return starts.SidecarState(
            self._holder.is_valid(now_ms),
            self.draining,
            self._holder.member.incarnation,
            last_sequence,
            self._announcement,
            self._holder.view,
        )

    def _refuse(
        self,
        gateway: gateways.Gateway,
        name: tuple[str, int],
        sequence: int,
        reason: starts.Refusal,
    ) -> None:
        if reason is starts.Refusal.DUPLICATE:
            self.counts["starts.duplicate"] += 1
            return
        self.counts["tasks.refused"] += 1
        refused = messages.TaskResult(*name, "not-run", reason.value, start=sequence)
        gateway.results.add(refused)

    def _handle_end(self, ended: messages.TaskResult, now_ms: int) -> list[Effect]:
        name = (ended.submission, ended.index)
        running = self._running.pop(name, None)
        if running is None:
            return []
        gateway = running.gateway
        if ended.outcome == "not-run":
            gateway.started.remove(name)
        is_current = self._gateways[gateway.name] is gateway
        self.allocator.end(gateway.name if is_current else "")
        result = self._process_queue(now_ms)
        result += self._grants.build_grants(self._grants.redistribute(gateway.name))
        if not is_current:
            self.counts["results.undeliverable"] += 1
            return result
        gateway.results.add(attrs.evolve(ended, start=running.sequence))
        if gateway.suspended_share is not None:
            return result
        self._limit_results(gateway)
        return self._report(gateway, now_ms) + result

    def _limit_results(self, gateway: gateways.Gateway) -> None:
        if gateway.results.retained_bytes > outbox.MAX_RETAINED_BYTES:
            self.counts["results.dropped"] += gateway.results.drop_bodies()

    def _report(self, gateway: gateways.Gateway, now_ms: int) -> list[Effect]:
        limit = self.allocator.report_limit(gateway.name)
        spare = 0 if self.draining else self.allocator.count_spare(gateway.name)
        reports = gateway.results.report_unsent(
            limit, gateway.received_sequence, now_ms, spare
        )
        return [effects.Send(gateway.address, item) for item in reports]

    def _resend(
        self, gateway: gateways.Gateway, now_ms: int, immediately: bool = False
    ) -> list[Effect]:
        result: list[Effect] = []
        if immediately or gateway.results.is_overdue(now_ms):
            limit = self.allocator.report_limit(gateway.name)
            for report in gateway.results.report_unacknowledged(
                limit, gateway.received_sequence, now_ms
            ):
                self.counts["results.resent"] += len(report.results)
                result.append(effects.Send(gateway.address, report))
        if gateway.results.has_unsent:
            result += self._report(gateway, now_ms)
        return result

    def _handle_demand(
        self, gateway: gateways.Gateway, message: messages.ReportDemand
    ) -> list[Effect]:
        gateway.results.acknowledge(message.acknowledged)
        return [*self._grants.answer_demand(gateway, message)]

    def _handle_cancel(
        self, gateway: gateways.Gateway, message: messages.CancelTasks, now_ms: int
    ) -> list[Effect]:
        result: list[Effect] = []
        for index in message.indexes:
            name = (message.submission, index)
            if name in self._running:
                result.append(StopTask(*name))
                continue
            queued = self._start_queue.remove(name)
            if queued is not None:
                self.allocator.end(gateway.name)
                sequence = queued.message.sequence
                self._refuse(gateway, name, sequence, starts.Refusal.CANCELLED)
        if gateway.results.has_unsent:
            result += self._report(gateway, now_ms)
        return result

    def _report_settled(self, gateway: gateways.Gateway) -> list[Effect]:
        current_view = self._holder.view
        version = desks.find_settled_version(
            current_view.configuration_version,
            (item.task for item in self._running.values()),
            self._announcement.group,
            current_view,
        )
        report = messages.ReportSettled(gateway.incarnation, version)
        return [effects.Send(gateway.address, report)]

    def _answer_inquiry(
        self, gateway: gateways.Gateway, message: messages.InquireTasks, now_ms: int
    ) -> list[Effect]:
        gateway.last_sequence = max(gateway.last_sequence, message.sequence)
        for task in message.tasks:
            name = (task.submission, task.index)
            if name in self._running or name in self._start_queue:
                continue
            if gateway.results.has_result(task):
                continue
            if gateway.started.may_contain(task):
                lost = messages.TaskResult(*name, "", start=message.sequence)
                gateway.results.add(outbox.build_lost_result(lost))
                continue
            self._refuse(gateway, name, message.sequence, starts.Refusal.NOT_RECEIVED)
        gateway.received_sequence = max(gateway.received_sequence, message.sequence)
        result = self._resend(gateway, now_ms, immediately=True)
        return result or [*self._grants.build_grants([gateway.name])]
