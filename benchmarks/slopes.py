"""Slopes of cost by size, for the capacity page."""

from __future__ import annotations

import asyncio
import pathlib
import tempfile
import time

from benchmarks import (
    control,
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

SIDECARS = (25, 50, 100, 200)
SIDECAR_RATES = (13.0, 26.0, 52.0, 104.0)
SIDECAR_GATEWAYS = (5, 10, 20, 40)
LEASES = (250, 500, 1000, 2500)
CHANGES = 30
CHANGE_SECONDS = 0.25
WATCH_SECONDS = 6.0
SETTLE_SECONDS = 3.0
REQUESTS_PER_SECOND = 100.0
MEMBERSHIP_SECONDS = 40.0
SERVICE = "lookup"


async def run(options: trials.Options) -> outcomes.Outcome:
    """Measure each slope over four sizes.

    Args:
        options: Options of the run; the first firm gives the configuration.
    """
    outcome = outcomes.Outcome("slopes", options.seed, options.seconds)
    await _measure_gateway(outcome, options)
    await _measure_changes(outcome, options)
    await _measure_sidecar(outcome)
    return outcome


def _add_fit(
    outcome: outcomes.Outcome, name: str, x: list[float], y: list[float]
) -> None:
    outcome.notes.append(f"- {name}: {fits.fit_line(x, y)}.")


async def _measure_gateway(outcome: outcomes.Outcome, options: trials.Options) -> None:
    rows: list[tuple[object, ...]] = []
    points: list[tuple[float, ...]] = []
    for count in SIDECARS:
        point = await _serve_sidecars(options, count)
        points.append(point)
        rows.append((count, *point))
    headers = ("sidecars", "idle CPU %", "us a request", "MB", "requests failed")
    outcome.tables.append(outcomes.Table("Gateway by sidecars", headers, rows))
    sizes = [float(count) for count in SIDECARS]
    names = ("idle CPU %", "us a request", "MB")
    for index, name in enumerate(names):
        values = [point[index] for point in points]
        _add_fit(outcome, f"gateway {name} by sidecars", sizes, values)


async def _serve_sidecars(options: trials.Options, count: int) -> tuple[float, ...]:
    with tempfile.TemporaryDirectory(prefix="bench-") as name:
        group = fleet.Fleet(
            options.firms[0], pathlib.Path(name), gateways=1, controllers=1
        )
        try:
            group.start_controllers()
            words = ["-m", "benchmarks.manysidecars", "--service", SERVICE]
            words += ["--controllers", ",".join(group.controller_addresses)]
            words += ["--count", str(count), "--domain", options.firms[0].domains[0]]
            group.spawn("many", words, "")
            group.start_gateway(0)
            async with asyncio.timeout(MEMBERSHIP_SECONDS):
                await group.wait_ready(count)
            await asyncio.sleep(SETTLE_SECONDS)
            return await _watch_gateway(group, options)
        finally:
            group.kill()


async def _watch_gateway(
    group: fleet.Fleet, options: trials.Options
) -> tuple[float, ...]:
    process = group.processes["gateway-1"]
    before = process.read_cpu()
    await asyncio.sleep(WATCH_SECONDS)
    idle = (process.read_cpu() - before) / WATCH_SECONDS
    arrivals = [
        firms.Arrival(number, number * 1000 / REQUESTS_PER_SECOND, SERVICE, (20.0,))
        for number in range(int(WATCH_SECONDS * REQUESTS_PER_SECOND))
    ]
    sender = driver.Driver(group.urls, group.token)
    before = process.read_cpu()
    await sender.run(arrivals, "requests")
    spent = process.read_cpu() - before - idle * WATCH_SECONDS
    failures = trials.count_failures(sender.samples)
    await sender.close()
    cost = spent / len(arrivals) * 1e6
    return idle * 100, cost, process.read_memory(), float(failures)


async def _measure_changes(outcome: outcomes.Outcome, options: trials.Options) -> None:
    rows: list[tuple[object, ...]] = []
    renewals: list[float] = []
    changes: list[float] = []
    for count in LEASES:
        async with control.open_cluster(options) as cluster:
            held = holders.Holders(count, cluster.addresses, options.seed)
            await held.open()
            await asyncio.sleep(SETTLE_SECONDS)
            group = cluster.fleet.list_processes("controller")
            seconds = CHANGES * CHANGE_SECONDS
            quiet = await _spend(group, asyncio.sleep(seconds))
            busy = await _spend(group, _submit_changes(cluster))
            held.close()
        rate = quiet[0] / quiet[1]
        renewals.append(rate * 1e6 / 3)
        changes.append((busy[0] - rate * busy[1]) / CHANGES * 1000)
        rows.append((count, rate * 100, renewals[-1], changes[-1], held.lapses))
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


async def _spend(group: list[fleet.Process], work: object) -> tuple[float, float]:
    before, started = gateway.read_cpu(group), time.monotonic()
    await work  # type: ignore[misc]
    return gateway.read_cpu(group) - before, time.monotonic() - started


async def _submit_changes(cluster: control.Cluster) -> None:
    built = cluster.fleet.build_configuration()
    version = 1
    for number in range(CHANGES):
        built.add_team("team", weight=number + 1)
        version = await cluster.propose(f"slope-{number}", str(built), version)
        await asyncio.sleep(CHANGE_SECONDS)


async def _measure_sidecar(outcome: outcomes.Outcome) -> None:
    rows: list[tuple[object, ...]] = []
    idle: list[float] = []
    bytes_idle: list[float] = []
    memory: list[float] = []
    loaded: list[float] = []
    for count in SIDECAR_GATEWAYS:
        async with sidecar.open_site(count) as site:
            await asyncio.sleep(SETTLE_SECONDS)
            phase = await site.measure(WATCH_SECONDS, 0)
            rows.append((count, 0.0, phase.cpu_percent, phase.bytes_per_second))
            idle.append(phase.cpu_percent)
            bytes_idle.append(phase.bytes_per_second)
            memory.append(phase.memory_mb)
            if count != SIDECAR_GATEWAYS[-1]:
                continue
            for rate in SIDECAR_RATES:
                phase = await site.measure(WATCH_SECONDS, rate)
                rows.append((count, rate, phase.cpu_percent, phase.bytes_per_second))
                loaded.append(phase.cpu_percent)
    headers = ("gateways", "tasks/s", "CPU %", "bytes/s")
    outcome.tables.append(outcomes.Table("Sidecar", headers, rows))
    sizes = [float(count) for count in SIDECAR_GATEWAYS]
    _add_fit(outcome, "sidecar idle CPU % by gateways", sizes, idle)
    _add_fit(outcome, "sidecar idle bytes/s by gateways", sizes, bytes_idle)
    _add_fit(outcome, "sidecar MB by gateways", sizes, memory)
    _add_fit(outcome, "sidecar CPU % by tasks/s", list(SIDECAR_RATES), loaded)
