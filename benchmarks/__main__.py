"""Command line of the benchmarks."""

import argparse
import asyncio
import importlib
import pathlib
import signal
import sys

from amaranthspar import loop
from benchmarks import outcomes, trials, workloads

CONTROL_NAMES = ("failover", "removal", "config")
NAMES = ("response", "waste", "domain", *CONTROL_NAMES)
LOADS = (0.5, 0.8, 0.95)


def main() -> int:
    """Run one benchmark.

    Returns:
        Exit code: 0 if every target was met, else 1.
    """
    arguments = _build_parser().parse_args()
    firms = tuple(
        firm
        for firm in workloads.FIRMS.values()
        if arguments.firm in (firm.name, "both")
    )
    loads = tuple(arguments.load or LOADS)
    options = trials.Options(
        arguments.seed,
        arguments.seconds,
        firms,
        loads,
        arguments.repeats,
        not arguments.no_baseline,
    )
    return loop.run_loop(_run(arguments, options))


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="benchmarks", description=__doc__)
    parser.add_argument("name", choices=NAMES)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--report", type=pathlib.Path, help="folder for the report")
    parser.add_argument("--firm", choices=(*workloads.FIRMS, "both"), default="both")
    parser.add_argument(
        "--load", type=float, action="append", help="0 to 1, repeatable"
    )
    parser.add_argument("--repeats", type=int, default=1, help="seeds in a row")
    parser.add_argument("--no-baseline", action="store_true")
    return parser


async def _run(arguments: argparse.Namespace, options: trials.Options) -> int:
    # Cancelling the task ends the processes on the way out.
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    control = arguments.name in CONTROL_NAMES
    name = "control" if control else arguments.name
    module = importlib.import_module(f"benchmarks.{name}")
    run = getattr(module, f"run_{arguments.name}" if control else "run")
    outcome: outcomes.Outcome = await run(options)
    print(outcome.format_tables("simple"))
    for note in outcome.notes:
        print(note)
    if arguments.report is not None:
        from benchmarks import report

        command = " ".join(["python -m benchmarks", *sys.argv[1:]])
        report.write_report(outcome, arguments.report, command)
    print(outcome.format_json())
    return 0 if outcome.verdict == "met" else 1


if __name__ == "__main__":
    raise SystemExit(main())
