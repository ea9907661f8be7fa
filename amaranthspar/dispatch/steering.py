"""Choice of another sidecar than the first for tasks that some would serve badly.

A task that failed goes to another worker, if possible in another failure domain or
rack, and waits a while for one rather than going back. A service that
runs slowly on a sidecar is sent there only if no other one has room.
"""

from collections.abc import Callable, Sequence

from amaranthspar.dispatch import backlog, capacity, routing
from amaranthspar.schema import messages

OTHER_WORKER_WAIT_MS = 1000

Accept = Callable[[routing.Route], bool]


class Steering:
    """Finds the sidecar for a task once it is known which task comes next.

    Args:
        index: Sidecars by the room that they have.
    """

    def __init__(self, index: capacity.CapacityIndex) -> None:
        self._capacity = index

    def choose(
        self,
        pool: capacity.Pool,
        waiting: backlog.Waiting,
        first: routing.Route,
        usable: Sequence[routing.Route],
        now_ms: int,
    ) -> routing.Route | None:
        """Return the sidecar for a task, none if it should wait for another.

        Args:
            pool: Shapes that may take the task.
            waiting: Task.
            first: Sidecar that would be chosen for any task.
            usable: Sidecars that may be sent new work.
            now_ms: Monotonic time in ms.
        """
        failed = waiting.task.failed_at
        service = waiting.submission.service
        if failed is None and not first.is_slow(service):
            return first
        for accept in _list_preferences(failed, service):
            if accept(first):
                return first
            other = self._capacity.find(pool, accept)
            if other is not None:
                return other
        if failed is None or _differs(first, failed):
            return first
        if now_ms - waiting.task.failed_ms >= OTHER_WORKER_WAIT_MS:
            return first
        if any(
            self._capacity.is_usable(pool, route)
            and route.health_limit != 0
            and _differs(route, failed)
            for route in usable
        ):
            return None
        return first


def _list_preferences(failed: messages.Member | None, service: str) -> list[Accept]:
    """Return what is asked of a sidecar, the most wanted first."""
    if failed is None:
        return [lambda route: not route.is_slow(service)]
    place = failed
    return [
        lambda route: _leaves_domain(route, place) and not route.is_slow(service),
        lambda route: _leaves_rack(route, place) and not route.is_slow(service),
        lambda route: _differs(route, place),
    ]


def _leaves_domain(route: routing.Route, failed: messages.Member) -> bool:
    assert failed.announcement is not None
    return route.announcement.failure_domain != failed.announcement.failure_domain


def _leaves_rack(route: routing.Route, failed: messages.Member) -> bool:
    assert failed.announcement is not None
    other_rack = route.announcement.rack != failed.announcement.rack
    return other_rack or _leaves_domain(route, failed)


def _differs(route: routing.Route, failed: messages.Member) -> bool:
    assert failed.announcement is not None
    same_worker = route.announcement.worker == failed.announcement.worker
    return not same_worker and route.member.process != failed.process
