"""Mixed workload with random faults, audited with the records of the stand-ins."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import random

import attrs

from benchmarks import audit, driver, faults, firms, fleet, outcomes, trials

LOAD = 0.4
RESENDS = 40
RESEND_SECONDS = 0.5
SAMPLE_SECONDS = 5.0
SETTLE_SECONDS = 10.0
GROWTH_TARGET = 1.25
WARM_RATIO = 0.1


async def run(options: trials.Options) -> outcomes.Outcome:
    """Run the workload of a firm with seeded random faults.

    Args:
        options: Options of the run; the load is fixed.
    """
    outcome = outcomes.Outcome("soak", options.seed, options.seconds)
    for firm in options.firms:
        arrivals = firms.generate(firm, options.seed, options.seconds, LOAD)
        async with trials.open_trial(firm, controllers=3) as trial:
            earlier_count = len(await trial.read_spans())
            injector = faults.FaultInjector(trial, random.Random(options.seed))
            memory = Memory(trial.fleet)
            trial.driver.resend = driver.Resend(RESENDS, RESEND_SECONDS)
            tasks = [asyncio.create_task(item.run()) for item in (injector, memory)]
            await trial.driver.run(arrivals, "soak")
            for task in tasks:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
            await trial.fleet.wait_ready(firm.upstreams)
            await asyncio.sleep(SETTLE_SECONDS)
            spans = await trial.read_spans(earlier_count)
            findings = audit.check(trial.driver.samples, spans)
            _evaluate(outcome, firm, trial.driver.samples, findings)
            _add_process_measures(outcome, firm, injector, memory, options.seconds)
    return outcome


@attrs.define(slots=True)
class Memory:
    """Samples of the memory of each process over time.

    Attributes:
        fleet: Processes that are sampled.
        points: Time in s and memory in MB of each sample, by process name and id.
    """

    fleet: fleet.Fleet
    points: dict[tuple[str, int], list[tuple[float, float]]] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Sample the memory of all roles until cancelled."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        while True:
            for item in list(self.fleet.processes.values()):
                if item.popen.poll() is None and item.name != "upstreams":
                    key = (item.name, item.popen.pid)
                    point = (loop.time() - started, item.read_memory())
                    self.points.setdefault(key, []).append(point)
            await asyncio.sleep(SAMPLE_SECONDS)

    def find_growth(self, seconds: float) -> tuple[float, str]:
        """Return the greatest growth of a process after its warm-up.

        Args:
            seconds: Length of the run in s, a share of which counts as warm-up.

        Returns:
            Ratio of the last to the first sample, and the name of the process.
        """
        worst, worst_name = 1.0, ""
        for (name, _), points in self.points.items():
            after_warm_up = [
                mb for time, mb in points if time > points[0][0] + WARM_RATIO * seconds
            ]
            if len(after_warm_up) < 2:
                continue
            if after_warm_up[-1] / after_warm_up[0] > worst:
                worst, worst_name = after_warm_up[-1] / after_warm_up[0], name
        return worst, worst_name


def _evaluate(
    outcome: outcomes.Outcome,
    firm: firms.Firm,
    samples: list[driver.Sample],
    findings: audit.Audit,
) -> None:
    statuses = collections.Counter((item.status, item.outcome) for item in samples)
    rows: list[tuple[object, ...]] = [
        (status, outcome_name, count)
        for (status, outcome_name), count in sorted(statuses.items())
    ]
    headers = ("status", "outcome", "answers")
    outcome.tables.append(outcomes.Table("Answers", headers, rows))
    lag_ms = driver.measure_lag(samples)
    outcome.measures += [
        *findings.list_measures(firm.name),
        outcomes.Measure(f"{firm.name} submissions", len(samples)),
        outcomes.Measure(f"{firm.name} driver lag p99 ms", lag_ms),
    ]


def _add_process_measures(
    outcome: outcomes.Outcome,
    firm: firms.Firm,
    injector: faults.FaultInjector,
    memory: Memory,
    seconds: float,
) -> None:
    growth, name = memory.find_growth(seconds)
    unclean = sum(code != 0 for code in injector.exits)
    outcome.measures += [
        outcomes.Measure(f"{firm.name} memory growth {name}", growth, GROWTH_TARGET),
        outcomes.Measure(f"{firm.name} unclean exits of planned stops", unclean, 0),
        outcomes.Measure(f"{firm.name} faults", len(injector.history)),
    ]
    counts = collections.Counter(line.split()[0] for line in injector.history)
    outcome.notes.append(f"Faults: {dict(counts)}.")
