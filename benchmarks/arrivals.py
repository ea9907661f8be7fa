"""Seeded open-loop arrivals for the benchmarks of the dispatch policy."""

import math
import random

import attrs

SHORT_MS = (50.0, 1000.0)
LONG_MS = (2000.0, 5000.0)
LONG_RATIO = 0.02


@attrs.frozen(slots=True)
class Arrival:
    """One request or job.

    Attributes:
        at_ms: Time of arrival in ms.
        gateway: Number of the gateway that takes it.
        runs_ms: Run time of each task in ms.
        declared_ms: Declared run time of each task in ms; 0 for none.
        service: Service name.
        team: Team name.
        caller: Caller name.
        is_job: Whether it is a job.
        fails: Whether its tasks fail wherever they run.
    """

    at_ms: float
    gateway: int
    runs_ms: list[float]
    declared_ms: list[int]
    service: str = "lookup"
    team: str = "field"
    caller: str = "caller"
    is_job: bool = False
    fails: bool = False


@attrs.frozen(slots=True)
class Mix:
    """Shape of a workload.

    Attributes:
        load: Part of the slots that is kept busy on average.
        slots: Slots of all upstreams.
        gateways: Gateways that share the arrivals.
        seconds: Length in s.
        job_share: Part of the work that comes in jobs.
        job_sizes: Least and greatest tasks of a job.
        declared_error: Factor by which declared run times may be off.
    """

    load: float
    slots: int = 72
    gateways: int = 2
    seconds: float = 60
    job_share: float = 0.0
    job_sizes: tuple[int, int] = (20, 200)
    declared_error: float = 1.0


def draw_run(chance: random.Random) -> float:
    """Return a run time in ms.

    Args:
        chance: Source of chance.
    """
    if chance.random() < LONG_RATIO:
        return chance.uniform(*LONG_MS)
    low, high = (math.log(item) for item in SHORT_MS)
    return math.exp(chance.uniform(low, high))


def measure_mean_run() -> float:
    """Return the mean run time in ms."""
    low, high = SHORT_MS
    short_ms = (high - low) / math.log(high / low)
    return (1 - LONG_RATIO) * short_ms + LONG_RATIO * sum(LONG_MS) / 2


def build_mix(mix: Mix, seed: int) -> list[Arrival]:
    """Return Poisson arrivals of requests and jobs in order of time.

    Args:
        mix: Shape of the workload.
        seed: Seed of the source of chance.
    """
    chance = random.Random(seed)
    starts_per_ms = mix.load * mix.slots / measure_mean_run()
    mean_size = sum(mix.job_sizes) / 2
    requests = _draw_times(chance, starts_per_ms * (1 - mix.job_share), mix.seconds)
    jobs = _draw_times(chance, starts_per_ms * mix.job_share / mean_size, mix.seconds)
    arrivals = [_build_arrival(chance, mix, at_ms, 0) for at_ms in requests]
    for at_ms in jobs:
        size = chance.randint(*mix.job_sizes)
        arrivals.append(_build_arrival(chance, mix, at_ms, size))
    return sorted(arrivals, key=lambda item: item.at_ms)


def _draw_times(chance: random.Random, rate: float, seconds: float) -> list[float]:
    result: list[float] = []
    if not rate:
        return result
    at_ms = chance.expovariate(rate)
    while at_ms < seconds * 1000:
        result.append(at_ms)
        at_ms += chance.expovariate(rate)
    return result


def _build_arrival(
    chance: random.Random, mix: Mix, at_ms: float, job_size: int
) -> Arrival:
    runs = [draw_run(chance) for _ in range(job_size or 1)]
    spread = math.log(mix.declared_error)
    declared = [
        max(1, int(run * math.exp(chance.uniform(-spread, spread)))) for run in runs
    ]
    return Arrival(
        at_ms,
        chance.randrange(mix.gateways),
        runs,
        declared if job_size else [0],
        service="recalculate" if job_size else "lookup",
        caller=f"caller-{chance.randrange(40)}",
        is_job=bool(job_size),
    )
