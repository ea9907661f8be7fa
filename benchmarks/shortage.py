"""Simulation of a temporary shortage of capacity, in virtual time.

The load is the first one of docs/hard-load.md at a smaller scale: three queues of
different priority, bursts of large and of small jobs, and meanwhile a quarter of the
sidecars cut off, some upstreams that fail all that they start and some that carry out
starts late.
"""

from __future__ import annotations

import collections
import functools
import random
import sys
from collections.abc import Callable

import attrs

from amaranthspar.scheduling import jobevents, jobs, runevents
from amaranthspar.schema import runmessages
from benchmarks import crowd

TARGET_MS = 60
STRETCH = 1.6
MAX_ATTEMPTS = 4
SPEEDS = (1.0, 1.3)
LATE_START_MS = 250
FAILURE_MS = 20
SECOND_MS = 1_000
CUT_MS = (500, 4_000)
"""Bounds of the time in ms for which a sidecar is cut off."""


@attrs.frozen(slots=True)
class Scenario:
    """Parameters of a simulation; times are in ms after the warm-up.

    Attributes:
        gateways: Number of gateways.
        sidecars: Number of sidecars, of 64 or 96 cores each.
        load: Ordinary load as a ratio of all cores.
        seconds: Length of the arrivals in s.
        burst: Begin and end of the burst of large jobs.
        large: Factor on the rate of large jobs in the burst.
        small: Factor on the rate of small jobs in the first half of the burst.
        cut: Share of the sidecars that is cut off at times in the burst.
        failing: Share of the upstreams that fail all that they start in the burst.
        late: Share of the upstreams that carry out starts late in the burst.
        hopeless: Share of the large jobs each of whose runs fails.
        has_priorities: Whether the priorities of the queues differ.
        seed: Seed of the arrivals and of all random choices.
    """

    gateways: int = 5
    sidecars: int = 27
    load: float = 0.7
    seconds: int = 12
    burst: tuple[int, int] = (3_000, 9_000)
    large: float = 2.35
    small: float = 1.6
    cut: float = 0.25
    failing: float = 0.12
    late: float = 0.08
    hopeless: float = 0.057
    has_priorities: bool = True
    seed: int = 1


@attrs.define(slots=True)
class Offer:
    """A job that a caller has submitted.

    Attributes:
        queue: Name of its queue.
        arrived_ms: Time of its arrival in ms.
        work: Core-milliseconds that it needs at speed 1.
        longest_ms: Run time of its longest task at speed 1 in ms.
        outcome: `in time`, `late`, `too late` or another outcome.
        answered_ms: Time of its answer in ms after its arrival.
    """

    queue: str
    arrived_ms: float
    work: float
    longest_ms: float
    outcome: str = "unanswered"
    answered_ms: float = 0.0


@attrs.define(slots=True)
class Summary:
    """What the callers of one queue got.

    Attributes:
        value: Earned value as a ratio of the offered value.
        counts: Jobs by outcome.
        class_ratios: Served share of the largest tenth, and of the fifth below it,
            relative to the share of the whole queue.
    """

    value: float
    counts: collections.Counter[str]
    class_ratios: tuple[float, float]


class Simulation(crowd.Simulation):
    """Simulated site under a shortage.

    Args:
        shortage: Parameters of the simulation.
    """

    def __init__(self, shortage: Scenario) -> None:
        self.shortage = shortage
        super().__init__(
            crowd.Scenario(
                shortage.gateways,
                shortage.sidecars,
                (0.0,) * shortage.seconds,
                skew=0.0,
                task_cpu_millis=7_200,
                seed=shortage.seed,
            )
        )
        self.offers: dict[str, Offer] = {}
        self._cut: set[str] = set()
        self._failing: set[str] = set()
        self._late: set[str] = set()
        self._hopeless: set[str] = set()

    def summarize(self, begin_ms: int = 0, end_ms: int = 60_000) -> dict[str, Summary]:
        """Return what the jobs got that arrived in a time, by queue.

        Args:
            begin_ms: Begin of the time in ms after the warm-up.
            end_ms: End of the time in ms after the warm-up.
        """
        origin_ms = 1_000 + crowd.WARM_UP_MS
        return {
            kind.name: _summarize(
                [
                    offer
                    for offer in self.offers.values()
                    if offer.queue == kind.name
                    and begin_ms <= offer.arrived_ms - origin_ms < end_ms
                ]
            )
            for kind in crowd.KINDS
        }

    def _schedule_arrivals(self) -> None:
        self._schedule_faults()
        work = sum(
            kind.weight * kind.tasks * kind.work_ms * self.scenario.task_cpu_millis
            for kind in crowd.KINDS
        )
        scale = self.shortage.load * self.cores / (work / 1e6)
        for kind in crowd.KINDS:
            at_ms = 0.0
            while at_ms < self.shortage.seconds * SECOND_MS:
                rate = scale * kind.weight * self._find_factor(kind.name, at_ms)
                at_ms += SECOND_MS * self._rng.expovariate(rate)
                gateway = self._rng.randrange(self.shortage.gateways)
                self._schedule(
                    crowd.WARM_UP_MS + at_ms, self._make_arrival(kind, gateway)
                )

    def _find_factor(self, kind: str, at_ms: float) -> float:
        begin_ms, end_ms = self.shortage.burst
        if not begin_ms <= at_ms < end_ms:
            return 1.0
        if kind == "recalculation":
            return self.shortage.large
        is_first_half = at_ms < (begin_ms + end_ms) / 2
        return self.shortage.small if kind == "lookup" and is_first_half else 1.0

    def _schedule_faults(self) -> None:
        rng = self._rng
        begin_ms, end_ms = (crowd.WARM_UP_MS + at_ms for at_ms in self.shortage.burst)
        names = sorted(self._upstreams)
        rng.shuffle(names)
        for group, share in (
            (self._failing, self.shortage.failing),
            (self._late, self.shortage.late),
        ):
            for _ in range(round(share * self.shortage.sidecars)):
                name = names.pop()
                self._schedule(begin_ms, functools.partial(group.add, name))
                self._schedule(end_ms, functools.partial(group.discard, name))
        for _ in range(round(self.shortage.cut * self.shortage.sidecars)):
            name = names.pop()
            at_ms = begin_ms + rng.uniform(0, 500)
            while at_ms < end_ms:
                self._schedule(at_ms, functools.partial(self._cut.add, name))
                at_ms += rng.uniform(*CUT_MS)
                self._schedule(at_ms, functools.partial(self._cut.discard, name))
                at_ms += rng.uniform(0, 500)

    def _make_arrival(self, kind: crowd.Kind, gateway: int) -> Callable[[], None]:
        name = f"{next(self._serial):x}"
        rng = random.Random(f"{self.shortage.seed}/{name}")
        tasks = max(1, min(4 * kind.tasks, _draw(rng, kind.tasks, 0.6)))
        work_ms = kind.work_ms * rng.lognormvariate(-0.08, 0.4)
        millis = min(11_000, _draw(rng, self.scenario.task_cpu_millis, 0.2))
        estimate_ms = max(1, _draw(rng, work_ms, 0.1))
        needs = runmessages.Resources(millis, 64, 0)
        priority = kind.priority if self.shortage.has_priorities else 0
        queue = jobs.Queue(
            kind.name, crowd.SERVICE, priority, MAX_ATTEMPTS, STRETCH, TARGET_MS
        )
        request = jobs.Request(name, queue, "", (jobs.Step(tasks, needs, estimate_ms),))
        durations = [work_ms * rng.lognormvariate(-0.01, 0.15) for _ in range(tasks)]
        is_hopeless = (
            kind.name == "recalculation" and rng.random() < self.shortage.hopeless
        )

        def arrive() -> None:
            for index, duration_ms in enumerate(durations):
                self._durations[f"{name}.0.0.{index}"] = duration_ms
            if is_hopeless:
                self._hopeless.add(name)
            else:
                self.offers[name] = Offer(
                    kind.name,
                    self.now_ms,
                    sum(durations) * millis / 1000,
                    max(durations),
                )
            self._requests[name] = crowd.Request(
                name, kind, 0.0, self.now_ms, max(durations)
            )
            self._step_gateway(gateway, jobevents.Submit(request))

        return arrive

    def _step_gateway(self, number: int, event: jobevents.Event) -> None:
        if isinstance(event, jobevents.Heard) and event.sidecar in self._cut:
            return
        super()._step_gateway(number, event)

    def _count_outcome(self, request: crowd.Request, outcome: str) -> None:
        offer = self.offers.get(request.name)
        if offer is not None:
            offer.outcome = outcome
            offer.answered_ms = self.now_ms - offer.arrived_ms

    def _deliver(self, name: str, received: runevents.Asked) -> None:
        if name not in self._cut:
            super()._deliver(name, received)

    def _start_run(self, name: str, order: runmessages.RunOrder) -> None:
        if name in self._late:
            delay = functools.partial(self._start_now, name, order)
            self._schedule(LATE_START_MS, delay)
        else:
            self._start_now(name, order)

    def _start_now(self, name: str, order: runmessages.RunOrder) -> None:
        upstream = self._upstreams[name]
        answer = runevents.Answer.ACCEPTED
        if order.needs.cpu_millis > upstream.measure_free_cpu():
            answer = runevents.Answer.NO_ROOM
        else:
            self.results.starts += 1
            job = order.name.task.partition(".")[0]
            speed = SPEEDS[int(name[1:]) % len(SPEEDS)]
            duration_ms = self._durations[order.name.task] / speed
            fails = name in self._failing or job in self._hopeless
            if fails:
                duration_ms = min(duration_ms, FAILURE_MS)
            run = crowd._Run(
                order.name, order.needs, self.now_ms, self.now_ms + duration_ms
            )
            upstream.runs[order.name] = run
            finish = self._fail_run if fails else self._finish_run
            self._schedule(duration_ms, functools.partial(finish, name, run))
        self._step_sidecar(name, runevents.StartAnswered(order.name, answer))

    def _fail_run(self, name: str, run: crowd._Run) -> None:
        upstream = self._upstreams[name]
        if upstream.runs.pop(run.name, None) is None:
            return
        upstream.ended_runs.append(runevents.EndedRun(run.name, "failed", ""))
        delay = functools.partial(self._list_runs, name)
        self._schedule(crowd.UPSTREAM_CALL_MS, delay)


def _draw(rng: random.Random, mean: float, sigma: float) -> int:
    """Draw a number with a mean from a log-normal distribution."""
    return round(mean * rng.lognormvariate(-sigma * sigma / 2, sigma))


def _summarize(offers: list[Offer]) -> Summary:
    counts = collections.Counter(_judge(offer) for offer in offers)
    mean = sum(offer.work for offer in offers) / max(len(offers), 1)
    offered = earned = 0.0
    for offer in offers:
        weight = 0.3 + 0.7 * offer.work / mean
        offered += weight
        outcome = _judge(offer)
        if outcome == "in time":
            earned += weight
        elif outcome == "late":
            earned += crowd.LATE_VALUE_RATIO * weight
    ordered = sorted(offers, key=lambda offer: offer.work)
    tenth = len(offers) // 10
    served = max(_measure_served(offers), 1e-9)
    largest = ordered[-tenth:] if tenth else []
    below = ordered[-3 * tenth : -tenth] if tenth else []
    return Summary(
        earned / offered if offered else 0.0,
        counts,
        (_measure_served(largest) / served, _measure_served(below) / served),
    )


def _judge(offer: Offer) -> str:
    """Return how a caller sees the outcome of a job."""
    if offer.outcome != "completed":
        return offer.outcome
    objective_ms = STRETCH * offer.longest_ms + TARGET_MS
    if offer.answered_ms <= objective_ms:
        return "in time"
    limit_ms = crowd.LATE_LIMIT_RATIO * objective_ms
    return "late" if offer.answered_ms <= limit_ms else "too late"


def _measure_served(offers: list[Offer]) -> float:
    served = sum(_judge(offer) in ("in time", "late") for offer in offers)
    return served / max(len(offers), 1)


def main() -> None:
    """Print the outcomes of the burst for some seeds."""
    for seed in map(int, sys.argv[1:] or ["1"]):
        simulation = Simulation(Scenario(seed=seed))
        simulation.run()
        begin_ms, end_ms = simulation.shortage.burst
        for name, found in simulation.summarize(begin_ms, end_ms + 1_000).items():
            ratios = "/".join(f"{ratio:.2f}" for ratio in found.class_ratios)
            print(f"{seed} {name:14} {found.value:.3f} {ratios} {dict(found.counts)}")


if __name__ == "__main__":
    main()
