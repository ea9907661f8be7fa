"""Command line of the benchmarks."""

import argparse
import asyncio
import importlib
import pathlib
import signal
import sys

import attrs

from amaranthspar import loop
from benchmarks import firms, outcomes, trials

BOTH = "both"


@attrs.frozen(slots=True)
class Experiment:
    """The function that runs an experiment, and its default workload.

    Attributes:
        module: Name of the module in this package.
        firm: Name of the default firm, or `BOTH`.
        function: Name of the function in the module.
    """

    module: str
    firm: str = "kerekes"
    function: str = "run"


EXPERIMENTS = {
    "response": Experiment("response", BOTH),
    "declared": Experiment("response", function="run_declared"),
    "waste": Experiment("waste", BOTH),
    "domain": Experiment("domain", BOTH),
    "removal": Experiment("removal"),
    "failover": Experiment("failover"),
    "losses-leader": Experiment("losses", function="run_leader"),
    "losses": Experiment("losses"),
    "losses-regions": Experiment("losses", function="run_regions"),
    "leases-removal": Experiment("control", function="run_removal"),
    "leases-failover": Experiment("control", function="run_failover"),
    "leases-restart": Experiment("control", function="run_restarts"),
    "leases-links": Experiment("control", function="run_links"),
    "config": Experiment("control", function="run_config"),
    "burst": Experiment("burst"),
    "badworker": Experiment("badworker"),
    "cancel": Experiment("cancel"),
    "straggler": Experiment("straggler"),
    "desk": Experiment("desk", "wijesekera"),
    "gateway": Experiment("gateway"),
    "lookahead": Experiment("lookahead"),
    "placement": Experiment("placement"),
    "sidecar": Experiment("sidecar"),
    "slopes-gateway": Experiment("slopes", function="run_gateway"),
    "slopes-controllers": Experiment("slopes", function="run_controllers"),
    "slopes-sidecar": Experiment("slopes", function="run_sidecar"),
    "soak": Experiment("soak", "wijesekera"),
}
LOADS = (0.5, 0.8, 0.95)


def main() -> int:
    """Run one experiment.

    Returns:
        Exit code: 0 if every target was met, else 1.
    """
    arguments = _build_parser().parse_args()
    wanted = arguments.firm or EXPERIMENTS[arguments.name].firm
    chosen = tuple(firm for firm in firms.FIRMS.values() if wanted in (firm.name, BOTH))
    loads = tuple(arguments.load or LOADS)
    options = trials.Options(
        arguments.seed,
        arguments.seconds,
        chosen,
        loads,
        arguments.repeats,
        not arguments.no_baseline,
    )
    return loop.run_loop(_run(arguments, options))


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="benchmarks", description=__doc__)
    parser.add_argument("name", choices=EXPERIMENTS)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--report", type=pathlib.Path, help="folder for the report")
    parser.add_argument("--firm", choices=(*firms.FIRMS, BOTH))
    parser.add_argument(
        "--load", type=float, action="append", help="0 to 1, repeatable"
    )
    parser.add_argument("--repeats", type=int, default=1, help="seeds in a row")
    parser.add_argument("--no-baseline", action="store_true")
    return parser


async def _run(arguments: argparse.Namespace, options: trials.Options) -> int:
    # When the task is cancelled, its context managers end the processes.
    task = asyncio.current_task()
    assert task is not None
    running = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        running.add_signal_handler(number, task.cancel)
    chosen = EXPERIMENTS[arguments.name]
    module = importlib.import_module(f"benchmarks.{chosen.module}")
    outcome: outcomes.Outcome = await getattr(module, chosen.function)(options)
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
