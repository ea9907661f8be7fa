"""Replay of small, medium and large jobs at once, in virtual time.

Tasks of the large jobs need up to half as many cores again as the others, so that gaps
which the others leave do not suffice for them. Durations that callers declare are off,
a few tasks take seven times as long, and upstreams differ in speed. Measured are the
wait of the largest tenth of the jobs, the share served by queue, and the cores that
idle while tasks wait.
"""

from __future__ import annotations

import collections
import statistics
from typing import TYPE_CHECKING

import attrs

from amaranthspar.scheduling import jobevents, jobs
from amaranthspar.schema import runmessages
from benchmarks import crowd, outcomes

if TYPE_CHECKING:
    from collections.abc import Callable

    from benchmarks import trials

CPU_MILLIS = 7_200
LARGE_CPU_MILLIS = 11_000
LARGEST_SHARE = 0.1
LONG_SHARE = 0.03
LONG_FACTOR = 7.0
DECLARED_ERROR = 0.4
STRETCH, TARGET_MS = 1.6, 60
SAMPLE_MS = 20


@attrs.frozen(slots=True)
class Load:
    """Parameters of a replay.

    Attributes:
        name: Name in the tables.
        scenario: Size of the site and arriving work.
        speeds: Speeds of the upstreams, in turn.
        max_cores_millis: Highest need of a large task in thousandths of a core.
        declared_error: Standard deviation of the logarithm of declared durations.
        long_share: Share of tasks that take seven times as long.
    """

    name: str
    scenario: crowd.Scenario
    speeds: tuple[float, ...] = (1.0,)
    max_cores_millis: int = LARGE_CPU_MILLIS
    declared_error: float = DECLARED_ERROR
    long_share: float = LONG_SHARE


LOADS = (
    Load("burst", crowd.Scenario(6, 24, (0.7, 1.4, 1.4, 0.7), task_cpu_millis=7_200)),
    Load(
        "burst, speeds",
        crowd.Scenario(6, 24, (0.7, 1.4, 1.4, 0.7), task_cpu_millis=7_200),
        (1.0, 1.3),
    ),
    Load("steady", crowd.Scenario(6, 24, (0.95,) * 4, task_cpu_millis=7_200)),
    Load(
        "one gateway",
        crowd.Scenario(1, 8, (0.7, 1.4, 1.4, 0.7), task_cpu_millis=7_200),
    ),
    Load(
        "wide",
        crowd.Scenario(6, 24, (0.7, 1.4, 1.4, 0.7), task_cpu_millis=7_200),
        max_cores_millis=28_000,
    ),
    Load(
        "one gateway, wide",
        crowd.Scenario(1, 8, (0.7, 1.4, 1.4, 0.7), task_cpu_millis=7_200),
        max_cores_millis=28_000,
    ),
)


@attrs.frozen(slots=True)
class Job:
    """A job of the replay.

    Attributes:
        kind: Name of its queue.
        core_ms: Work of all its tasks in core-milliseconds.
        arrived_ms: Time of its arrival in ms.
        longest_ms: Duration of its longest task in ms.
    """

    kind: str
    core_ms: float
    arrived_ms: float
    longest_ms: float


@attrs.define(slots=True)
class Figures:
    """What a replay measures.

    Attributes:
        value_ratio: Earned value as a ratio of the offered value.
        waits_ms: Times that jobs waited in ms, by job, of those completed.
        jobs: All jobs.
        idle_share: Mean share of all cores that idled while tasks waited.
    """

    value_ratio: float = 0.0
    waits_ms: dict[str, float] = attrs.field(factory=dict)
    jobs: dict[str, Job] = attrs.field(factory=dict)
    idle_share: float = 0.0

    def list_largest(self) -> list[str]:
        """Return the largest tenth of the jobs of each queue, by work."""
        by_kind: dict[str, list[str]] = collections.defaultdict(list)
        for name in sorted(self.jobs, key=lambda item: -self.jobs[item].core_ms):
            by_kind[self.jobs[name].kind].append(name)
        return [
            name
            for names in by_kind.values()
            for name in names[: max(1, round(LARGEST_SHARE * len(names)))]
        ]

    def measure_served_share(self, names: list[str]) -> float:
        """Return the share of some jobs that were completed."""
        return sum(name in self.waits_ms for name in names) / max(len(names), 1)

    def list_kind(self, kind: str) -> list[str]:
        """Return the jobs of a queue."""
        return [name for name, job in self.jobs.items() if job.kind == kind]

    def measure_wait_ms(self, names: list[str]) -> float:
        """Return the mean wait in ms of those of some jobs that were completed."""
        waits = [self.waits_ms[name] for name in names if name in self.waits_ms]
        return statistics.fmean(waits) if waits else 0.0


class Replay(crowd.Simulation):
    """A replay of one load.

    Args:
        load: Parameters.
    """

    def __init__(self, load: Load) -> None:
        super().__init__(load.scenario)
        self.load = load
        self.figures = Figures()
        self._idle_samples: list[float] = []
        names = list(self._upstreams)
        self._speeds = {
            name: load.speeds[number % len(load.speeds)]
            for number, name in enumerate(names)
        }

    def replay(self) -> Figures:
        """Run the load and return what was measured."""
        self._schedule(crowd.WARM_UP_MS, self._sample)
        self.figures.value_ratio = self.run().value_ratio
        if self._idle_samples:
            self.figures.idle_share = statistics.fmean(self._idle_samples)
        return self.figures

    def _sample(self) -> None:
        """Note the free cores while tasks wait at any gateway."""
        if any(len(item.waiting) for item in self._gateways):
            free = sum(item.measure_free_cpu() for item in self._upstreams.values())
            self._idle_samples.append(free / 1_000 / self.cores)
        self._schedule(SAMPLE_MS, self._sample)

    def _make_arrival(self, kind: crowd.Kind, gateway: int) -> Callable[[], None]:
        name = f"{next(self._serial):x}"
        rng = self._rng
        tasks = max(1, round(kind.tasks * rng.lognormvariate(-0.08, 0.4)))
        work_ms = kind.work_ms * rng.lognormvariate(-0.08, 0.4)
        cpu_millis = CPU_MILLIS
        if kind is crowd.KINDS[1]:
            cpu_millis = rng.randint(CPU_MILLIS, self.load.max_cores_millis)
        error = rng.lognormvariate(0, self.load.declared_error)
        durations = [
            work_ms * (LONG_FACTOR if rng.random() < self.load.long_share else 1.0)
            for _ in range(tasks)
        ]
        needs = runmessages.Resources(cpu_millis, 64, 0)
        queue = jobs.Queue(
            kind.name, crowd.SERVICE, kind.priority, 4, STRETCH, TARGET_MS
        )
        step = jobs.Step(tasks, needs, max(1, round(work_ms * error)))
        request = jobs.Request(name, queue, "", (step,))
        core_ms = tasks * work_ms * cpu_millis / 1_000
        mean = kind.tasks * kind.work_ms * CPU_MILLIS / 1_000
        value = kind.value * min(4.0, 0.3 + 0.7 * core_ms / mean)

        def arrive() -> None:
            for index, duration_ms in enumerate(durations):
                self._durations[f"{name}.0.0.{index}"] = duration_ms
            longest_ms = max(durations)
            self.figures.jobs[name] = Job(kind.name, core_ms, self.now_ms, longest_ms)
            self._requests[name] = crowd.Request(
                name, kind, value, self.now_ms, longest_ms
            )
            self.results.offered_value += value
            self._step_gateway(gateway, jobevents.Submit(request))

        return arrive

    def _count_outcome(self, request: crowd.Request, outcome: str) -> None:
        super()._count_outcome(request, outcome)
        if outcome == "completed":
            response_ms = self.now_ms - request.arrived_ms
            self.figures.waits_ms[request.name] = response_ms - request.longest_task_ms

    def _start_run(self, name: str, order: runmessages.RunOrder) -> None:
        task = order.name.task
        duration_ms = self._durations[task]
        self._durations[task] = duration_ms / self._speeds[name]
        super()._start_run(name, order)
        self._durations[task] = duration_ms


async def run(options: trials.Options) -> outcomes.Outcome:
    """Replay each load.

    Args:
        options: Options of the run; each of its consecutive seeds is replayed.
    """
    outcome = outcomes.Outcome("lookahead", options.seed, options.seconds)
    headers = (
        "load",
        "seed",
        "wait of the largest tenth ms",
        "largest served",
        *(f"{kind.name} served" for kind in crowd.KINDS),
        "idle while work waits",
        "value",
    )
    rows = []
    for load in LOADS:
        for seed in range(options.seed, options.seed + options.repeats):
            scenario = attrs.evolve(load.scenario, seed=seed)
            figures = Replay(attrs.evolve(load, scenario=scenario)).replay()
            rows.append((load.name, seed, *_list_figures(figures)))
    outcome.tables.append(outcomes.Table("Replays", headers, rows))
    return outcome


def _list_figures(figures: Figures) -> tuple[float, ...]:
    largest = figures.list_largest()
    shares = [
        figures.measure_served_share(figures.list_kind(kind.name))
        for kind in crowd.KINDS
    ]
    return (
        round(figures.measure_wait_ms(largest)),
        round(figures.measure_served_share(largest), 4),
        *(round(share, 4) for share in shares),
        round(figures.idle_share, 4),
        round(figures.value_ratio, 4),
    )
