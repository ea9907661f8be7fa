"""Compares the dispatch policy with alternatives in virtual time.

Run as ``python -m benchmarks.policy``.
"""

import argparse
import json
import time
from collections.abc import Iterable

import attrs
import tabulate

from benchmarks import alternatives, arrivals as workloads, virtual

SETTLE_MS = 60_000
PERCENTILES = (50.0, 99.0, 99.9)


@attrs.frozen(slots=True)
class Row:
    """Measurements of one policy at one load."""

    load: float
    policy: str
    kind: str
    ratios: list[float]
    wasted: float
    cpu_us: float


def find_percentile(values: Iterable[float], percentile: float) -> float:
    """Return a percentile of the values, 0 if there are none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * percentile / 100))]


def compare(
    arrivals: list[workloads.Arrival],
    responses_ms: dict[int, float],
    ideal: dict[int, float],
    is_job: bool,
) -> list[float]:
    """Return the ratio of response times to the ideal ones at each percentile."""
    positions = [n for n, item in enumerate(arrivals) if item.is_job == is_job]
    ratios = []
    for percentile in PERCENTILES:
        measured = find_percentile(
            (responses_ms.get(n, 1e9) for n in positions), percentile
        )
        best = find_percentile((ideal[n] for n in positions), percentile)
        ratios.append(round(measured / best, 3) if best else 0.0)
    return ratios


@attrs.frozen(slots=True)
class Run:
    """One run of the dispatcher.

    Attributes:
        record: Measurements of the simulation.
        wasted: Messages per task that were not useful, up to the last arrival.
        cpu_us: CPU time per task in us, including that of the simulation.
    """

    record: virtual.Record
    wasted: float
    cpu_us: float


def run_dispatcher(
    arrivals: list[workloads.Arrival], gateways: int = 2, sidecars: int = 9
) -> Run:
    """Run the dispatcher on the arrivals and return its measurements."""
    fleet = virtual.Fleet(gateways, sidecars)
    fleet.add_arrivals(arrivals)
    started = time.process_time()
    fleet.loop.run(arrivals[-1].at_ms)
    wasted = fleet.record.compute_wasted_per_task()
    tasks = sum(len(item.runs_ms) for item in arrivals)
    cpu_us = (time.process_time() - started) * 1e6 / tasks
    fleet.loop.run(arrivals[-1].at_ms + SETTLE_MS)
    return Run(fleet.record, wasted, cpu_us)


def measure(mix: workloads.Mix, seed: int, others: bool) -> list[Row]:
    """Return the measurements of each policy on one workload."""
    arrivals = workloads.build_mix(mix, seed)
    ideal = alternatives.run_clairvoyant(arrivals, mix.slots)
    run = run_dispatcher(arrivals, mix.gateways, mix.slots // 8)
    runs = {"dispatcher": (run.record.responses_ms, run.wasted, run.cpu_us)}
    if others:
        for name, choices in (("round-robin", 1), ("two-choices", 2)):
            creditless = alternatives.CreditlessGateways(
                choices, mix.gateways, mix.slots // 8
            )
            runs[name] = (creditless.run(arrivals), 0.0, 0.0)
    kinds = {item.is_job for item in arrivals}
    return [
        Row(
            mix.load,
            name,
            "job" if is_job else "request",
            compare(arrivals, responses_ms, ideal, is_job),
            round(wasted, 4),
            round(cpu, 1),
        )
        for name, (responses_ms, wasted, cpu) in runs.items()
        for is_job in sorted(kinds)
    ]


def main() -> None:
    """Print a table; the last line is one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--loads", type=float, nargs="+", default=[0.5, 0.8, 0.95])
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--job-share", type=float, default=0.0)
    parser.add_argument("--others", action="store_true", help="run the alternatives")
    options = parser.parse_args()
    rows = [
        row
        for load in options.loads
        for seed in options.seeds
        for row in measure(
            workloads.Mix(load, seconds=options.seconds, job_share=options.job_share),
            seed,
            options.others,
        )
    ]
    print(
        tabulate.tabulate(
            [
                (row.load, row.policy, row.kind, *row.ratios, row.wasted, row.cpu_us)
                for row in rows
            ],
            headers=("load", "policy", "kind", "p50", "p99", "p99.9", "wasted", "us"),
        )
    )
    print(json.dumps({"rows": [attrs.asdict(row) for row in rows]}))


if __name__ == "__main__":
    main()
