"""State machine of a sidecar: starts, results, credits and drain."""

import attrs

from amaranthspar import effects, holding, leaseholder, messages, slots, starts

RESEND_RESULTS_MS = 1500
GATEWAY_SILENT_MS = 5000


@attrs.frozen(slots=True)
class RunTask:
    """Starts a task on the upstream.

    Attributes:
        submission: Submission id.
        index: Position in the submission.
        service: Service name.
        content_type: Content type of the payload.
        payload: Body for the upstream.
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
    """Stops a started task."""

    submission: str
    index: int


@attrs.frozen(slots=True)
class Received:
    """A message from a gateway has arrived."""

    gateway: str
    incarnation: int
    address: str
    message: object


@attrs.frozen(slots=True)
class TaskEnded:
    """A started task has ended."""

    result: messages.TaskResult


Effect = effects.Send | RunTask | StopTask


@attrs.define(slots=True)
class _Gateway:
    """What the sidecar knows of one gateway incarnation."""

    name: str
    incarnation: int
    address: str
    heard_ms: int
    last_sequence: int = 0
    result_sequence: int = 0
    unacknowledged: dict[int, messages.TaskResult] = attrs.field(factory=dict)
    ready: list[messages.TaskResult] = attrs.field(factory=list)
    reported_ms: int = 0


class Executor:
    """Decides what starts on one upstream and reports how it ended.

    Args:
        holder: Lease of this sidecar; its member carries the announcement.
    """

    def __init__(self, holder: leaseholder.LeaseHolder) -> None:
        if holder.member.announcement is None:
            raise ValueError("a sidecar's member needs an announcement")
        self.leaving = False
        self.counts: dict[str, int] = {}
        self._holder = holder
        self._announcement = holder.member.announcement
        self.slots = slots.Slots(self._announcement.slots)
        self._gateways: dict[str, _Gateway] = {}
        self._running: dict[tuple[str, int], str] = {}
        self._started = starts.TaskMemory()
        self._held = holding.Holding()

    @property
    def is_idle(self) -> bool:
        """Whether no task runs and every result was acknowledged."""
        waiting = any(item.unacknowledged for item in self._gateways.values())
        return not self._running and not len(self._held) and not waiting

    def handle(self, event: Received | TaskEnded, now_ms: int) -> list[Effect]:
        """Take one event.

        Args:
            event: What has happened.
            now_ms: Monotonic time in ms.
        """
        match event:
            case Received():
                return self._receive(event, now_ms)
            case TaskEnded():
                return self._end(event.result, now_ms)

    def tick(self, now_ms: int) -> list[Effect]:
        """Resend unacknowledged results and drop gateways that are gone.

        Args:
            now_ms: Monotonic time in ms.
        """
        result: list[Effect] = []
        for gateway in list(self._gateways.values()):
            if now_ms - gateway.heard_ms > GATEWAY_SILENT_MS:
                self._drop_gateway(gateway)
                continue
            overdue = now_ms - gateway.reported_ms > RESEND_RESULTS_MS
            if gateway.unacknowledged and overdue:
                result.append(self._report(gateway, now_ms, resend=True))
        told = dict.fromkeys(self._redistribute())
        told.update(dict.fromkeys(self.slots.list_untold()))
        return result + self._grant(list(told))

    def drain(self, now_ms: int) -> list[Effect]:
        """Refuse new work from now on.

        Args:
            now_ms: Monotonic time in ms.
        """
        self.leaving = True
        return self._take_credits_back()

    def _receive(self, event: Received, now_ms: int) -> list[Effect]:
        gateway = self._find_gateway(event, now_ms)
        if gateway is None:
            return []
        match event.message:
            case messages.StartTasks():
                return self._start(gateway, event.message, now_ms)
            case messages.ReportDemand():
                return self._note_demand(gateway, event.message)
            case messages.CancelTasks():
                return self._cancel(gateway, event.message, now_ms)
            case messages.InquireTasks():
                return self._answer_inquiry(gateway, event.message, now_ms)
            case _:
                self._count("messages.unexpected")
                return []

    def _find_gateway(self, event: Received, now_ms: int) -> _Gateway | None:
        gateway = self._gateways.get(event.gateway)
        if gateway is not None and event.incarnation < gateway.incarnation:
            self._count("messages.stale")
            return None
        if gateway is None or event.incarnation > gateway.incarnation:
            gateway = _Gateway(event.gateway, event.incarnation, event.address, now_ms)
            self._gateways[event.gateway] = gateway
            self.slots.add_gateway(event.gateway)
        gateway.heard_ms = now_ms
        gateway.address = event.address
        return gateway

    def _start(
        self, gateway: _Gateway, message: messages.StartTasks, now_ms: int
    ) -> list[Effect]:
        situation = self._describe(gateway.last_sequence, now_ms)
        refusal = starts.judge_message(message, situation)
        if refusal is starts.Refusal.STALE_MESSAGE:
            self._count("starts.stale")
            return []
        if refusal is not starts.Refusal.WRONG_INCARNATION:
            gateway.last_sequence = message.sequence
            self._acknowledge(gateway, message.acknowledged)
            self.slots.note_demand(
                gateway.name, message.sent, message.queued, message.oldest_wait_ms
            )
        result: list[Effect] = []
        for task in message.tasks:
            reason = refusal or self._judge_task(message.submission, task)
            if reason is starts.Refusal.NO_SLOT and self._held.has_room:
                self._hold(gateway, message, task, now_ms)
            elif reason is not None:
                self._refuse(gateway, message.submission, task.index, reason)
            else:
                self.slots.start(gateway.name)
                timeout_ms = message.deadline_ms
                result.append(self._run(gateway, message, task, timeout_ms))
        if gateway.ready:
            grown = self._redistribute(gateway.name)
            result.append(self._report(gateway, now_ms))
            return result + self._grant(grown)
        return result + self._grant(self._redistribute())

    def _judge_task(
        self, submission: str, task: messages.TaskStart
    ) -> starts.Refusal | None:
        name = (submission, task.index)
        if name in self._started or name in self._held:
            return starts.Refusal.DUPLICATE
        if len(self._running) >= self.slots.count:
            return starts.Refusal.NO_SLOT
        return None

    def _run(
        self,
        gateway: _Gateway,
        message: messages.StartTasks,
        task: messages.TaskStart,
        timeout_ms: int,
    ) -> RunTask:
        self._started.note(message.submission, task.index)
        self._running[message.submission, task.index] = gateway.name
        self._count("tasks.started")
        return RunTask(
            message.submission,
            task.index,
            message.service,
            message.content_type,
            task.payload,
            timeout_ms,
            message.traceparent,
        )

    def _hold(
        self,
        gateway: _Gateway,
        message: messages.StartTasks,
        task: messages.TaskStart,
        now_ms: int,
    ) -> None:
        self._count("tasks.held")
        self.slots.start(gateway.name)
        sender = (gateway.name, gateway.incarnation)
        self._held.add(holding.Held(*sender, message, task, now_ms))

    def _advance_held(self, now_ms: int) -> list[Effect]:
        """Start what waits here for a slot, or refuse what may no longer start."""
        result: list[Effect] = []
        while len(self._held) and len(self._running) < self.slots.count:
            held = self._held.take_first()
            gateway = self._gateways.get(held.gateway)
            if gateway is None or gateway.incarnation != held.incarnation:
                self.slots.end("")
                continue
            message = held.update_message(now_ms)
            refusal = starts.judge_message(message, self._describe(0, now_ms))
            if refusal is None:
                left_ms = message.deadline_ms
                result.append(self._run(gateway, message, held.task, left_ms))
                continue
            self.slots.end(gateway.name)
            self._refuse(gateway, message.submission, held.task.index, refusal)
            result.append(self._report(gateway, now_ms))
        return result

    def _describe(self, last_sequence: int, now_ms: int) -> starts.Situation:
        return starts.Situation(
            self._holder.is_valid(now_ms),
            self.leaving,
            self._holder.member.incarnation,
            last_sequence,
            self._announcement,
            self._holder.view,
        )

    def _refuse(
        self, gateway: _Gateway, submission: str, index: int, reason: starts.Refusal
    ) -> None:
        if reason is starts.Refusal.DUPLICATE:
            self._count("starts.duplicate")
            return
        self._count("tasks.refused")
        refused = messages.TaskResult(submission, index, "not-run", reason.value)
        gateway.ready.append(refused)

    def _end(self, ended: messages.TaskResult, now_ms: int) -> list[Effect]:
        name = self._running.pop((ended.submission, ended.index), None)
        if name is None:
            return []
        self.slots.end(name)
        gateway = self._gateways.get(name)
        result = self._advance_held(now_ms)
        result += self._grant(self._redistribute(name))
        if gateway is None:
            self._count("results.undeliverable")
            return result
        gateway.ready.append(ended)
        return [self._report(gateway, now_ms), *result]

    def _report(
        self, gateway: _Gateway, now_ms: int, resend: bool = False
    ) -> effects.Send:
        if resend:
            first = min(gateway.unacknowledged)
            results = list(gateway.unacknowledged.values())
            self._count("results.resent", len(results))
        else:
            first = gateway.result_sequence + 1
            results = gateway.ready
            gateway.ready = []
            for item in results:
                gateway.result_sequence += 1
                gateway.unacknowledged[gateway.result_sequence] = item
        gateway.reported_ms = now_ms
        limit = self.slots.state_limit(gateway.name)
        spare = self.slots.count_spare(gateway.name)
        report = messages.ReportResults(
            gateway.incarnation, first, results, limit, spare
        )
        return effects.Send(gateway.address, report)

    def _acknowledge(self, gateway: _Gateway, sequence: int) -> None:
        while gateway.unacknowledged:
            first = next(iter(gateway.unacknowledged))
            if first > sequence:
                return
            del gateway.unacknowledged[first]

    def _note_demand(
        self, gateway: _Gateway, message: messages.ReportDemand
    ) -> list[Effect]:
        if message.target != self._holder.member.incarnation:
            return []
        self._acknowledge(gateway, message.acknowledged)
        self.slots.note_demand(
            gateway.name, message.sent, message.queued, message.oldest_wait_ms
        )
        told = dict.fromkeys(self._redistribute())
        share = self.slots.shares[gateway.name]
        if 0 <= message.limit < share.limit or not share.stated:
            told[gateway.name] = None
        return self._grant(list(told))

    def _redistribute(self, freed_for: str = "") -> list[str]:
        if self.leaving:
            return []
        return self.slots.distribute(freed_for)

    def _grant(self, names: list[str]) -> list[Effect]:
        result: list[Effect] = []
        for name in names:
            gateway = self._gateways[name]
            share = self.slots.shares[name]
            grant = messages.GrantCredits(
                self.slots.state_limit(name),
                gateway.incarnation,
                share.recalled,
                self.slots.count,
            )
            result.append(effects.Send(gateway.address, grant))
        return result

    def _take_credits_back(self) -> list[Effect]:
        for share in self.slots.shares.values():
            share.recalled = share.unused
        return self._grant(list(self.slots.shares))

    def _cancel(
        self, gateway: _Gateway, message: messages.CancelTasks, now_ms: int
    ) -> list[Effect]:
        result: list[Effect] = []
        for index in message.indexes:
            name = (message.submission, index)
            if name in self._running:
                result.append(StopTask(*name))
            elif self._held.take(name) is not None:
                self.slots.end(gateway.name)
                self._refuse(gateway, *name, starts.Refusal.CANCELLED)
        if gateway.ready:
            result.append(self._report(gateway, now_ms))
        return result

    def _answer_inquiry(
        self, gateway: _Gateway, message: messages.InquireTasks, now_ms: int
    ) -> list[Effect]:
        if message.target != self._holder.member.incarnation:
            return []
        gateway.last_sequence = max(gateway.last_sequence, message.sequence)
        held = {
            (item.submission, item.index) for item in gateway.unacknowledged.values()
        }
        for task in message.tasks:
            name = (task.submission, task.index)
            if name in self._running or name in self._held or name in held:
                continue
            if name in self._started:
                lost = messages.TaskResult(*name, "unknown", "result no longer held")
                gateway.ready.append(lost)
                continue
            self._refuse(gateway, *name, starts.Refusal.STALE_MESSAGE)
        result: list[Effect] = []
        if gateway.unacknowledged:
            result.append(self._report(gateway, now_ms, resend=True))
        if gateway.ready:
            result.append(self._report(gateway, now_ms))
        return result

    def _drop_gateway(self, gateway: _Gateway) -> None:
        self._count("gateways.dropped")
        del self._gateways[gateway.name]
        self.slots.remove_gateway(gateway.name)

    def _count(self, name: str, amount: int = 1) -> None:
        self.counts[name] = self.counts.get(name, 0) + amount
