"""Choice of a more suitable sidecar for retries and for slow services.

A task that failed is sent to another worker, if possible in another failure domain
or rack, and waits for one for a limited time before it may be sent back. A service
that runs slowly on a sidecar is sent there only if no other sidecar has free
capacity.
"""

from collections.abc import Callable, Sequence

from amaranthspar.dispatch import backlog, capacity, routing
from amaranthspar.schema import messages

OTHER_WORKER_WAIT_MS = 1000

Accept = Callable[[routing.Route], bool]


class Steering:
    """Chooses the sidecar for the next task.

    Args:
        index: Index of the sidecars by free capacity.
    """

    def __init__(self, index: capacity.CapacityIndex) -> None:
        self._capacity = index

    def choose(
        self,
        pool: capacity.Pool,
        queued: backlog.QueuedTask,
        first: routing.Route,
        open_routes: Sequence[routing.Route],
        now_ms: int,
    ) -> routing.Route | None:
        """Return the route for a task, None if it should wait for another worker.

        Args:
            pool: Shapes that may take the task.
            queued: Task.
            first: Route that would be used for any other task of the pool.
            open_routes: Routes that may be used for new tasks.
            now_ms: Monotonic time in ms.
        """
        failed_at = queued.task.failed_at
        service = queued.submission.service
        if failed_at is None and not first.is_slow(service):
            return first
        for accept in _list_preferences(failed_at, service):
            if accept(first):
                return first
            other = self._capacity.find(pool, accept)
            if other is not None:
                return other
        if failed_at is None or _is_other_worker(first, failed_at):
            return first
        if now_ms - queued.task.failed_ms >= OTHER_WORKER_WAIT_MS:
            return first
        if any(
            self._capacity.is_usable(pool, route)
            and route.health_limit != 0
            and _is_other_worker(route, failed_at)
            for route in open_routes
        ):
            return None
        return first


def _list_preferences(failed_at: messages.Member | None, service: str) -> list[Accept]:
    """Return conditions on the route, the most preferred first."""
    if failed_at is None:
        return [lambda route: not route.is_slow(service)]
    failed_member = failed_at
    return [
        lambda route: (
            _is_other_domain(route, failed_member) and not route.is_slow(service)
        ),
        lambda route: (
            _is_other_rack(route, failed_member) and not route.is_slow(service)
        ),
        lambda route: _is_other_worker(route, failed_member),
    ]


def _is_other_domain(route: routing.Route, failed_at: messages.Member) -> bool:
    assert failed_at.announcement is not None
    return route.announcement.failure_domain != failed_at.announcement.failure_domain


def _is_other_rack(route: routing.Route, failed_at: messages.Member) -> bool:
    assert failed_at.announcement is not None
    other_rack = route.announcement.rack != failed_at.announcement.rack
    return other_rack or _is_other_domain(route, failed_at)


def _is_other_worker(route: routing.Route, failed_at: messages.Member) -> bool:
    assert failed_at.announcement is not None
    same_worker = route.announcement.worker == failed_at.announcement.worker
    return not same_worker and route.member.process != failed_at.process
