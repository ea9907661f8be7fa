"""Ideal dispatcher: a clairvoyant single queue over all slots, without any overhead."""

import collections
import heapq
from collections.abc import Sequence

import attrs

from benchmarks import firms


@attrs.frozen(slots=True)
class Outage:
    """Period during which some slots start no tasks.

    Attributes:
        slots: Number of these slots.
        from_ms: Start of the period after the start of the workload in ms.
        to_ms: End of the period after the start of the workload in ms.
    """

    slots: int
    from_ms: float
    to_ms: float


@attrs.frozen(slots=True)
class Span:
    """Period during which one task runs in the ideal schedule."""

    number: int
    started_ms: float
    ended_ms: float


@attrs.frozen(slots=True)
class Schedule:
    """Schedule of the ideal queue.

    Attributes:
        responses_ms: Response time of each arrival in ms, by its number.
        spans: Runs of the tasks in the order of their starts.
    """

    responses_ms: dict[int, float]
    spans: list[Span]


def schedule(
    arrivals: Sequence[firms.Arrival], slots: int, outage: Outage | None = None
) -> Schedule:
    """Return the schedule of a queue served in the order of arrival.

    Args:
        arrivals: Arrivals in order of time.
        slots: Number of all slots.
        outage: Period in which some slots start no tasks; running tasks still end.
    """
    pending: collections.deque[tuple[firms.Arrival, float]] = collections.deque(
        (arrival, sleep_ms) for arrival in arrivals for sleep_ms in arrival.sleeps_ms
    )
    # Each entry is the time at which a slot becomes free, and whether the outage
    # concerns it.
    leaving = outage.slots if outage else 0
    free = [(0.0, index < leaving) for index in range(slots)]
    heapq.heapify(free)
    ends: dict[int, float] = {}
    spans: list[Span] = []
    while pending:
        arrival, sleep_ms = pending[0]
        free_ms, leaves = heapq.heappop(free)
        start_ms = max(free_ms, arrival.at_ms)
        if outage and leaves and outage.from_ms <= start_ms < outage.to_ms:
            heapq.heappush(free, (outage.to_ms, leaves))
            continue
        pending.popleft()
        end_ms = start_ms + sleep_ms
        heapq.heappush(free, (end_ms, leaves))
        ends[arrival.number] = max(ends.get(arrival.number, 0.0), end_ms)
        spans.append(Span(arrival.number, start_ms, end_ms))
    by_number = {arrival.number: arrival.at_ms for arrival in arrivals}
    responses = {number: end - by_number[number] for number, end in ends.items()}
    return Schedule(responses, spans)


def measure_work(spans: Sequence[tuple[float, float]], to_ms: float) -> float:
    """Return the work done up to a time, in ms of slot time.

    Args:
        spans: Start and end of each run.
        to_ms: End of the period; runs that go beyond it count in part.
    """
    return sum(
        min(end_ms, to_ms) - start_ms for start_ms, end_ms in spans if start_ms < to_ms
    )


def measure_between(
    spans: Sequence[tuple[float, float]], from_ms: float, to_ms: float
) -> float:
    """Return the work done between two times, in ms of slot time, at least 1.

    Args:
        spans: Start and end of each run.
        from_ms: Start of the period; runs that begin before it count in part.
        to_ms: End of the period; runs that go beyond it count in part.
    """
    return max(measure_work(spans, to_ms) - measure_work(spans, from_ms), 1.0)
