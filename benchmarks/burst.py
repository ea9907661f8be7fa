"""Response times with arrivals at ten times the usual rate for two seconds."""

from __future__ import annotations

from benchmarks import driver, firms, histograms, ideal, outcomes, response, trials

LOAD = 0.4
FACTOR = 10.0
BURST_MS = 2000.0
BURST_START = 0.25
STEP_MS = 500.0
TARGETS = {50.0: 1.05, 99.0: 1.10, 99.9: 1.25}


async def run(options: trials.Options) -> outcomes.Outcome:
    """Send one burst and compare response times with the clairvoyant queue.

    Args:
        options: Options of the run; the load is fixed.
    """
    outcome = outcomes.Outcome("burst", options.seed, options.seconds)
    rows: list[tuple[object, ...]] = []
    for firm in options.firms:
        arrivals = generate(firm, options)
        best = ideal.schedule(arrivals, firm.total_slots)
        async with trials.open_trial(firm) as trial:
            first = await _measure(trial.driver, arrivals, best)
            samples = list(trial.driver.samples)
            pools = {"amaranthspar": first}
            if options.baseline:
                async with trials.open_naive(trial) as sender:
                    pools[response.BASELINE] = await _measure(sender, arrivals, best)
        for label, pool in pools.items():
            rows.append(response.build_row(firm, LOAD, label, pool))
        _add_measures(outcome, firm, first)
        outcome.plots.append(_plot(firm, samples, best))
    outcome.tables.append(response.build_table("Burst", rows))
    return outcome


def generate(firm: firms.Firm, options: trials.Options) -> list[firms.Arrival]:
    """Return arrivals with one burst."""
    start_ms = options.seconds * BURST_START * 1000

    def boost(time_ms: float) -> float:
        return FACTOR if start_ms <= time_ms < start_ms + BURST_MS else 1.0

    return firms.generate(firm, options.seed, options.seconds, LOAD, boost)


async def _measure(
    sender: driver.Driver, arrivals: list[firms.Arrival], best: ideal.Schedule
) -> response.Pool:
    pool = response.Pool()
    sender.samples.clear()
    await sender.run(arrivals, "burst")
    pool.add(sender.samples, best)
    return pool


def _add_measures(
    outcome: outcomes.Outcome, firm: firms.Firm, pool: response.Pool
) -> None:
    for percentile, target in TARGETS.items():
        name = f"{firm.name} p{percentile:g} / ideal"
        measure = outcomes.Measure(name, pool.compare(percentile), target)
        outcome.measures.append(measure)
    lag_ms = histograms.collect(pool.lags_ms).read_percentile(99)
    outcome.measures += [
        outcomes.Measure(f"{firm.name} failures", pool.failures, 0),
        outcomes.Measure(f"{firm.name} driver lag p99 ms", lag_ms),
    ]


def _plot(
    firm: firms.Firm, samples: list[driver.Sample], best: ideal.Schedule
) -> outcomes.Plot:
    measured: dict[int, list[float]] = {}
    expected: dict[int, list[float]] = {}
    for sample in samples:
        step = int(sample.arrival.at_ms / STEP_MS)
        measured.setdefault(step, []).append(sample.response_ms)
        expected.setdefault(step, []).append(best.responses_ms[sample.arrival.number])
    curves = []
    for label, times in (("amaranthspar", measured), ("ideal queue", expected)):
        steps = sorted(times)
        x = [step * STEP_MS / 1000 for step in steps]
        y = [sum(times[step]) / len(times[step]) for step in steps]
        curves.append(outcomes.Curve(label, x, y))
    title = f"Mean response time through a burst, {firm.name}"
    return outcomes.Plot(title, "time of arrival (s)", "response time (ms)", curves)
