"""Command ``demo``."""

import argparse

from amaranthspar import loop, stopping

EXAMPLES = """\
examples:
  amaranthspar demo                                # runs a workload and checks it
  amaranthspar demo --serve --port 8080 --token T  # serves until SIGTERM
"""


def fill_parser(parser: argparse.ArgumentParser) -> None:
    """Add the arguments.

    Args:
        parser: Parser of the first word.
    """
    parser.epilog = EXAMPLES
    parser.add_argument("--serve", action="store_true", help="go on until SIGTERM")
    parser.add_argument(
        "--port",
        type=int,
        default=8080,
        help="HTTP port of the first gateway, the second takes the next one",
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
        watched = stopping.watch_signals()
        return await demo.serve(arguments.port, arguments.token, watched)

    return loop.run_loop(serve())
