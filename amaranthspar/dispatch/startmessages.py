"""Start messages that a gateway sends to sidecars."""

from amaranthspar import effects
from amaranthspar.dispatch import backlog, demand, routing, submissions, tracking
from amaranthspar.membership import leaseholder
from amaranthspar.schema import messages


class StartMessages:
    """Builds start messages and notes what they carry.

    Args:
        holder: Lease of this gateway.
        waiting: Tasks that still wait.
        demands: What is stated of them.
        tracker: Told of each message.
    """

    def __init__(
        self,
        holder: leaseholder.LeaseHolder,
        waiting: backlog.Backlog,
        demands: demand.Demand,
        tracker: tracking.TaskTracker,
    ) -> None:
        self._holder = holder
        self._backlog = waiting
        self._demand = demands
        self._tracker = tracker

    def build(
        self,
        route: routing.Route,
        batch: list[backlog.Waiting],
        sidecars: int,
        now_ms: int,
    ) -> effects.Send:
        """Return the message that offers tasks of one submission to a sidecar.

        Args:
            route: Sidecar.
            batch: Tasks of one submission.
            sidecars: Sidecars of the gateway.
            now_ms: Monotonic time in ms.
        """
        submission = batch[0].submission
        route.sequence += 1
        route.unsent -= len(batch)
        self._tracker.note_start(route, now_ms)
        route.last_demand_ms = now_ms
        route.acknowledged_sent = route.acknowledged
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
            queued=self._demand.divide(sidecars),
            oldest_wait_ms=self._backlog.measure_oldest_wait(now_ms),
            sent=route.sent - route.unsent,
            acknowledged=route.acknowledged,
            tasks=[_start(route, waiting, now_ms) for waiting in batch],
        )
        return effects.Send(route.member.address, message)


def _start(
    route: routing.Route, waiting: backlog.Waiting, now_ms: int
) -> messages.TaskStart:
    task = waiting.task
    task.state = submissions.TaskState.SENT
    task.sidecar = route.member.process
    task.sent_ms = now_ms
    task.attempts += 1
    task.sequence = route.sequence
    return messages.TaskStart(
        task.index, task.payload, task.cores, task.memory_mb, task.accelerators
    )
