"""Alternative policies, with which the dispatcher is compared on the same arrivals."""

import collections
import functools
import heapq
import random

import attrs

from benchmarks import arrivals as workloads, virtual


def run_clairvoyant(arrivals: list[workloads.Arrival], slots: int) -> dict[int, float]:
    """Return the response times in ms of a single FIFO queue over all slots.

    Args:
        arrivals: Arrivals in order of time.
        slots: Number of slots of all upstreams.
    """
    free = [0.0] * slots
    result: dict[int, float] = {}
    for position, arrival in enumerate(arrivals):
        end_ms = arrival.at_ms
        for run_ms in arrival.runs_ms:
            start_ms = max(arrival.at_ms, heapq.heappop(free))
            heapq.heappush(free, start_ms + run_ms)
            end_ms = max(end_ms, start_ms + run_ms)
        result[position] = end_ms - arrival.at_ms
    return result


@attrs.define(slots=True)
class _Upstream:
    """An upstream with a FIFO queue of its own."""

    slots: int
    running: int = 0
    queue: collections.deque[tuple[int, int, float]] = attrs.field(
        factory=collections.deque
    )


class CreditlessGateways:
    """Gateways that send each task at once, without credits of the sidecars.

    Args:
        choices: Number of random upstreams compared for each task; 1 for round robin.
        gateways: Number of gateways.
        upstreams: Number of upstreams.
        slots: Number of slots of each upstream.
    """

    def __init__(
        self, choices: int, gateways: int = 2, upstreams: int = 9, slots: int = 8
    ) -> None:
        self.responses_ms: dict[int, float] = {}
        self._choices = choices
        self._loop = virtual.Loop()
        self._rng = random.Random(1)
        self._upstreams = [_Upstream(slots) for _ in range(upstreams)]
        self._turns = [0] * gateways
        self._loads = [[0] * upstreams for _ in range(gateways)]
        self._unfinished: dict[int, int] = {}
        self._arrivals: list[workloads.Arrival] = []

    def run(self, arrivals: list[workloads.Arrival]) -> dict[int, float]:
        """Run the simulation and return the response times in ms by position."""
        self._arrivals = arrivals
        for position, arrival in enumerate(arrivals):
            self._loop.call_at(arrival.at_ms, functools.partial(self._submit, position))
        self._loop.run(arrivals[-1].at_ms + 600_000)
        return self.responses_ms

    def _submit(self, position: int) -> None:
        arrival = self._arrivals[position]
        self._unfinished[position] = len(arrival.runs_ms)
        for run_ms in arrival.runs_ms:
            upstream = self._choose(arrival.gateway)
            self._loads[arrival.gateway][upstream] += 1
            at_ms = self._loop.now_ms + self._rng.uniform(*virtual.DELAY_MS)
            task = (position, upstream, run_ms)
            self._loop.call_at(at_ms, functools.partial(self._enqueue, task))

    def _choose(self, gateway: int) -> int:
        if self._choices == 1:
            self._turns[gateway] += 1
            return self._turns[gateway] % len(self._upstreams)
        drawn = self._rng.sample(range(len(self._upstreams)), self._choices)
        return min(drawn, key=lambda upstream: self._loads[gateway][upstream])

    def _enqueue(self, task: tuple[int, int, float]) -> None:
        upstream = self._upstreams[task[1]]
        upstream.queue.append(task)
        self._start(upstream)

    def _start(self, upstream: _Upstream) -> None:
        while upstream.queue and upstream.running < upstream.slots:
            task = upstream.queue.popleft()
            upstream.running += 1
            at_ms = self._loop.now_ms + task[2]
            self._loop.call_at(at_ms, functools.partial(self._finish, task))

    def _finish(self, task: tuple[int, int, float]) -> None:
        position, number, _ = task
        upstream = self._upstreams[number]
        upstream.running -= 1
        self._start(upstream)
        load = upstream.running + len(upstream.queue)
        at_ms = self._loop.now_ms + self._rng.uniform(*virtual.DELAY_MS)
        self._loop.call_at(at_ms, lambda: self._record_result(position, number, load))

    def _record_result(self, position: int, number: int, load: int) -> None:
        arrival = self._arrivals[position]
        self._loads[arrival.gateway][number] = load
        self._unfinished[position] -= 1
        if not self._unfinished[position]:
            self.responses_ms[position] = self._loop.now_ms - arrival.at_ms
