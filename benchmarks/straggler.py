"""Jobs with a straggler, which must be answered at their deadline.

The upstreams do not detect that a call was closed; the platform stops such tasks.
"""

from __future__ import annotations

import random

import attrs

from amaranthspar.upstreams import standin
from benchmarks import driver, firms, histograms, ideal, outcomes, trials

LOAD = 0.5
JOB_RATIO = 0.05
STRAGGLER_MS = 60_000.0
DEADLINE_MS = 5000
LATE_TARGET_MS = 250.0
HELD_TARGET_MS = 500.0
TARGETS = {50.0: 1.05, 99.0: 1.10}


async def run(options: trials.Options) -> outcomes.Outcome:
    """Run a workload in which a share of the jobs has one straggler.

    Args:
        options: Options of the run; the load is fixed.
    """
    outcome = outcomes.Outcome("straggler", options.seed, options.seconds)
    for firm in options.firms:
        arrivals = generate(firm, options)
        async with trials.open_trial(firm) as trial:
            for number in range(firm.upstreams):
                await trial.set_behaviour(number, deaf=True)
            earlier_count = len(await trial.read_spans())
            await trial.driver.run(arrivals, "straggler")
            spans = await trial.read_spans(earlier_count)
            _evaluate(outcome, firm, arrivals, trial.driver.samples, spans)
            delayed_starts = await trial.count_delayed_starts()
            name = f"{firm.name} starts that found no free slot"
            outcome.measures.append(outcomes.Measure(name, delayed_starts, 0))
    return outcome


def generate(firm: firms.Firm, options: trials.Options) -> list[firms.Arrival]:
    """Return arrivals in which some jobs have a straggler and a deadline."""
    rng = random.Random(options.seed)
    result: list[firms.Arrival] = []
    for item in firms.generate(firm, options.seed, options.seconds, LOAD):
        if not item.is_job or rng.random() >= JOB_RATIO:
            result.append(item)
            continue
        sleeps = (STRAGGLER_MS, *item.sleeps_ms[1:])
        late = attrs.evolve(item, sleeps_ms=sleeps, deadline_ms=DEADLINE_MS)
        result.append(late)
    return result


def _evaluate(
    outcome: outcomes.Outcome,
    firm: firms.Firm,
    arrivals: list[firms.Arrival],
    samples: list[driver.Sample],
    spans: list[standin.Span],
) -> None:
    straggler_numbers = {item.number for item in arrivals if item.deadline_ms}
    held = [
        span.ended_ms - span.started_ms - DEADLINE_MS
        for span in spans
        if span.echo[0] in straggler_numbers
    ]
    late = [item for item in samples if item.arrival.number in straggler_numbers]
    others = [item for item in samples if item.arrival.number not in straggler_numbers]
    starts = [(span.echo[0], span.echo[1]) for span in spans]
    shortened = [
        attrs.evolve(
            item,
            sleeps_ms=tuple(min(sleep, DEADLINE_MS) for sleep in item.sleeps_ms),
        )
        if item.deadline_ms
        else item
        for item in arrivals
    ]
    best = ideal.schedule(shortened, firm.total_slots)
    overdue = max((item.response_ms - DEADLINE_MS for item in late), default=0.0)
    place = firm.name
    outcome.measures += [
        outcomes.Measure(f"{place} jobs with a straggler", len(late)),
        outcomes.Measure(f"{place} answered late by ms", overdue, LATE_TARGET_MS),
        outcomes.Measure(f"{place} slot held late by ms", max(held), HELD_TARGET_MS),
        outcomes.Measure(f"{place} started twice", len(starts) - len(set(starts)), 0),
        outcomes.Measure(f"{place} others failed", trials.count_failures(others), 0),
        outcomes.Measure(f"{place} driver lag p99 ms", driver.measure_lag(samples)),
    ]
    measured = histograms.collect(item.response_ms for item in others)
    expected = histograms.collect(
        best.responses_ms[item.arrival.number] for item in others
    )
    for percentile, target in TARGETS.items():
        top = measured.read_percentile(percentile)
        ratio = top / expected.read_percentile(percentile)
        name = f"{place} others p{percentile:g} / ideal"
        outcome.measures.append(outcomes.Measure(name, ratio, target))
    outcome.notes += trials.describe_failures(others)
