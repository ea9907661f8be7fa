"""Seeded open-loop arrivals for simulations of the dispatch policy."""

import math
import random

import attrs

SHORT_MS = (50.0, 1000.0)
LONG_MS = (2000.0, 5000.0)
LONG_SHARE = 0.02


@attrs.frozen(slots=True)
class Arrival:
    """One request or job.

    Attributes:
        at_ms: Time of arrival in ms.
        gateway: Number of the gateway that receives it.
        runs_ms: Run time of each task in ms.
        declared_ms: Declared run time of each task in ms; 0 for none.
        service: Service name.
        team: Team name.
        caller: Caller name.
        is_job: Whether it is a job rather than a request.
        fails: Whether its tasks fail on every upstream.
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
    """Parameters of a workload.

    Attributes:
        load: Average share of the slots that is busy.
        slots: Number of slots of all upstreams.
        gateways: Number of gateways that share the arrivals.
        seconds: Length in s.
        job_share: Share of the work that arrives as jobs.
        job_sizes: Least and greatest number of tasks of a job.
        declared_error: Greatest factor between a declared and the real run time.
    """

    load: float
    slots: int = 72
    gateways: int = 2
    seconds: float = 60
    job_share: float = 0.0
    job_sizes: tuple[int, int] = (20, 200)
    declared_error: float = 1.0


def draw_run_ms(rng: random.Random) -> float:
    """Return a random run time in ms.

    Args:
        rng: Random number generator.
    """
    if rng.random() < LONG_SHARE:
        return rng.uniform(*LONG_MS)
    low, high = (math.log(item) for item in SHORT_MS)
    return math.exp(rng.uniform(low, high))


def compute_mean_run_ms() -> float:
    """Return the mean run time in ms."""
    low, high = SHORT_MS
    short_ms = (high - low) / math.log(high / low)
    return (1 - LONG_SHARE) * short_ms + LONG_SHARE * sum(LONG_MS) / 2


def build_mix(mix: Mix, seed: int) -> list[Arrival]:
    """Return Poisson arrivals of requests and jobs in order of time.

    Args:
        mix: Parameters of the workload.
        seed: Seed of the random number generator.
    """
    rng = random.Random(seed)
    starts_per_ms = mix.load * mix.slots / compute_mean_run_ms()
    mean_size = sum(mix.job_sizes) / 2
    requests = _draw_arrival_times(
        rng, starts_per_ms * (1 - mix.job_share), mix.seconds
    )
    jobs = _draw_arrival_times(
        rng, starts_per_ms * mix.job_share / mean_size, mix.seconds
    )
    arrivals = [_build_arrival(rng, mix, at_ms, 0) for at_ms in requests]
    for at_ms in jobs:
        size = rng.randint(*mix.job_sizes)
        arrivals.append(_build_arrival(rng, mix, at_ms, size))
    return sorted(arrivals, key=lambda item: item.at_ms)


def _draw_arrival_times(rng: random.Random, rate: float, seconds: float) -> list[float]:
    result: list[float] = []
    if not rate:
        return result
    at_ms = rng.expovariate(rate)
    while at_ms < seconds * 1000:
        result.append(at_ms)
        at_ms += rng.expovariate(rate)
    return result


def _build_arrival(
    rng: random.Random, mix: Mix, at_ms: float, job_size: int
) -> Arrival:
    runs = [draw_run_ms(rng) for _ in range(job_size or 1)]
    spread = math.log(mix.declared_error)
    declared = [
        max(1, int(run * math.exp(rng.uniform(-spread, spread)))) for run in runs
    ]
    return Arrival(
        at_ms,
        rng.randrange(mix.gateways),
        runs,
        declared if job_size else [0],
        service="recalculate" if job_size else "lookup",
        caller=f"caller-{rng.randrange(40)}",
        is_job=bool(job_size),
    )
