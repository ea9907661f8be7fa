"""Messages between gateways and sidecars beyond the necessary minimum."""

from __future__ import annotations

import collections

from benchmarks import driver, firms, outcomes, trials

TARGET = 0.05
LEAST_MESSAGES = 2
SENT = "sent.peer."
ROLES = ("gateway", "sidecar")
LIVENESS = ("Heartbeat", "HeartbeatReply")

Counts = collections.Counter[str]


async def run(options: trials.Options) -> outcomes.Outcome:
    """Count messages by kind at each load.

    The minimum is one start message and one result message for each request, and for
    each batch of a job's tasks that a sidecar received in one message. The difference
    between all messages and one start and one result for each task is reported as
    well; it is below 0 if batches save more messages than are added otherwise.

    Args:
        options: Options of the run.
    """
    outcome = outcomes.Outcome("waste", options.seed, options.seconds)
    for firm in options.firms:
        bars: dict[str, Counts] = {}
        rows: list[tuple[object, ...]] = []
        async with trials.open_trial(firm) as trial:
            for load in options.loads:
                counts, tasks, lag = await _measure(trial, options, load)
                label = f"{firm.name} {load:.0%}"
                bars[label] = counts
                rows += _list_rows(label, counts, tasks)
                _add_measures(outcome, label, counts, tasks)
                name = f"{label} driver lag p99 ms"
                outcome.measures.append(outcomes.Measure(name, lag))
        headers = ("load", "message", "sent", "a task")
        title = f"Messages by kind, {firm.name}"
        outcome.tables.append(outcomes.Table(title, headers, rows))
        outcome.plots.append(_plot(title, bars))
    return outcome


async def _measure(
    trial: trials.Trial, options: trials.Options, load: float
) -> tuple[Counts, int, float]:
    firm = trial.fleet.firm
    await trial.settle_counters()
    before = _read_counts(trial)
    tasks = 0
    for seed in range(options.seed, options.seed + options.repeats):
        arrivals = firms.generate(firm, seed, options.seconds, load)
        await trial.driver.run(arrivals, f"{firm.name} {load:.0%} seed {seed}")
        tasks += sum(len(arrival.sleeps_ms) for arrival in arrivals)
    await trial.settle_counters()
    lag = driver.measure_lag(trial.driver.samples)
    trial.driver.samples.clear()
    return _read_counts(trial) - before, tasks, lag


def _read_counts(trial: trials.Trial) -> Counts:
    return collections.Counter(trial.counters.sum_metric(SENT, ROLES))


def _add_measures(
    outcome: outcomes.Outcome, label: str, counts: Counts, tasks: int
) -> None:
    total = sum(counts.values())
    liveness = sum(counts[kind] for kind in LIVENESS)
    least = LEAST_MESSAGES * counts["StartTasks"]
    figures = {
        "messages a task": total / tasks,
        "messages a task beyond a start and a result": total / tasks - LEAST_MESSAGES,
        "heartbeats a task": liveness / tasks,
        "wasted a task without heartbeats": (total - liveness - least) / tasks,
    }
    wasted = outcomes.Measure(f"{label} wasted a task", (total - least) / tasks, TARGET)
    outcome.measures.append(wasted)
    for name, figure in figures.items():
        outcome.measures.append(outcomes.Measure(f"{label} {name}", figure))


def _list_rows(label: str, counts: Counts, tasks: int) -> list[tuple[object, ...]]:
    return [
        (label, kind, count, count / tasks) for kind, count in sorted(counts.items())
    ]


def _plot(title: str, bars: dict[str, Counts]) -> outcomes.Plot:
    kinds = tuple(sorted({kind for counts in bars.values() for kind in counts}))
    curves = [
        outcomes.Curve(label, [], [float(counts[kind]) for kind in kinds])
        for label, counts in bars.items()
    ]
    return outcomes.Plot(title, "messages", "", curves, bars=kinds)
