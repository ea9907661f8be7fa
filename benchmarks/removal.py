"""Time of the last start in a failure domain whose sidecars miss its removal."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

from benchmarks import driver, firms, outcomes, timing, trials

TARGET_MS = 3000
LOAD = 0.8
ROUNDS = 3
SETTLE_SECONDS = 4.0
WATCH_SECONDS = 5.0
BEFORE_MS = 1000.0
STOPPED_SECONDS = 2.5
ROUND_SECONDS = SETTLE_SECONDS + WATCH_SECONDS

Remove = Callable[[trials.Trial], Awaitable[float]]


async def run(options: trials.Options) -> outcomes.Outcome:
    """Take a failure domain out of service in two situations.

    Silent links: its sidecars and one gateway are separated from the controllers, but
    not from each other. Stopped sidecars: its sidecars are suspended, and resumed
    shortly before their leases expire.

    Args:
        options: Options of the run; the load is fixed.
    """
    outcome = outcomes.Outcome("removal", options.seed, options.seconds)
    variants: dict[str, Remove] = {
        "silent links": _remove_silently,
        "stopped sidecars": _remove_while_stopped,
    }
    rows: list[tuple[object, ...]] = []
    for firm in options.firms:
        for name, remove in variants.items():
            place = f"{firm.name}, {name}"
            starts, samples = await _measure(firm, options, remove)
            rows += [(place, *row) for row in starts]
            worst = max(row[1] for row in starts)
            lag_ms = driver.measure_lag(samples)
            false_not_run = [
                item
                for item in samples
                if item.outcome == "not-run" and item.is_correct
            ]
            outcome.measures += [
                outcomes.Measure(f"{place} last start ms", worst, TARGET_MS),
                outcomes.Measure(f"{place} driver lag p99 ms", lag_ms),
                outcomes.Measure(
                    f"{place} answers marked not-run", len(false_not_run), 0
                ),
            ]
    headers = (
        "variant",
        "round",
        "last start ms",
        "starts after",
        "starts in 1 s before",
    )
    outcome.tables.append(outcomes.Table("Starts in the domain", headers, rows))
    return outcome


async def _measure(
    firm: firms.Firm, options: trials.Options, remove: Remove
) -> tuple[list[tuple[int, float, int, int]], list[driver.Sample]]:
    domain = firm.domains[0]
    seconds = ROUNDS * ROUND_SECONDS + SETTLE_SECONDS
    arrivals = firms.generate(firm, options.seed, seconds, LOAD)
    rows: list[tuple[int, float, int, int]] = []
    isolated_names = frozenset(["gateway-1", *list_sidecars(firm, domain)])
    async with trials.open_trial(firm, isolated_processes=isolated_names) as trial:
        trial.operator = 1
        driving = asyncio.create_task(trial.driver.run(arrivals, "removal"))
        for number in range(1, ROUNDS + 1):
            await asyncio.sleep(SETTLE_SECONDS)
            before_ms = timing.read_ms() - BEFORE_MS
            accepted_ms = await remove(trial)
            await asyncio.sleep(WATCH_SECONDS)
            spans = await trial.read_spans()
            starts = [
                span.started_ms - accepted_ms
                for span in spans
                if span.failure_domain == domain and span.started_ms > accepted_ms
            ]
            starts_before = sum(
                before_ms < span.started_ms <= accepted_ms
                for span in spans
                if span.failure_domain == domain
            )
            rows.append((number, max(starts, default=0.0), len(starts), starts_before))
            trial.fleet.set_partition(active=False)
            await trial.change_domain(domain, "in")
        await driving
        return rows, trial.driver.samples


def list_sidecars(firm: firms.Firm, domain: str) -> list[str]:
    """Return the process names of the sidecars of a failure domain."""
    return [
        f"sidecar-{number + 1}"
        for number in range(firm.upstreams)
        if firm.find_domain(number) == domain
    ]


async def _remove_silently(trial: trials.Trial) -> float:
    trial.fleet.set_partition(active=True)
    domain = trial.fleet.firm.domains[0]
    return await trial.change_domain(domain, "out")


async def _remove_while_stopped(trial: trials.Trial) -> float:
    firm = trial.fleet.firm
    names = list_sidecars(firm, firm.domains[0])
    for name in names:
        trial.fleet.processes[name].send_signal(signal.SIGSTOP)
    accepted_ms = await trial.change_domain(firm.domains[0], "out")
    await asyncio.sleep(STOPPED_SECONDS)
    for name in names:
        trial.fleet.processes[name].send_signal(signal.SIGCONT)
    return accepted_ms
