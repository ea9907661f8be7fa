"""CPU time of a gateway per task, by the size of jobs."""

from __future__ import annotations

import asyncio

import attrs
import msgspec

from amaranthspar.clients import client
from benchmarks import fits, fleet, outcomes, timing, trials

SIZES = (1, 10, 100, 1200)
TASKS = 2400
OUTSTANDING_TASKS = 80
MIN_JOBS = 4
IDLE_SECONDS = 3.0
SERVICE = "recalculate"


@attrs.frozen(slots=True)
class Load:
    """Cost of jobs of one size.

    Attributes:
        size: Number of tasks of a job.
        jobs: Number of jobs.
        cpu_us: CPU time of the gateway per task in us, without its idle load.
        sidecar_us: CPU time of all sidecars per task in us, without their idle load.
        rate: Tasks per second.
        memory_mb: Memory of the gateway after the jobs in MB.
    """

    size: int
    jobs: int
    cpu_us: float
    sidecar_us: float
    rate: float
    memory_mb: float


async def run(options: trials.Options) -> outcomes.Outcome:
    """Run jobs whose tasks take no time through one gateway.

    Args:
        options: Options of the run.
    """
    outcome = outcomes.Outcome("gateway", options.seed, options.seconds)
    for firm in options.firms:
        async with trials.open_trial(firm, gateways=1) as trial:
            idle = await _measure_idle(trial)
            loads = [
                await _measure(trial, size, idle)
                for _ in range(options.repeats)
                for size in SIZES
            ]
        rows: list[tuple[object, ...]] = [attrs.astuple(load) for load in loads]
        headers = (
            "tasks a job",
            "jobs",
            "gateway us/task",
            "sidecars us/task",
            "tasks/s",
            "gateway MB",
        )
        outcome.tables.append(outcomes.Table(f"Jobs, {firm.name}", headers, rows))
        sizes = [float(load.size) for load in loads]
        costs = [load.cpu_us * load.size for load in loads]
        fit = fits.fit_line(sizes, costs, relative=True)
        outcome.notes.append(f"Gateway CPU us for a job by its tasks: {fit}.")
        for size in SIZES:
            costs = [load.cpu_us for load in loads if load.size == size]
            name = f"gateway CPU us a task, jobs of {size}"
            outcome.measures.append(outcomes.Measure(name, sum(costs) / len(costs)))
        percent = outcomes.Measure("gateway idle CPU %", idle[0] * 100)
        outcome.measures.append(percent)
    return outcome


def read_cpu(processes: list[fleet.Process]) -> float:
    """Return the total CPU time of processes in s."""
    return sum(item.read_cpu() for item in processes)


async def _measure_idle(trial: trials.Trial) -> tuple[float, float]:
    groups = [trial.fleet.list_processes(name) for name in ("gateway", "sidecar")]
    before = [read_cpu(group) for group in groups]
    await asyncio.sleep(IDLE_SECONDS)
    after = [read_cpu(group) for group in groups]
    spent = [(b - a) / IDLE_SECONDS for a, b in zip(before, after, strict=True)]
    return spent[0], spent[1]


async def _measure(trial: trials.Trial, size: int, idle: tuple[float, float]) -> Load:
    gateways = trial.fleet.list_processes("gateway")
    sidecars = trial.fleet.list_processes("sidecar")
    jobs = max(TASKS // size, MIN_JOBS)
    body = _build_job(size)
    queue = iter(range(jobs))
    caller = trial.driver.clients[0]

    async def submit() -> None:
        for _ in queue:
            reply = await caller.submit_job(SERVICE, body)
            if reply.status != 200:
                raise client.ClientError(reply.body.decode())

    await caller.submit_job(SERVICE, body)
    before = (read_cpu(gateways), read_cpu(sidecars))
    started_ms = timing.read_ms()
    width = max(1, OUTSTANDING_TASKS // size)
    await asyncio.gather(*(submit() for _ in range(width)))
    seconds = (timing.read_ms() - started_ms) / 1000
    tasks = jobs * size
    spent = (read_cpu(gateways) - before[0], read_cpu(sidecars) - before[1])
    costs = [
        (cpu - rate * seconds) / tasks * 1e6
        for cpu, rate in zip(spent, idle, strict=True)
    ]
    memory_mb = gateways[0].read_memory()
    return Load(size, jobs, costs[0], costs[1], tasks / seconds, memory_mb)


def _build_job(size: int) -> bytes:
    tasks = [{"payload": {"sleep_ms": 0, "echo": [0, n]}} for n in range(size)]
    return msgspec.json.encode({"tasks": tasks})
