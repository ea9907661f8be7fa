"""Costs of each role as linear functions of size, for the capacity page."""

from __future__ import annotations

import asyncio
import pathlib
import tempfile
import time
from collections.abc import Awaitable

import psutil

from benchmarks import (
    control,
    counters,
    driver,
    firms,
    fits,
    fleet,
    gateway,
    holders,
    outcomes,
    sidecar,
    trials,
)

SIDECARS = (200, 400, 800, 1600, 2500)
SIDECARS_PER_PROCESS = 500
GATEWAY_COSTS = (
    "idle CPU %",
    "us a request",
    "us a task of a job",
    "MB",
    "file descriptors",
    "bytes/s",
    "CPU % while up to 500 are lost",
    "failures",
)
SIDECAR_RATES = (13.0, 26.0, 52.0, 104.0)
SIDECAR_GATEWAYS = (5, 10, 20, 40)
LEASES = (250, 500, 1000, 2500)
CHANGES = 30
CHANGE_SECONDS = 0.25
MEASURE_SECONDS = 5.0
LOST_SECONDS = 10.0
SETTLE_SECONDS = 3.0
REQUESTS_PER_SECOND = 100.0
JOBS_PER_SECOND = 5.0
JOB_TASKS = 100
MEMBERSHIP_SECONDS = 90.0
SERVICE = "lookup"


def _add_fit(
    outcome: outcomes.Outcome, name: str, x: list[float], y: list[float]
) -> None:
    outcome.notes.append(f"- {name}: {fits.fit_line(x, y)}.")


async def run_gateway(options: trials.Options) -> outcomes.Outcome:
    """Measure one gateway with growing numbers of sidecars.

    Args:
        options: Options of the run; the first firm gives the configuration.
    """
    outcome = outcomes.Outcome("slopes-gateway", options.seed, options.seconds)
    points = [
        await _measure_gateway_with_sidecars(options, count) for count in SIDECARS
    ]
    rows: list[tuple[object, ...]] = [
        (count, *point) for count, point in zip(SIDECARS, points, strict=True)
    ]
    headers = ("sidecars", *GATEWAY_COSTS)
    outcome.tables.append(outcomes.Table("Gateway by sidecars", headers, rows))
    sizes = [float(count) for count in SIDECARS]
    for index, name in enumerate(GATEWAY_COSTS):
        values = [point[index] for point in points]
        if all(values):
            _add_fit(outcome, f"gateway {name} by sidecars", sizes, values)
    return outcome


async def _measure_gateway_with_sidecars(
    options: trials.Options, count: int
) -> tuple[float, ...]:
    firm = options.firms[0]
    listener = counters.Counters()
    await listener.open()
    with tempfile.TemporaryDirectory(prefix="bench-") as name:
        group = fleet.Fleet(
            firm, pathlib.Path(name), listener.address, gateways=1, controllers=1
        )
        try:
            group.start_controllers()
            words = ["-m", "benchmarks.manysidecars", "--service", SERVICE]
            words += ["--controllers", ",".join(group.controller_addresses)]
            words += ["--domains", ",".join(firm.domains)]
            for first in range(0, count, SIDECARS_PER_PROCESS):
                part = [
                    "--first",
                    str(first),
                    "--count",
                    str(min(SIDECARS_PER_PROCESS, count - first)),
                ]
                # A separate address for each process, as they search for free ports
                # at the same time.
                part += ["--host", f"127.0.1.{first // SIDECARS_PER_PROCESS + 1}"]
                group.spawn(f"many-{first}", words + part, "")
            group.start_gateway(0)
            await group.wait_ready(count, MEMBERSHIP_SECONDS)
            await asyncio.sleep(SETTLE_SECONDS)
            return await _measure_gateway(group, listener)
        finally:
            group.kill()
            listener.close()


async def _measure_gateway(
    group: fleet.Fleet, listener: counters.Counters
) -> tuple[float, ...]:
    process = group.processes["gateway-1"]
    sent = _count_bytes(listener)
    cpu, seconds = await _measure_cpu([process], asyncio.sleep(MEASURE_SECONDS))
    idle = cpu / seconds
    sent = (_count_bytes(listener) - sent) / seconds
    sender = driver.Driver(group.urls, group.token)
    requests = _build_arrivals(REQUESTS_PER_SECOND, 1)
    cpu, seconds = await _measure_cpu([process], sender.run(requests, "requests"))
    request = (cpu - idle * seconds) / len(requests)
    jobs = _build_arrivals(JOBS_PER_SECOND, JOB_TASKS)
    cpu, seconds = await _measure_cpu([process], sender.run(jobs, "jobs"))
    task = (cpu - idle * seconds) / len(jobs) / JOB_TASKS
    failures = trials.count_failures(sender.samples)
    await sender.close()
    files = float(psutil.Process(process.popen.pid).num_fds())
    costs = (idle * 100, request * 1e6, task * 1e6, process.read_memory())
    group.processes["many-0"].popen.kill()
    cpu, seconds = await _measure_cpu([process], asyncio.sleep(LOST_SECONDS))
    return (*costs, files, sent, cpu / seconds * 100, float(failures))


def _count_bytes(listener: counters.Counters) -> float:
    sums = listener.sum_metric("links.", ("gateway",))
    frames = sums["frames.sent"] + sums["frames.received"]
    payload = sums["bytes.sent"] + sums["bytes.received"]
    return payload + frames * sidecar.FRAME_OVERHEAD_BYTES


def _build_arrivals(rate: float, tasks: int) -> list[firms.Arrival]:
    sleeps = (20.0,) * tasks
    return [
        firms.Arrival(number, number * 1000 / rate, SERVICE, sleeps, tasks > 1)
        for number in range(int(MEASURE_SECONDS * rate))
    ]


async def run_controllers(options: trials.Options) -> outcomes.Outcome:
    """Measure three controllers with growing numbers of leases.

    Args:
        options: Options of the run; the first firm gives the configuration.
    """
    outcome = outcomes.Outcome("slopes-controllers", options.seed, options.seconds)
    rows: list[tuple[object, ...]] = []
    renewals: list[float] = []
    changes: list[float] = []
    for count in LEASES:
        async with control.open_cluster(options) as cluster:
            lease_holders = holders.Holders(count, cluster.addresses, options.seed)
            await lease_holders.open()
            await asyncio.sleep(SETTLE_SECONDS)
            group = cluster.fleet.list_processes("controller")
            seconds = CHANGES * CHANGE_SECONDS
            quiet = await _measure_cpu(group, asyncio.sleep(seconds))
            busy = await _measure_cpu(group, _submit_changes(cluster))
            lease_holders.close()
        rate = quiet[0] / quiet[1]
        renewals.append(rate * 1e6 / 3)
        changes.append((busy[0] - rate * busy[1]) / CHANGES * 1000)
        rows.append(
            (count, rate * 100, renewals[-1], changes[-1], lease_holders.lapses)
        )
    headers = (
        "leases",
        "CPU % of all three",
        "us/s of one controller",
        "CPU ms a change, all three",
        "lapses",
    )
    outcome.tables.append(outcomes.Table("Controllers by leases", headers, rows))
    sizes = [float(count) for count in LEASES]
    _add_fit(outcome, "one controller CPU us/s by leases", sizes, renewals)
    _add_fit(outcome, "all controllers CPU ms a change by leases", sizes, changes)
    return outcome


async def _measure_cpu(
    group: list[fleet.Process], work: Awaitable[None]
) -> tuple[float, float]:
    before, started = gateway.read_cpu(group), time.monotonic()
    await work
    return gateway.read_cpu(group) - before, time.monotonic() - started


async def _submit_changes(cluster: control.Cluster) -> None:
    built = cluster.fleet.build_configuration()
    version = 1
    for number in range(CHANGES):
        built.add_team("team", weight=number + 1)
        version = await cluster.propose(f"slope-{number}", str(built), version)
        await asyncio.sleep(CHANGE_SECONDS)


async def run_sidecar(options: trials.Options) -> outcomes.Outcome:
    """Measure one sidecar with growing numbers of gateways and rates of tasks.

    Args:
        options: Options of the run; only its seed and its length are reported.
    """
    outcome = outcomes.Outcome("slopes-sidecar", options.seed, options.seconds)
    rows: list[tuple[object, ...]] = []
    idle: list[float] = []
    bytes_idle: list[float] = []
    memory: list[float] = []
    loaded: list[float] = []
    for count in SIDECAR_GATEWAYS:
        async with sidecar.open_site(count) as site:
            await asyncio.sleep(SETTLE_SECONDS)
            phase = await site.measure(MEASURE_SECONDS, 0)
            rows.append((count, 0.0, phase.cpu_percent, phase.bytes_per_second))
            idle.append(phase.cpu_percent)
            bytes_idle.append(phase.bytes_per_second)
            memory.append(phase.memory_mb)
            if count != SIDECAR_GATEWAYS[-1]:
                continue
            for rate in SIDECAR_RATES:
                phase = await site.measure(MEASURE_SECONDS, rate)
                rows.append((count, rate, phase.cpu_percent, phase.bytes_per_second))
                loaded.append(phase.cpu_percent)
    headers = ("gateways", "tasks/s", "CPU %", "bytes/s")
    outcome.tables.append(outcomes.Table("Sidecar", headers, rows))
    sizes = [float(count) for count in SIDECAR_GATEWAYS]
    _add_fit(outcome, "sidecar idle CPU % by gateways", sizes, idle)
    _add_fit(outcome, "sidecar idle bytes/s by gateways", sizes, bytes_idle)
    _add_fit(outcome, "sidecar MB by gateways", sizes, memory)
    _add_fit(outcome, "sidecar CPU % by tasks/s", list(SIDECAR_RATES), loaded)
    return outcome
