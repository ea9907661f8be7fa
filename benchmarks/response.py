"""Response times compared with those of the clairvoyant queue."""

from __future__ import annotations

import attrs

from benchmarks import driver, firms, histograms, ideal, outcomes, trials

TARGETS = {50.0: 1.05, 99.0: 1.10, 99.9: 1.25}
CURVE_PERCENTILES = (50.0, 99.0)
BASELINE = "naive round robin"
DECLARED_LOAD = 0.9
DECLARED = {"exact": (1, 1), "x10": (10, 10), "/10": (0.1, 0.1), "random": (0.1, 10)}


@attrs.define(slots=True)
class Pool:
    """Times of all seeds at one load.

    Attributes:
        measured_ms: Response times of the product or the baseline in ms.
        ideal_ms: Response times of the clairvoyant queue in ms.
        lags_ms: Lag of the driver for each arrival in ms.
        failures: Number of arrivals without a correct answer.
    """

    measured_ms: list[float] = attrs.field(factory=list)
    ideal_ms: list[float] = attrs.field(factory=list)
    lags_ms: list[float] = attrs.field(factory=list)
    failures: int = 0

    def add(self, samples: list[driver.Sample], best: ideal.Schedule) -> None:
        """Add the samples of one run."""
        for sample in samples:
            self.measured_ms.append(sample.response_ms)
            self.ideal_ms.append(best.responses_ms[sample.arrival.number])
            self.lags_ms.append(sample.lag_ms)
        self.failures += trials.count_failures(samples)

    def compare(self, percentile: float) -> float:
        """Return the ratio of a percentile to that of the ideal response times."""
        measured = histograms.collect(self.measured_ms).read_percentile(percentile)
        best = histograms.collect(self.ideal_ms).read_percentile(percentile)
        return measured / best


async def run(options: trials.Options) -> outcomes.Outcome:
    """Measure the response times of each firm at each load.

    Args:
        options: Options of the run.
    """
    outcome = outcomes.Outcome("response", options.seed, options.seconds)
    for firm in options.firms:
        rows: list[tuple[object, ...]] = []
        curves: dict[str, outcomes.Curve] = {}
        async with trials.open_trial(firm) as trial:
            for load in options.loads:
                pool = await _measure(trial, trial.driver, options, load)
                rows.append(build_row(firm, load, "amaranthspar", pool))
                _add_measures(outcome, firm, load, pool)
                _add_points(curves, load, "amaranthspar", pool)
            if options.baseline:
                async with trials.open_naive(trial) as sender:
                    for load in options.loads:
                        pool = await _measure(trial, sender, options, load)
                        rows.append(build_row(firm, load, BASELINE, pool))
                        _add_points(curves, load, BASELINE, pool)
        _add_results(outcome, firm, rows, curves)
    return outcome


async def run_declared(options: trials.Options) -> outcomes.Outcome:
    """Measure with declared run times of jobs that are wrong by a factor of up to 10.

    Args:
        options: Options of the run; the load is fixed.
    """
    outcome = outcomes.Outcome("declared", options.seed, options.seconds)
    for firm in options.firms:
        rows = []
        arrivals = firms.generate(firm, options.seed, options.seconds, DECLARED_LOAD)
        best = ideal.schedule(arrivals, firm.total_slots)
        async with trials.open_trial(firm) as trial:
            for number, (label, factors) in enumerate(DECLARED.items()):
                declared = [
                    attrs.evolve(item, key=item.key and f"{number}-{item.key}")
                    for item in firms.add_declared_times(arrivals, *factors)
                ]
                trial.driver.samples.clear()
                await trial.driver.run(declared, f"{firm.name} {label}")
                pool = Pool()
                pool.add(trial.driver.samples, best)
                rows.append(build_row(firm, DECLARED_LOAD, label, pool))
        outcome.tables.append(build_table(f"Declared run times, {firm.name}", rows))
    return outcome


async def _measure(
    trial: trials.Trial, sender: driver.Driver, options: trials.Options, load: float
) -> Pool:
    pool = Pool()
    firm = trial.fleet.firm
    for seed in range(options.seed, options.seed + options.repeats):
        arrivals = firms.generate(firm, seed, options.seconds, load)
        sender.samples.clear()
        await sender.run(arrivals, f"{firm.name} {load:.0%} seed {seed}")
        pool.add(sender.samples, ideal.schedule(arrivals, firm.total_slots))
    return pool


def _add_measures(
    outcome: outcomes.Outcome, firm: firms.Firm, load: float, pool: Pool
) -> None:
    place = f"{firm.name} {load:.0%}"
    for percentile, target in TARGETS.items():
        name = f"{place} p{percentile:g} / ideal"
        measure = outcomes.Measure(name, pool.compare(percentile), target)
        outcome.measures.append(measure)
    lags = histograms.collect(pool.lags_ms)
    outcome.measures.append(outcomes.Measure(f"{place} failures", pool.failures, 0))
    name = f"{place} driver lag p99 ms"
    outcome.measures.append(outcomes.Measure(name, lags.read_percentile(99)))


def build_row(
    firm: firms.Firm, load: float, label: str, pool: Pool
) -> tuple[object, ...]:
    """Return a row for `build_table`.

    Args:
        firm: Firm whose workload ran.
        load: Load as a share of all slots.
        label: Name of the dispatcher.
        pool: Measured times.
    """
    measured = histograms.collect(pool.measured_ms)
    best = histograms.collect(pool.ideal_ms)
    cells: list[object] = []
    for percentile in TARGETS:
        cells += [
            measured.read_percentile(percentile),
            best.read_percentile(percentile),
        ]
        cells.append(pool.compare(percentile))
    count = len(pool.measured_ms)
    return (firm.name, f"{load:.0%}", label, count, *cells, pool.failures)


def build_table(title: str, rows: list[tuple[object, ...]]) -> outcomes.Table:
    """Return a table of rows that `build_row` returned."""
    headers = ["firm", "load", "dispatcher", "answers"]
    for percentile in TARGETS:
        name = f"p{percentile:g}"
        headers += [f"{name} ms", f"ideal {name} ms", "ratio"]
    headers.append("failures")
    return outcomes.Table(title, tuple(headers), rows)


def _add_points(
    curves: dict[str, outcomes.Curve], load: float, label: str, pool: Pool
) -> None:
    for name, times in ((label, pool.measured_ms), ("ideal queue", pool.ideal_ms)):
        distribution = histograms.collect(times)
        for percentile in CURVE_PERCENTILES:
            key = f"{name}, p{percentile:g}"
            curve = curves.setdefault(key, outcomes.Curve(key, [], []))
            if load * 100 not in curve.x:
                curve.x.append(load * 100)
                curve.y.append(distribution.read_percentile(percentile))


def _add_results(
    outcome: outcomes.Outcome,
    firm: firms.Firm,
    rows: list[tuple[object, ...]],
    curves: dict[str, outcomes.Curve],
) -> None:
    title = f"Response time, {firm.name}"
    outcome.tables.append(build_table(title, rows))
    for percentile in CURVE_PERCENTILES:
        suffix = f"p{percentile:g}"
        plot = outcomes.Plot(
            f"{title}, by load, {suffix}",
            "load (% of all slots)",
            "response time (ms)",
            [curve for name, curve in curves.items() if name.endswith(suffix)],
        )
        outcome.plots.append(plot)
