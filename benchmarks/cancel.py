"""Cost of waves of cancellations: many jobs are submitted and then all cancelled."""

from __future__ import annotations

import asyncio

import attrs
import msgspec

from amaranthspar.clients import client
from benchmarks import fits, outcomes, timing, trials

WAVES = (125, 250, 500, 1000)
TASKS = 10
RUN_MS = 500.0
GRACE_MS = 200.0
WATCH_SECONDS = 1.5
SERVICE = "recalculate"
PROBES = 20
LINEAR_FACTOR = 1.5


@attrs.frozen(slots=True)
class Wave:
    """Measurements of one wave.

    Attributes:
        jobs: Number of jobs.
        taken_ms: Time from the first cancellation to the last answer in ms.
        cpu_ms: CPU time of the gateway for the cancellations in ms.
        late_starts: Starts later than a grace period after the last answer.
        probe_ms: Response time in ms of the slowest lookup right after the wave; the
            lookups have a run time of 0 ms.
    """

    jobs: int
    taken_ms: float
    cpu_ms: float
    late_starts: int
    probe_ms: float


async def run(options: trials.Options) -> outcomes.Outcome:
    """Cancel waves of growing numbers of jobs.

    Args:
        options: Options of the run.
    """
    outcome = outcomes.Outcome("cancel", options.seed, options.seconds)
    for firm in options.firms:
        async with trials.open_trial(firm, gateways=1) as trial:
            waves = [await _cancel_wave(trial, jobs) for jobs in WAVES]
        rows: list[tuple[object, ...]] = [attrs.astuple(wave) for wave in waves]
        headers = ("jobs", "wave ms", "gateway CPU ms", "late starts", "probe ms")
        outcome.tables.append(outcomes.Table(f"Waves, {firm.name}", headers, rows))
        sizes = [float(wave.jobs) for wave in waves]
        fit = fits.fit_line(sizes, [wave.cpu_ms for wave in waves], relative=True)
        outcome.notes.append(f"Gateway CPU ms by jobs cancelled: {fit}.")
        growth = waves[-1].cpu_ms / waves[0].cpu_ms
        bound = LINEAR_FACTOR * WAVES[-1] / WAVES[0]
        late_starts = sum(wave.late_starts for wave in waves)
        slowest = max(wave.probe_ms for wave in waves)
        outcome.measures += [
            outcomes.Measure("CPU of 1,000 jobs / CPU of 125", growth, bound),
            outcomes.Measure("starts after the wave", late_starts, 0),
            outcomes.Measure("1,000 jobs: wave ms", waves[-1].taken_ms),
            outcomes.Measure("slowest lookup after a wave ms", slowest),
        ]
    return outcome


async def _cancel_wave(trial: trials.Trial, jobs: int) -> Wave:
    caller = trial.driver.clients[0]
    payload = {"payload": {"sleep_ms": RUN_MS, "echo": [0, 0]}}
    body = msgspec.json.encode({"tasks": [payload] * TASKS})
    prefer = {"Prefer": "respond-async"}
    calls = [caller.submit_job(SERVICE, body, prefer) for _ in range(jobs)]
    accepted = await asyncio.gather(*calls)
    locations = [reply.location for reply in accepted if reply.status == 202]
    gateway = trial.fleet.processes["gateway-1"]
    cpu = gateway.read_cpu()
    started_ms = timing.read_ms()
    replies = await asyncio.gather(
        *(caller.call("DELETE", location) for location in locations)
    )
    ended_ms = timing.read_ms()
    cpu = gateway.read_cpu() - cpu
    if len(locations) != jobs or any(reply.status != 204 for reply in replies):
        raise RuntimeError("a job was not accepted or not cancelled")
    probe_ms = await _probe(caller)
    await asyncio.sleep(WATCH_SECONDS)
    limit_ms = ended_ms + GRACE_MS
    spans = await trial.read_spans()
    late_starts = [
        span for span in spans if span.started_ms > limit_ms and span.echo == [0, 0]
    ]
    return Wave(jobs, ended_ms - started_ms, cpu * 1000, len(late_starts), probe_ms)


async def _probe(caller: client.Client) -> float:
    times: list[float] = []
    body = msgspec.json.encode({"sleep_ms": 0, "echo": [1, 0]})
    for _ in range(PROBES):
        started_ms = timing.read_ms()
        await caller.send_request("lookup", body)
        times.append(timing.read_ms() - started_ms)
    return max(times)
