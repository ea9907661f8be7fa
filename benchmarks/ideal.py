"""Clairvoyant single queue over all slots, without any overhead."""

import collections
import heapq
from collections.abc import Sequence

import attrs

from benchmarks import firms


@attrs.frozen(slots=True)
class Outage:
    """Time in which some slots start nothing.

    Attributes:
        slots: Number of slots.
        from_ms: Start after the start of the workload.
        to_ms: End.
    """

    slots: int
    from_ms: float
    to_ms: float


@attrs.frozen(slots=True)
class Span:
    """One run in the ideal schedule."""

    number: int
    started_ms: float
    ended_ms: float


@attrs.frozen(slots=True)
class Schedule:
    """What the ideal queue did.

    Attributes:
        responses_ms: Response time of each arrival by its number.
        spans: Runs in the order of their starts.
    """

    responses_ms: dict[int, float]
    spans: list[Span]


def schedule(
    arrivals: Sequence[firms.Arrival], slots: int, outage: Outage | None = None
) -> Schedule:
    """Return the schedule of a queue served in the order of arrival.

    Args:
        arrivals: Arrivals in order.
        slots: All slots.
        outage: Slots that start nothing for a while; their running tasks end.

    Returns:
        Response times and runs.
    """
    pending: collections.deque[tuple[firms.Arrival, float]] = collections.deque(
        (arrival, sleep_ms) for arrival in arrivals for sleep_ms in arrival.sleeps_ms
    )
    # Each entry is the time at which a slot is free and whether it can go out.
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
    """Return the work done up to a time in slot ms.

    Args:
        spans: Start and end of each run.
        to_ms: Time up to which runs are counted, also in part.
    """
    return sum(
        min(end_ms, to_ms) - start_ms for start_ms, end_ms in spans if start_ms < to_ms
    )


def measure_between(
    spans: Sequence[tuple[float, float]], from_ms: float, to_ms: float
) -> float:
    """Return the work done between two times in slot ms, at least 1.

    Args:
        spans: Start and end of each run.
        from_ms: Time from which runs are counted, also in part.
        to_ms: Time up to which runs are counted, also in part.
    """
    return max(measure_work(spans, to_ms) - measure_work(spans, from_ms), 1.0)
