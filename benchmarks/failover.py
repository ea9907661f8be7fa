"""Failover of the leading controller under load."""

from __future__ import annotations

import asyncio
import signal
import time

import attrs

from amaranthspar.clients import client
from benchmarks import driver, firms, fleet, loglines, outcomes, trials

LOAD = 0.5
SETTLE_SECONDS = 4.0
WATCH_SECONDS = 6.0
POLL_SECONDS = 0.02
VARIANTS = {"killed": signal.SIGKILL, "silent": signal.SIGSTOP}


@attrs.frozen(slots=True)
class Loss:
    """Effects of one loss of the leader.

    Attributes:
        leaderless_ms: Time from the loss to the election of the next leader in ms.
        change_ms: Time from the loss to the next accepted change in ms.
        unready: Number of polls at which a gateway was not ready.
        refused: Number of starts that sidecars refused.
    """

    leaderless_ms: float
    change_ms: float
    unready: int
    refused: int


async def run(options: trials.Options) -> outcomes.Outcome:
    """Kill the leader, and suspend it with its connections open.

    Args:
        options: Options of the run; the load is fixed.
    """
    outcome = outcomes.Outcome("failover", options.seed, options.seconds)
    rows: list[tuple[object, ...]] = []
    for firm in options.firms:
        for name, number in VARIANTS.items():
            place = f"{firm.name}, leader {name}"
            losses, samples = await _measure(firm, options, number)
            rows += [(place, *attrs.astuple(loss)) for loss in losses]
            _add_measures(outcome, place, losses, samples)
    headers = ("variant", "no leader ms", "no change ms", "unready polls", "refused")
    outcome.tables.append(outcomes.Table("Losses of the leader", headers, rows))
    return outcome


def _add_measures(
    outcome: outcomes.Outcome,
    place: str,
    losses: list[Loss],
    samples: list[driver.Sample],
) -> None:
    unready = sum(loss.unready for loss in losses)
    refused = sum(loss.refused for loss in losses)
    longest = max(loss.leaderless_ms for loss in losses)
    change = max(loss.change_ms for loss in losses)
    failures = trials.count_failures(samples)
    outcome.measures += [
        outcomes.Measure(f"{place}: polls with a lapsed lease", unready, 0),
        outcomes.Measure(f"{place}: starts refused by sidecars", refused, 0),
        outcomes.Measure(f"{place}: answers lost", failures, 0),
        outcomes.Measure(f"{place}: longest time without leader ms", longest),
        outcomes.Measure(f"{place}: longest time without a change ms", change),
        outcomes.Measure(f"{place}: driver lag p99 ms", driver.measure_lag(samples)),
    ]
    outcome.notes += trials.describe_failures(samples)


async def _measure(
    firm: firms.Firm, options: trials.Options, number: int
) -> tuple[list[Loss], list[driver.Sample]]:
    rounds = max(options.repeats, 2)
    seconds = rounds * (SETTLE_SECONDS + WATCH_SECONDS) + SETTLE_SECONDS
    arrivals = firms.generate(firm, options.seed, seconds, LOAD)
    losses: list[Loss] = []
    async with trials.open_trial(firm) as trial:
        driving = asyncio.create_task(trial.driver.run(arrivals, "failover"))
        for _ in range(rounds):
            await asyncio.sleep(SETTLE_SECONDS)
            losses.append(await _lose_leader(trial, number))
        await driving
        return losses, trial.driver.samples


async def _lose_leader(trial: trials.Trial, number: int) -> Loss:
    leader = trial.fleet.find_leader()
    if leader is None:
        raise fleet.FleetError("no leader in the logs")
    refused = trial.counters.sum_metric("tasks.refused")[""]
    lost_ms = time.time() * 1000
    leader.send_signal(number)
    changing = asyncio.create_task(_time_change(trial, lost_ms))
    unready = await _count_unready(trial)
    change_ms = await changing
    leaderless_ms = _find_election(trial, leader, lost_ms) - lost_ms
    if number == signal.SIGSTOP:
        leader.send_signal(signal.SIGCONT)
    else:
        leader.popen.wait()
        trial.fleet.start_controller(int(leader.name.rpartition("-")[2]) - 1)
    await trial.settle_counters()
    refused = trial.counters.sum_metric("tasks.refused")[""] - refused
    return Loss(leaderless_ms, change_ms, unready, refused)


async def _time_change(trial: trials.Trial, lost_ms: float) -> float:
    while True:
        try:
            await trial.change_configuration(lambda current: current.add_team("probe"))
        except (client.ClientError, fleet.FleetError):
            await asyncio.sleep(POLL_SECONDS)
            continue
        return time.time() * 1000 - lost_ms


async def _count_unready(trial: trials.Trial) -> int:
    unready = 0
    for _ in range(int(WATCH_SECONDS / POLL_SECONDS)):
        for caller in trial.driver.clients:
            reply = await caller.call("GET", "/readyz")
            unready += reply.status != 200
        await asyncio.sleep(POLL_SECONDS)
    return unready


def _find_election(trial: trials.Trial, lost: fleet.Process, lost_ms: float) -> float:
    times = [
        line.read_wall_ms()
        for item in trial.fleet.list_processes("controller")
        for line in loglines.read_lines(trial.folder / f"{item.name}.log")
        if item is not lost and line.event == "leader changed" and line.leader
    ]
    return min((item for item in times if item > lost_ms), default=float("inf"))
