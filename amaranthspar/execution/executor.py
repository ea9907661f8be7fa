"""State machine of a sidecar: starts, results, credits and drain."""

import collections

import attrs

from amaranthspar import effects
from amaranthspar.execution import deliveries, grants, holding, peers, slots, starts
from amaranthspar.membership import desks, leaseholder
from amaranthspar.schema import messages

RETAIN_MS = 30000


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
    """Asks the upstream to stop a started task."""

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
    """A started task has ended.

    Attributes:
        result: How it ended; ``not-run`` only if nothing was sent upstream.
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
class _Running:
    """A started task and the start message that carried it."""

    gateway: peers.Peer
    sequence: int
    task: desks.RunningTask


class Executor:
    """Decides what starts on one upstream and reports how it ended.

    Args:
        holder: Lease of this sidecar; its member carries the announcement.
    """

    def __init__(self, holder: leaseholder.LeaseHolder) -> None:
        if holder.member.announcement is None:
            raise ValueError("a sidecar's member needs an announcement")
        self.leaving = False
        self.counts: collections.Counter[str] = collections.Counter()
        self._holder = holder
        self._announcement = holder.member.announcement
        self.slots = slots.Slots(self._announcement.slots)
        self._peers = peers.Peers(self.slots, self.counts)
        self._grants = grants.Grants(self.slots, self._peers)
        self._running: dict[tuple[str, int], _Running] = {}
        self._held = holding.Holding()

    @property
    def is_idle(self) -> bool:
        """Whether no task runs and every gateway that is heard has its results."""
        waiting = any(
            item.parted is None and not item.results.is_empty for item in self._peers
        )
        return not self._running and not len(self._held) and not waiting

    @property
    def is_drained(self) -> bool:
        """Whether it is idle and no gateway that is heard may still send a start."""
        shares = self.slots.shares.values()
        return self.is_idle and not any(share.unused > 0 for share in shares)

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
        """Resend results, part with silent gateways and follow the lease.

        Args:
            now_ms: Monotonic time in ms.
        """
        result: list[Effect] = []
        for gateway in self._peers:
            silent_ms = now_ms - gateway.heard_ms
            if silent_ms > RETAIN_MS and not gateway.results.is_empty:
                self.counts["results.dropped"] += gateway.results.drop()
                gateway.received = 0
            if self._peers.is_silent(gateway, now_ms):
                self._peers.part(gateway)
                continue
            result += self._resend(gateway, now_ms)
        was_open = self._grants.is_open
        self._grants.is_open = self._may_start(now_ms)
        result += self._advance_held(now_ms)
        if was_open and not self._grants.is_open:
            return result + self._grants.take_back()
        return result + self._grants.state_changes()

    def drain(self, now_ms: int) -> list[Effect]:
        """Refuse new work from now on.

        Args:
            now_ms: Monotonic time in ms.
        """
        self.leaving = True
        self._grants.is_open = False
        return self._advance_held(now_ms) + self._grants.take_back()

    def _may_start(self, now_ms: int) -> bool:
        domain = self._announcement.failure_domain
        return (
            not self.leaving
            and self._holder.is_valid(now_ms)
            and self._holder.view.is_domain_in(domain)
        )

    def _receive(self, event: Received, now_ms: int) -> list[Effect]:
        if not isinstance(event.message, _GATEWAY_MESSAGES):
            self.counts["messages.unexpected"] += 1
            return []
        gateway = self._peers.hear(
            event.gateway, event.incarnation, event.address, now_ms
        )
        if gateway is None:
            return []
        if isinstance(event.message, messages.CancelTasks):
            return self._cancel(gateway, event.message, now_ms)
        if event.message.target != self._holder.member.incarnation:
            self.counts["messages.stale"] += 1
            return []
        self._grants.is_open = self._may_start(now_ms)
        match event.message:
            case messages.StartTasks():
                return self._start(gateway, event.message, now_ms)
            case messages.ReportDemand():
                return self._note_demand(gateway, event.message)
            case messages.InquireSettled():
                return self._report_settled(gateway)
            case messages.InquireTasks():
                return self._answer_inquiry(gateway, event.message, now_ms)
        return []

    def _start(
        self, gateway: peers.Peer, message: messages.StartTasks, now_ms: int
    ) -> list[Effect]:
        situation = self._describe(gateway.last_sequence, now_ms)
        refusal = starts.judge_message(message, situation)
        if refusal is starts.Refusal.STALE_MESSAGE:
            self.counts["starts.stale"] += 1
            return []
        if gateway.received == message.sequence - 1:
            gateway.received = message.sequence
        gateway.last_sequence = message.sequence
        gateway.results.acknowledge(message.acknowledged)
        self._grants.note_share(gateway, message)
        result: list[Effect] = []
        for task in message.tasks:
            name = (message.submission, task.index)
            reason = refusal or self._judge_task(gateway, name)
            if reason is starts.Refusal.NO_SLOT and self._held.has_room:
                self._hold(gateway, message, task, now_ms)
            elif reason is not None:
                self._refuse(gateway, name, message.sequence, reason)
            else:
                self.slots.start(gateway.name)
                left_ms = message.deadline_ms
                result.append(self._run(gateway, message, task, left_ms))
        if gateway.results.is_ready:
            told = self._grants.redistribute(gateway.name)
            return result + self._report(gateway, now_ms) + self._grants.state(told)
        return result + self._grants.state(self._grants.redistribute())

    def _judge_task(
        self, gateway: peers.Peer, name: tuple[str, int]
    ) -> starts.Refusal | None:
        if name in gateway.started or name in self._held:
            return starts.Refusal.DUPLICATE
        if len(self._running) >= self.slots.count:
            return starts.Refusal.NO_SLOT
        return None

    def _run(
        self,
        gateway: peers.Peer,
        message: messages.StartTasks,
        task: messages.TaskStart,
        left_ms: int,
    ) -> RunTask:
        name = (message.submission, task.index)
        gateway.started.note(name, message.sequence)
        version = self._holder.view.configuration_version
        running = desks.RunningTask(gateway.name, message.desk, version)
        self._running[name] = _Running(gateway, message.sequence, running)
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

    def _hold(
        self,
        gateway: peers.Peer,
        message: messages.StartTasks,
        task: messages.TaskStart,
        now_ms: int,
    ) -> None:
        self.counts["tasks.held"] += 1
        self.slots.start(gateway.name)
        sender = (gateway.name, gateway.incarnation)
        self._held.add(holding.Held(*sender, message, task, now_ms))

    def _advance_held(self, now_ms: int) -> list[Effect]:
        """Start what waits here for a slot, or refuse what may no longer start."""
        result: list[Effect] = []
        while len(self._held) and self._has_slot_or_closes():
            held = self._held.take_first()
            gateway = self._peers[held.gateway]
            if gateway.incarnation != held.incarnation:
                self.slots.end("")
                continue
            message = held.update_message(now_ms)
            refusal = starts.judge_message(message, self._describe(0, now_ms))
            if refusal is None:
                left_ms = message.deadline_ms
                result.append(self._run(gateway, message, held.task, left_ms))
                continue
            self.slots.end(gateway.name)
            name = (message.submission, held.task.index)
            self._refuse(gateway, name, message.sequence, refusal)
            if gateway.parted is None:
                result += self._report(gateway, now_ms)
        return result

    def _has_slot_or_closes(self) -> bool:
        return len(self._running) < self.slots.count or not self._grants.is_open

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
        self,
        gateway: peers.Peer,
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

    def _end(self, ended: messages.TaskResult, now_ms: int) -> list[Effect]:
        name = (ended.submission, ended.index)
        running = self._running.pop(name, None)
        if running is None:
            return []
        gateway = running.gateway
        if ended.outcome == "not-run":
            gateway.started.remove(name)
        current = self._peers[gateway.name] is gateway
        self.slots.end(gateway.name if current else "")
        result = self._advance_held(now_ms)
        result += self._grants.state(self._grants.redistribute(gateway.name))
        if not current:
            self.counts["results.undeliverable"] += 1
            return result
        gateway.results.add(attrs.evolve(ended, start=running.sequence))
        if gateway.parted is not None:
            return result
        self._limit_results(gateway)
        return self._report(gateway, now_ms) + result

    def _limit_results(self, gateway: peers.Peer) -> None:
        if gateway.results.retained_bytes > deliveries.RETAINED_BYTES:
            self.counts["results.dropped"] += gateway.results.drop_bodies()

    def _report(self, gateway: peers.Peer, now_ms: int) -> list[Effect]:
        limit = self.slots.state_limit(gateway.name)
        spare = 0 if self.leaving else self.slots.count_spare(gateway.name)
        reports = gateway.results.report(limit, gateway.received, now_ms, spare)
        return [effects.Send(gateway.address, item) for item in reports]

    def _resend(
        self, gateway: peers.Peer, now_ms: int, at_once: bool = False
    ) -> list[Effect]:
        result: list[Effect] = []
        if at_once or gateway.results.is_overdue(now_ms):
            limit = self.slots.state_limit(gateway.name)
            for report in gateway.results.resend(limit, gateway.received, now_ms):
                self.counts["results.resent"] += len(report.results)
                result.append(effects.Send(gateway.address, report))
        if gateway.results.is_ready:
            result += self._report(gateway, now_ms)
        return result

    def _note_demand(
        self, gateway: peers.Peer, message: messages.ReportDemand
    ) -> list[Effect]:
        gateway.results.acknowledge(message.acknowledged)
        return [*self._grants.answer_demand(gateway, message)]

    def _cancel(
        self, gateway: peers.Peer, message: messages.CancelTasks, now_ms: int
    ) -> list[Effect]:
        result: list[Effect] = []
        for index in message.indexes:
            name = (message.submission, index)
            if name in self._running:
                result.append(StopTask(*name))
                continue
            held = self._held.take(name)
            if held is not None:
                self.slots.end(gateway.name)
                sequence = held.message.sequence
                self._refuse(gateway, name, sequence, starts.Refusal.CANCELLED)
        if gateway.results.is_ready:
            result += self._report(gateway, now_ms)
        return result

    def _report_settled(self, gateway: peers.Peer) -> list[Effect]:
        known = self._holder.view
        version = desks.find_settled_version(
            known.configuration_version,
            (item.task for item in self._running.values()),
            self._announcement.group,
            known,
        )
        report = messages.ReportSettled(gateway.incarnation, version)
        return [effects.Send(gateway.address, report)]

    def _answer_inquiry(
        self, gateway: peers.Peer, message: messages.InquireTasks, now_ms: int
    ) -> list[Effect]:
        gateway.last_sequence = max(gateway.last_sequence, message.sequence)
        for task in message.tasks:
            name = (task.submission, task.index)
            if name in self._running or name in self._held:
                continue
            if gateway.results.holds(task):
                continue
            if gateway.started.may_hold(task):
                lost = messages.TaskResult(*name, "", start=message.sequence)
                gateway.results.add(deliveries.lose_result(lost))
                continue
            self._refuse(gateway, name, message.sequence, starts.Refusal.NOT_RECEIVED)
        gateway.received = max(gateway.received, message.sequence)
        result = self._resend(gateway, now_ms, at_once=True)
        return result or [*self._grants.state([gateway.name])]
