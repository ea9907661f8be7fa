"""Policies that the dispatcher is weighed against, over the same arrivals."""

import collections
import functools
import heapq
import random

import attrs

from benchmarks import arrivals as workloads, virtual


def run_clairvoyant(arrivals: list[workloads.Arrival], slots: int) -> dict[int, float]:
    """Return response times in ms of one FIFO queue over all slots.

    Args:
        arrivals: Arrivals in order of time.
        slots: Slots of all upstreams.
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
class _Host:
    """One upstream with a FIFO queue."""

    slots: int
    running: int = 0
    queue: collections.deque[tuple[int, int, float]] = attrs.field(
        factory=collections.deque
    )


class Blind:
    """Gateways that send each task at once, without credits.

    Args:
        choices: Upstreams compared for each task; 1 for round robin.
        gateways: Number of gateways.
        hosts: Number of upstreams.
        slots: Slots of each.
    """

    def __init__(
        self, choices: int, gateways: int = 2, hosts: int = 9, slots: int = 8
    ) -> None:
        self.responses_ms: dict[int, float] = {}
        self._choices = choices
        self._loop = virtual.Loop()
        self._chance = random.Random(1)
        self._hosts = [_Host(slots) for _ in range(hosts)]
        self._turns = [0] * gateways
        self._loads = [[0] * hosts for _ in range(gateways)]
        self._left: dict[int, int] = {}
        self._arrivals: list[workloads.Arrival] = []

    def run(self, arrivals: list[workloads.Arrival]) -> dict[int, float]:
        """Return response times in ms by position."""
        self._arrivals = arrivals
        for position, arrival in enumerate(arrivals):
            self._loop.call_at(arrival.at_ms, functools.partial(self._arrive, position))
        self._loop.run(arrivals[-1].at_ms + 600_000)
        return self.responses_ms

    def _arrive(self, position: int) -> None:
        arrival = self._arrivals[position]
        self._left[position] = len(arrival.runs_ms)
        for run_ms in arrival.runs_ms:
            host = self._choose(arrival.gateway)
            self._loads[arrival.gateway][host] += 1
            at_ms = self._loop.now_ms + self._chance.uniform(*virtual.DELAY_MS)
            task = (position, host, run_ms)
            self._loop.call_at(at_ms, functools.partial(self._offer, task))

    def _choose(self, gateway: int) -> int:
        if self._choices == 1:
            self._turns[gateway] += 1
            return self._turns[gateway] % len(self._hosts)
        drawn = self._chance.sample(range(len(self._hosts)), self._choices)
        return min(drawn, key=lambda host: self._loads[gateway][host])

    def _offer(self, task: tuple[int, int, float]) -> None:
        host = self._hosts[task[1]]
        host.queue.append(task)
        self._start(host)

    def _start(self, host: _Host) -> None:
        while host.queue and host.running < host.slots:
            task = host.queue.popleft()
            host.running += 1
            at_ms = self._loop.now_ms + task[2]
            self._loop.call_at(at_ms, functools.partial(self._end, task))

    def _end(self, task: tuple[int, int, float]) -> None:
        position, number, _ = task
        host = self._hosts[number]
        host.running -= 1
        self._start(host)
        load = host.running + len(host.queue)
        at_ms = self._loop.now_ms + self._chance.uniform(*virtual.DELAY_MS)
        self._loop.call_at(at_ms, lambda: self._answer(position, number, load))

    def _answer(self, position: int, number: int, load: int) -> None:
        arrival = self._arrivals[position]
        self._loads[arrival.gateway][number] = load
        self._left[position] -= 1
        if not self._left[position]:
            self.responses_ms[position] = self._loop.now_ms - arrival.at_ms
