"""Moves of desks between two homes under load."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Iterable

import attrs

from amaranthspar import configuration
from amaranthspar.upstreams import standin
from benchmarks import audit, driver, firms, fleet, histograms, outcomes, trials

LOAD = 0.5
DESKS = 8
LEDGER_UPSTREAMS = (8, 9)
LEDGER = "ledger"
MAIN = "main"
MOVE_SECONDS = 3.0
STOPPED_SECONDS = 2.0
SERVICE = "hold"
RUN_MS = (50.0, 300.0)


async def run(options: trials.Options) -> outcomes.Outcome:
    """Move all desks back and forth, and suspend a sidecar at every third move.

    Args:
        options: Options of the run; the load is fixed.
    """
    outcome = outcomes.Outcome("desk", options.seed, options.seconds)
    for firm in options.firms:
        groups = dict.fromkeys(LEDGER_UPSTREAMS, LEDGER)
        desks = {f"desk-{number}": LEDGER for number in range(DESKS)}
        async with trials.open_trial(firm, groups=groups, desks=desks) as trial:
            earlier_count = len(await trial.read_spans())
            arrivals = generate(options)
            moving = asyncio.create_task(_move_desks(trial))
            await trial.driver.run(arrivals, "desk")
            moving.cancel()
            spans = await trial.read_spans(earlier_count)
            _evaluate(outcome, firm, arrivals, trial.driver.samples, spans)
    return outcome


def generate(options: trials.Options) -> list[firms.Arrival]:
    """Return arrivals of the service hold, with a key each, for random desks."""
    rng = random.Random(options.seed)
    slots = len(LEDGER_UPSTREAMS) * firms.SLOTS
    rate = LOAD * slots / (sum(RUN_MS) / 2)
    result: list[firms.Arrival] = []
    now_ms = rng.expovariate(rate)
    while now_ms < options.seconds * 1000:
        number = len(result)
        sleeps = (round(rng.uniform(*RUN_MS), 1),)
        desk = f"desk-{rng.randrange(DESKS)}"
        key = f"desk-{options.seed}-{number}"
        hold = firms.Arrival(number, now_ms, SERVICE, sleeps, key=key, desk=desk)
        result.append(hold)
        now_ms += rng.expovariate(rate)
    return result


async def _move_desks(trial: trials.Trial) -> None:
    moves = 0
    while True:
        await asyncio.sleep(MOVE_SECONDS)
        moves += 1
        home = MAIN if moves % 2 else LEDGER

        def move(current: configuration.Configuration, home: str = home) -> None:
            for number in range(DESKS):
                current.add_desk(f"desk-{number}", home=home)

        if moves % 3 == 0:
            asyncio.get_running_loop().create_task(_pause_ledger(trial))
        await trial.change_configuration(move)


async def _pause_ledger(trial: trials.Trial) -> None:
    sidecar = trial.fleet.processes[f"sidecar-{LEDGER_UPSTREAMS[0] + 1}"]
    sidecar.send_signal(signal.SIGSTOP)
    await asyncio.sleep(STOPPED_SECONDS)
    sidecar.send_signal(signal.SIGCONT)


def _evaluate(
    outcome: outcomes.Outcome,
    firm: firms.Firm,
    arrivals: list[firms.Arrival],
    samples: list[driver.Sample],
    spans: list[standin.Span],
) -> None:
    desks = {item.number: item.desk for item in arrivals}
    times = histograms.collect(
        item.response_ms - item.arrival.sleeps_ms[0] for item in samples
    )
    started = {span.echo[0] for span in spans}
    lost = sum(
        item.is_correct and item.arrival.number not in started for item in samples
    )
    findings = audit.check(samples, spans)
    outcome.measures += [
        *findings.list_measures(firm.name),
        outcomes.Measure(f"{firm.name} holds", len(samples)),
        outcomes.Measure(f"{firm.name} answered without a start", lost, 0),
        outcomes.Measure(
            f"{firm.name} starts while the desk ran at its other home",
            count_overlaps(desks, spans),
            0,
        ),
        outcomes.Measure(f"{firm.name} wait p50 ms", times.read_percentile(50)),
        outcomes.Measure(f"{firm.name} wait p99 ms", times.read_percentile(99)),
        outcomes.Measure(f"{firm.name} longest wait ms", times.read_max()),
        outcomes.Measure(f"{firm.name} driver lag p99 ms", driver.measure_lag(samples)),
    ]
    outcome.notes += trials.describe_failures(samples)


@attrs.define(slots=True)
class _LatestEnds:
    """Latest end in ms of a desk's tasks, by whether they ran at the ledger home."""

    ended_ms: dict[bool, int] = attrs.field(factory=lambda: {True: 0, False: 0})


def count_overlaps(desks: dict[int, str], spans: Iterable[standin.Span]) -> int:
    """Return how many tasks started while their desk ran at its other home.

    Args:
        desks: Desk of each arrival, by its number.
        spans: Spans of the tasks in the order of their starts.
    """
    ledger = {fleet.name_upstream(number) for number in LEDGER_UPSTREAMS}
    homes: dict[str, _LatestEnds] = {}
    overlaps = 0
    for span in spans:
        latest = homes.setdefault(desks[span.echo[0]], _LatestEnds())
        is_ledger = span.upstream in ledger
        overlaps += span.started_ms < latest.ended_ms[not is_ledger]
        latest.ended_ms[is_ledger] = max(latest.ended_ms[is_ledger], span.ended_ms)
    return overlaps
