"""Command ``demo``, which runs all roles in one process."""

import argparse

from amaranthspar import loop, stopping

EXAMPLES = """\
examples:
  amaranthspar demo                                # runs a workload and checks it
  amaranthspar demo --serve --port 8080 --token T  # serves until SIGTERM
"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command.

    Args:
        parser: Parser of the command ``demo``.
    """
    parser.epilog = EXAMPLES
    parser.add_argument("--serve", action="store_true", help="serve until SIGTERM")
    parser.add_argument(
        "--port",
        type=int,
        default=8080,
        help="HTTP port of the first gateway; the second one uses the next port",
    )
    parser.add_argument(
        "--token", default="demo", help="token of the account and of the operator"
    )
    parser.set_defaults(run=_run_demo)


def _run_demo(arguments: argparse.Namespace) -> int:
    from amaranthspar.roles import demo

    if not arguments.serve:
        return loop.run_loop(demo.run_demo())

    async def serve() -> int:
        stop = stopping.watch_signals()
        return await demo.serve(arguments.port, arguments.token, stop)

    return loop.run_loop(serve())
