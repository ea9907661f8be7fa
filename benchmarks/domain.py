"""Work done while a failure domain is taken out of service and back in."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import aiohttp
import attrs

from amaranthspar.upstreams import standin
from benchmarks import driver, firms, ideal, outcomes, timing, trials

TARGET = 0.99
LOAD = 0.95
OUT_RATIO = 0.25
IN_RATIO = 0.65
STEP_MS = 250.0

Span = tuple[float, float]
ChangeDomain = Callable[[str], Awaitable[float]]


@attrs.frozen(slots=True)
class Result:
    """Measurements of one run through the change; times count from the run's start.

    Attributes:
        out_ms: Time in ms at which the removal of the domain was accepted.
        in_ms: Time in ms at which the return of the domain was accepted.
        spans: Start and end of each task on the stand-ins.
        best: Start and end of each task in the clairvoyant queue.
        failures: Arrivals without a correct answer.
        last_start_ms: Time in ms from the removal to the last start in the domain.
        lag_ms: Lag of the driver at the 99th percentile in ms.
        notes: Descriptions of the first few failures.
    """

    out_ms: float
    in_ms: float
    spans: list[Span]
    best: list[Span]
    failures: int
    last_start_ms: float
    lag_ms: float
    notes: list[str]

    def compare_work(self, to_ms: float) -> float:
        """Return the work done from the removal to a time, as a ratio of the ideal."""
        done = ideal.measure_between(self.spans, self.out_ms, to_ms)
        return done / ideal.measure_between(self.best, self.out_ms, to_ms)


async def run(options: trials.Options) -> outcomes.Outcome:
    """Take a failure domain out of service and back in under load.

    Args:
        options: Options of the run; the load is fixed.
    """
    outcome = outcomes.Outcome("domain", options.seed, options.seconds)
    end_ms = options.seconds * 1000
    rows: list[tuple[object, ...]] = []
    for firm in options.firms:
        for seed in range(options.seed, options.seed + options.repeats):
            async with trials.open_trial(firm) as trial:
                place = f"{firm.name} seed {seed}"
                first = await _run_product(trial, options, seed)
                rows.append(_describe(place, "amaranthspar", first, end_ms))
                _add_measures(outcome, place, first, end_ms)
                results = {"amaranthspar": first}
                if options.baseline:
                    naive = await _run_naive(trial, options, seed)
                    results["naive round robin"] = naive
                    rows.append(_describe(place, "naive round robin", naive, end_ms))
            outcome.plots.append(_plot(place, results, end_ms))
    headers = ("run", "dispatcher", "work / ideal", "failures", "last start ms")
    outcome.tables.append(outcomes.Table("Domain out and in", headers, rows))
    return outcome


async def _run_product(
    trial: trials.Trial, options: trials.Options, seed: int
) -> Result:
    domain = trial.fleet.firm.domains[0]

    async def change_domain(state: str) -> float:
        return await trial.change_domain(domain, state)

    return await _measure_change(trial, trial.driver, options, seed, change_domain)


async def _run_naive(trial: trials.Trial, options: trials.Options, seed: int) -> Result:
    domain = trial.fleet.firm.domains[0]
    async with trials.open_naive(trial) as sender:
        url = f"http://{trial.fleet.processes['naive'].address}/domains/{domain}"

        async def change_domain(state: str) -> float:
            async with (
                aiohttp.ClientSession() as session,
                session.put(f"{url}/{state}") as answer,
            ):
                answer.raise_for_status()
            return timing.read_ms()

        return await _measure_change(trial, sender, options, seed, change_domain)


async def _measure_change(
    trial: trials.Trial,
    sender: driver.Driver,
    options: trials.Options,
    seed: int,
    change_domain: ChangeDomain,
) -> Result:
    firm = trial.fleet.firm
    arrivals = firms.generate(firm, seed, options.seconds, LOAD)
    earlier_count = len(await trial.read_spans())
    sender.samples.clear()

    async def change() -> Span:
        await asyncio.sleep(options.seconds * OUT_RATIO)
        out_ms = await change_domain("out")
        await asyncio.sleep(options.seconds * (IN_RATIO - OUT_RATIO))
        return out_ms, await change_domain("in")

    driving = sender.run(arrivals, f"{firm.name} seed {seed}")
    _, (out_ms, in_ms) = await asyncio.gather(driving, change())
    runs = await trial.read_spans(earlier_count)
    return _evaluate(firm, arrivals, sender, runs, (out_ms, in_ms))


def _evaluate(
    firm: firms.Firm,
    arrivals: Sequence[firms.Arrival],
    sender: driver.Driver,
    runs: list[standin.Span],
    times: Span,
) -> Result:
    start_ms = sender.started_ms
    out_ms, in_ms = times[0] - start_ms, times[1] - start_ms
    domain = firm.domains[0]
    numbers = range(firm.upstreams)
    lost_slots = (
        sum(firm.find_domain(number) == domain for number in numbers) * firm.slots
    )
    outage = ideal.Outage(lost_slots, out_ms, in_ms)
    best = ideal.schedule(arrivals, firm.total_slots, outage)
    starts = [
        run.started_ms - times[0]
        for run in runs
        if run.failure_domain == domain and times[0] < run.started_ms < times[1]
    ]
    return Result(
        out_ms,
        in_ms,
        [(run.started_ms - start_ms, run.ended_ms - start_ms) for run in runs],
        [(span.started_ms, span.ended_ms) for span in best.spans],
        trials.count_failures(sender.samples),
        max(starts, default=0.0),
        driver.measure_lag(sender.samples),
        trials.describe_failures(sender.samples),
    )


def _add_measures(
    outcome: outcomes.Outcome, place: str, result: Result, end_ms: float
) -> None:
    ratio = result.compare_work(end_ms)
    outcome.measures += [
        outcomes.Measure(f"{place} work / ideal", ratio, TARGET, outcomes.AT_LEAST),
        outcomes.Measure(f"{place} requests cut off", result.failures, 0),
        outcomes.Measure(f"{place} last start ms", result.last_start_ms, 3000),
        outcomes.Measure(f"{place} driver lag p99 ms", result.lag_ms),
    ]
    outcome.notes += result.notes


def _describe(
    place: str, label: str, result: Result, end_ms: float
) -> tuple[object, ...]:
    ratio = result.compare_work(end_ms)
    return (place, label, ratio, result.failures, result.last_start_ms)


def _plot(place: str, results: dict[str, Result], end_ms: float) -> outcomes.Plot:
    times = [step * STEP_MS for step in range(1, int(end_ms / STEP_MS) + 1)]
    first = next(iter(results.values()))
    lines = {label: result.spans for label, result in results.items()}
    lines["ideal queue"] = first.best
    curves = [
        outcomes.Curve(
            label, [time / 1000 for time in times], _measure_rate(spans, times)
        )
        for label, spans in lines.items()
    ]
    marks = {"out": first.out_ms / 1000, "in": first.in_ms / 1000}
    title = f"Busy slots through a domain change, {place}"
    return outcomes.Plot(title, "time (s)", "busy slots", curves, marks=marks)


def _measure_rate(spans: list[Span], times: list[float]) -> list[float]:
    work = [0.0, *(ideal.measure_work(spans, time) for time in times)]
    pairs = zip(work, work[1:], strict=False)
    return [(later - earlier) / STEP_MS for earlier, later in pairs]
