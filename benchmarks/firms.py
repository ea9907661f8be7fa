"""Seeded workloads of two example firms."""

import math
import random
from collections.abc import Callable

import attrs

TAIL_SHARE = 0.02
TAIL_MS = (2000.0, 4000.0)
UPSTREAMS = 10
SLOTS = 8
CONNECTIONS = 64


@attrs.frozen(slots=True)
class Arrival:
    """One submission of a workload.

    Attributes:
        number: Position in the workload.
        at_ms: Intended time of arrival after the start in ms.
        service: Service name.
        sleeps_ms: Run time of each task in ms.
        is_job: Whether it is sent as a job.
        key: Idempotency key; empty for none.
        desk: Desk name; empty for none.
        deadline_ms: Deadline after the arrival in ms; 0 for the default of the service.
        expected_ms: Declared run time of each task in ms; empty for none.
    """

    number: int
    at_ms: float
    service: str
    sleeps_ms: tuple[float, ...]
    is_job: bool = False
    key: str = ""
    desk: str = ""
    deadline_ms: int = 0
    expected_ms: tuple[int, ...] = ()


@attrs.frozen(slots=True)
class Kind:
    """One kind of submission in a workload.

    Attributes:
        service: Service name.
        weight: Share of the submissions.
        run_ms: Least and greatest run time of a task in ms.
        tasks: Least and greatest number of tasks; 0 for a single request.
        idempotent: Whether the service is idempotent.
    """

    service: str
    weight: float
    run_ms: tuple[float, float]
    tasks: tuple[int, int] = (0, 0)
    idempotent: bool = True


@attrs.frozen(slots=True)
class Firm:
    """Workload and upstreams of one firm.

    Attributes:
        name: Short name.
        domains: Failure domains.
        kinds: Kinds of submissions.
        upstreams: Number of upstreams.
        slots: Number of slots of each upstream.
        cores: Processor cores of each worker.
        memory_mb: Memory of each worker in MB.
    """

    name: str
    domains: tuple[str, ...]
    kinds: tuple[Kind, ...]
    upstreams: int = UPSTREAMS
    slots: int = SLOTS
    cores: int = 64
    memory_mb: int = 256 * 1024

    @property
    def total_slots(self) -> int:
        """Number of slots of all upstreams."""
        return self.upstreams * self.slots

    def find_domain(self, upstream: int) -> str:
        """Return the failure domain of an upstream by its number."""
        return self.domains[upstream % len(self.domains)]


KEREKES = Firm(
    "kerekes",
    ("gyor", "pecs", "veszprem"),
    (
        Kind("lookup", 0.60, (50, 400)),
        Kind("health", 0.25, (50, 200)),
        Kind("recalculate", 0.15, (50, 1000), tasks=(4, 24)),
    ),
)
WIJESEKERA = Firm(
    "wijesekera",
    ("kandy", "matale", "peradeniya"),
    (
        Kind("price", 0.55, (50, 500)),
        Kind("quote", 0.30, (100, 1000), tasks=(2, 8)),
        Kind("hold", 0.15, (50, 300), idempotent=False),
    ),
    cores=16,
    memory_mb=64 * 1024,
)
FIRMS = {firm.name: firm for firm in (KEREKES, WIJESEKERA)}

Rate = Callable[[float], float]


def compute_mean_work(firm: Firm) -> float:
    """Return the mean work of a submission in ms of slot time."""
    total = 0.0
    tail = sum(TAIL_MS) / 2
    for kind in firm.kinds:
        mean = (1 - TAIL_SHARE) * sum(kind.run_ms) / 2 + TAIL_SHARE * tail
        tasks = sum(kind.tasks) / 2 or 1
        total += kind.weight * mean * tasks
    return total


def generate(
    firm: Firm, seed: int, seconds: float, load: float, boost: Rate | None = None
) -> list[Arrival]:
    """Return the arrivals of a Poisson process.

    Args:
        firm: Firm whose workload is generated.
        seed: Seed of all random choices.
        seconds: Length in s.
        load: Share of all slots that the work needs.
        boost: Function that returns a factor on the rate, at most 10, by time in ms.

    Returns:
        Arrivals in order.
    """
    rng = random.Random(f"{firm.name}/{seed}/{load}")
    rate = load * firm.total_slots / compute_mean_work(firm)
    result: list[Arrival] = []
    now_ms = 0.0
    while True:
        factor = boost(now_ms) if boost else 1.0
        now_ms += rng.expovariate(rate * factor)
        if now_ms >= seconds * 1000:
            return result
        result.append(_draw_arrival(firm, rng, len(result), now_ms, f"{seed}-{load}"))


def add_declared_times(
    arrivals: list[Arrival], low: float, high: float
) -> list[Arrival]:
    """Return the arrivals with declared run times that are wrong by random factors.

    Args:
        arrivals: Arrivals without declared run times.
        low: Least factor.
        high: Greatest factor; the logarithms of the factors are distributed evenly.
    """
    rng = random.Random(len(arrivals))

    def draw(sleep_ms: float) -> int:
        factor = math.exp(rng.uniform(math.log(low), math.log(high)))
        return max(1, int(sleep_ms * factor))

    return [
        attrs.evolve(item, expected_ms=tuple(map(draw, item.sleeps_ms)))
        for item in arrivals
    ]


def _draw_arrival(
    firm: Firm, rng: random.Random, number: int, at_ms: float, prefix: str
) -> Arrival:
    weights = [kind.weight for kind in firm.kinds]
    kind = rng.choices(firm.kinds, weights)[0]
    count = rng.randint(*kind.tasks) if kind.tasks[1] else 1
    sleeps = tuple(_draw_run_ms(rng, kind) for _ in range(count))
    key = "" if kind.idempotent else f"{prefix}-{number}"
    is_job = kind.tasks[1] > 0
    return Arrival(number, at_ms, kind.service, sleeps, is_job, key)


def _draw_run_ms(rng: random.Random, kind: Kind) -> float:
    if rng.random() < TAIL_SHARE:
        return round(rng.uniform(*TAIL_MS), 1)
    return round(rng.uniform(*kind.run_ms), 1)
