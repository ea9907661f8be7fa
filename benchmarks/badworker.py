"""Effects of one worker that fails all its tasks at once, or that is slow."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import attrs

from amaranthspar.upstreams import standin
from benchmarks import driver, firms, histograms, ideal, outcomes, trials

LOAD = 0.6
FAULT_RATIO = 0.25
ADAPT_MS = 2000.0
SLOW_FACTOR = 5.0
PROBES_PER_SECOND = 2.0
BAD_UPSTREAM = 0


@attrs.frozen(slots=True)
class Result:
    """Measurements of one run with a bad worker.

    Attributes:
        bad_starts_per_second: Starts per second on the bad worker, after a time to
            adapt.
        fair_starts_per_second: Starts per second that an equal share would be.
        failures: Arrivals from the fault on without a correct answer.
        p99_ratio: 99th percentile of response times, as a ratio of that of the
            clairvoyant queue over all slots but those of the bad worker.
        lag_ms: Lag of the driver at the 99th percentile in ms.
    """

    bad_starts_per_second: float
    fair_starts_per_second: float
    failures: int
    p99_ratio: float
    lag_ms: float


async def run(options: trials.Options) -> outcomes.Outcome:
    """Let one upstream fail, then be slow, and compare with the baseline.

    Args:
        options: Options of the run; the load is fixed.
    """
    outcome = outcomes.Outcome("badworker", options.seed, options.seconds)
    faults = {
        "failing": standin.Behaviour(failing=True),
        "slow": standin.Behaviour(slow_factor=SLOW_FACTOR),
    }
    rows: list[tuple[object, ...]] = []
    for firm in options.firms:
        async with trials.open_trial(firm) as trial:
            for name, fault in faults.items():
                result = await _measure(trial, trial.driver, options, fault)
                place = f"{firm.name}, {name}"
                rows.append((place, "amaranthspar", *attrs.astuple(result)))
                _add_measures(outcome, place, result, name)
            if options.baseline:
                async with trials.open_naive(trial) as sender:
                    for name, fault in faults.items():
                        result = await _measure(trial, sender, options, fault)
                        place = f"{firm.name}, {name}"
                        rows.append((place, "naive", *attrs.astuple(result)))
    headers = (
        "worker",
        "dispatcher",
        "starts/s",
        "fair share/s",
        "failures",
        "p99 / ideal without it",
        "driver lag p99 ms",
    )
    outcome.tables.append(outcomes.Table("One bad worker", headers, rows))
    return outcome


def _add_measures(
    outcome: outcomes.Outcome, place: str, result: Result, name: str
) -> None:
    probes = (
        PROBES_PER_SECOND
        if name == "failing"
        else result.fair_starts_per_second / SLOW_FACTOR
    )
    outcome.measures += [
        outcomes.Measure(
            f"{place}: its starts a second", result.bad_starts_per_second, probes
        ),
        outcomes.Measure(f"{place}: failed answers", result.failures),
        outcomes.Measure(f"{place}: p99 / ideal without it", result.p99_ratio),
        outcomes.Measure(f"{place}: driver lag p99 ms", result.lag_ms),
    ]


async def _measure(
    trial: trials.Trial,
    sender: driver.Driver,
    options: trials.Options,
    fault: standin.Behaviour,
) -> Result:
    firm = trial.fleet.firm
    arrivals = firms.generate(firm, options.seed, options.seconds, LOAD)
    arrivals = [attrs.evolve(item, key="") for item in arrivals]
    earlier_count = len(await trial.read_spans())
    sender.samples.clear()
    fault_ms = options.seconds * FAULT_RATIO * 1000

    async def break_worker() -> None:
        await asyncio.sleep(fault_ms / 1000)
        await trial.set_behaviour(BAD_UPSTREAM, **attrs.asdict(fault))

    await asyncio.gather(sender.run(arrivals, "bad worker"), break_worker())
    await trial.set_behaviour(BAD_UPSTREAM)
    spans = await trial.read_spans(earlier_count)
    return _evaluate(firm, arrivals, sender, spans, fault_ms)


def _evaluate(
    firm: firms.Firm,
    arrivals: Sequence[firms.Arrival],
    sender: driver.Driver,
    spans: list[standin.Span],
    fault_ms: float,
) -> Result:
    from_ms = fault_ms + ADAPT_MS
    last_ms = arrivals[-1].at_ms
    observed = [
        span
        for span in spans
        if from_ms < span.started_ms - sender.started_ms <= last_ms
    ]
    bad = f"upstream-{BAD_UPSTREAM + 1}"
    seconds = (last_ms - from_ms) / 1000
    bad_starts_per_second = sum(span.upstream == bad for span in observed) / seconds
    best = ideal.schedule(arrivals, firm.total_slots - firm.slots)
    later = [item for item in sender.samples if item.arrival.at_ms > from_ms]
    measured = histograms.collect(item.response_ms for item in later)
    expected = histograms.collect(
        best.responses_ms[item.arrival.number] for item in later
    )
    ratio = measured.read_percentile(99) / expected.read_percentile(99)
    failed = [item for item in sender.samples if item.arrival.at_ms > fault_ms]
    return Result(
        bad_starts_per_second,
        len(observed) / seconds / firm.upstreams,
        trials.count_failures(failed),
        ratio,
        driver.measure_lag(sender.samples),
    )
