"""Changes of the configuration: cost, rate and time until in force everywhere."""

from __future__ import annotations

import asyncio
import os
import statistics
import time

from benchmarks import firms, fleet, histograms, loglines, outcomes, timing, trials

TARGET_MS = 3000
SPACED_CHANGES = 20
SPACED_SECONDS = 0.7
RAPID_CHANGES = 100
SYNCED_WRITES = 100
SYNCED_BYTES = 4096
ADOPTION_SECONDS = 4.0


async def run(options: trials.Options) -> outcomes.Outcome:
    """Submit changes one after another, spaced and without a pause.

    Args:
        options: Options of the run.
    """
    outcome = outcomes.Outcome("config", options.seed, options.seconds)
    for firm in options.firms:
        async with trials.open_trial(firm) as trial:
            in_force = await _measure_adoption(trial)
            latencies = await _change_rapidly(trial)
            synced_ms = _measure_synced_write(trial)
        _add_measures(outcome, firm, in_force, latencies, synced_ms)
    return outcome


def _add_measures(
    outcome: outcomes.Outcome,
    firm: firms.Firm,
    in_force: list[float],
    latencies: list[float],
    synced_ms: float,
) -> None:
    times = histograms.collect(latencies)
    worst = max(in_force)
    rate = 1000 * len(latencies) / sum(latencies)
    middle = times.read_percentile(50)
    outcome.measures += [
        outcomes.Measure(
            f"{firm.name} in force everywhere, worst ms", worst, TARGET_MS
        ),
        outcomes.Measure(
            f"{firm.name} in force everywhere, median ms", statistics.median(in_force)
        ),
        outcomes.Measure(f"{firm.name} change p50 ms", middle),
        outcomes.Measure(f"{firm.name} change p99 ms", times.read_percentile(99)),
        outcomes.Measure(f"{firm.name} changes a second, one by one", rate),
        outcomes.Measure(f"{firm.name} one synced write ms", synced_ms),
        outcomes.Measure(f"{firm.name} change / synced write", middle / synced_ms),
    ]


async def _measure_adoption(trial: trials.Trial) -> list[float]:
    accepted: dict[int, float] = {}
    for number in range(SPACED_CHANGES):
        await trial.change_configuration(
            lambda current, number=number: current.add_team("t", weight=number + 2)
        )
        fetched = await trial.driver.clients[0].fetch_configuration()
        accepted[fetched.version] = time.time() * 1000
        await asyncio.sleep(SPACED_SECONDS)
    await asyncio.sleep(ADOPTION_SECONDS)
    paths = [
        trial.folder / f"{item.name}.log"
        for prefix in ("gateway", "sidecar")
        for item in trial.fleet.list_processes(prefix)
    ]
    result: list[float] = []
    for version, accepted_ms in accepted.items():
        held = [loglines.find_adoption(path, version) for path in paths]
        latest = max(float("inf") if item is None else item for item in held)
        result.append(max(0.0, latest - accepted_ms))
    return result


async def _change_rapidly(trial: trials.Trial) -> list[float]:
    latencies: list[float] = []
    operator = trial.driver.clients[0]
    fetched = await operator.fetch_configuration()
    version = fetched.version
    for number in range(RAPID_CHANGES):
        text = f"{fetched.text}\n[team rapid]\nweight = {number + 1}\n"
        started_ms = timing.read_ms()
        decided = await operator.submit_configuration(text, version, f"rapid-{number}")
        latencies.append(timing.read_ms() - started_ms)
        if decided.outcome != "accepted":
            raise fleet.FleetError(f"configuration {decided.outcome}")
        version = decided.version
    return latencies


def _measure_synced_write(trial: trials.Trial) -> float:
    times: list[float] = []
    path = trial.folder / "synced"
    with path.open("ab", buffering=0) as file:
        for _ in range(SYNCED_WRITES):
            started_ms = timing.read_ms()
            file.write(bytes(SYNCED_BYTES))
            os.fsync(file.fileno())
            times.append(timing.read_ms() - started_ms)
    return statistics.median(times)
