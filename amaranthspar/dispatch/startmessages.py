"""Messages by which a gateway starts tasks at sidecars."""

from amaranthspar import effects
from amaranthspar.dispatch import backlog, demand, routing, submissions, tracking
from amaranthspar.membership import leaseholder
from amaranthspar.schema import messages


class StartMessages:
    """Builds start messages and records what they carry.

    Args:
        holder: Lease of this gateway.
        queue: Backlog of waiting tasks.
        demand_reports: Computes the backlog that each message reports.
        tracker: Records each start message as unconfirmed.
    """

    def __init__(
        self,
        holder: leaseholder.LeaseHolder,
        queue: backlog.Backlog,
        demand_reports: demand.Demand,
        tracker: tracking.TaskTracker,
    ) -> None:
        self._holder = holder
        self._backlog = queue
        self._demand = demand_reports
        self._tracker = tracker

    def build(
        self,
        route: routing.Route,
        batch: list[backlog.QueuedTask],
        sidecars: int,
        now_ms: int,
    ) -> effects.Send:
        """Return the message that starts tasks of one submission at a sidecar.

        Args:
            route: Route to the sidecar.
            batch: Tasks of one submission.
            sidecars: Number of sidecars that the gateway has.
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
            queued=self._demand.count_share(sidecars),
            oldest_wait_ms=self._backlog.measure_oldest_wait(now_ms),
            sent=route.sent - route.unsent,
            acknowledged=route.acknowledged,
            tasks=[_start(route, queued, now_ms) for queued in batch],
        )
        return effects.Send(route.member.address, message)


def _start(
    route: routing.Route, queued: backlog.QueuedTask, now_ms: int
) -> messages.TaskStart:
    task = queued.task
    task.state = submissions.TaskState.SENT
    task.sidecar = route.member.process
    task.sent_ms = now_ms
    task.attempts += 1
    task.sequence = route.sequence
    return messages.TaskStart(
        task.index, task.payload, task.cores, task.memory_mb, task.accelerators
    )
