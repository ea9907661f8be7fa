"""Helpers of the commands that send requests to a gateway: access and exit codes."""

import argparse
import functools
import os
import sys
from collections.abc import Awaitable, Callable

from amaranthspar import exits, loop
from amaranthspar.clients import access, client, operators
from amaranthspar.commands import shared
from amaranthspar.schema import messages

DEFAULT_TIMEOUT_MS = 15_000
BAD_INPUT_STATUSES = (400, 404, 405, 413, 414, 415, 431)

Run = Callable[[argparse.Namespace], int]


def add_arguments(parser: argparse.ArgumentParser, run: Run, examples: str) -> None:
    """Add the arguments of a command that sends requests to a gateway.

    Args:
        parser: Parser of the command.
        run: Function that runs the command and returns the exit code.
        examples: Lines that show the use of the command.
    """
    shared.add_access(parser)
    parser.epilog = f"examples:\n{examples.rstrip()}\n\n{access.HELP}"
    parser.add_argument(
        "--timeout-ms",
        type=int,
        default=DEFAULT_TIMEOUT_MS,
        metavar="N",
        help="time for which requests are repeated in ms, %(default)s by default",
    )
    parser.set_defaults(run=run)


def add_subcommand(
    subcommands: shared.Subparsers, name: str, run: Run, summary: str, examples: str
) -> argparse.ArgumentParser:
    """Add a subcommand that sends requests to a gateway.

    Args:
        subcommands: Subparsers to which the subcommand is added.
        name: Name of the subcommand.
        run: Function that runs the subcommand and returns the exit code.
        summary: Description of the subcommand in one sentence.
        examples: Lines that show the use of the subcommand.

    Returns:
        Parser to which the subcommand adds its own arguments.
    """
    parser = shared.add_parser(subcommands, name, summary)
    add_arguments(parser, run, examples)
    return parser


def run_operator(
    arguments: argparse.Namespace,
    command: Callable[[operators.OperatorClient], Awaitable[int]],
) -> int:
    """Run a command that sends requests to a gateway, and map errors to exit codes.

    Args:
        arguments: Parsed command line.
        command: Function that sends the requests and returns the exit code.

    Raises:
        errors.SettingsError: No gateway or no token is given.
    """
    find_access = functools.partial(access.find_access, arguments, os.environ)

    async def run() -> int:
        operator = operators.OperatorClient(find_access, arguments.timeout_ms)
        try:
            return await command(operator)
        finally:
            await operator.close()

    try:
        return loop.run_loop(run())
    except client.RefusedError as error:
        shared.print_error(str(error))
        return find_exit_code(error.problem.status, error.problem.outcome)
    except client.ClientError as error:
        shared.print_error(f"{error}; the outcome is unknown")
        for note in getattr(error, "__notes__", []):
            shared.print_error(note)
        return exits.UNKNOWN


def print_decision(
    decided: messages.ConfigurationDecided, source: str, as_json: bool
) -> int:
    """Print the outcome of a configuration change.

    Args:
        decided: Decision of the controllers.
        source: File or command from which the change comes.
        as_json: Whether to print JSON.

    Returns:
        Exit code.
    """
    if as_json:
        shared.print_json(decided)
    match decided.outcome:
        case operators.ACCEPTED:
            if not as_json:
                print(f"accepted as version {decided.version}")
            return exits.DONE
        case operators.CONFLICT:
            shared.print_error(f"conflict: version {decided.version} is in force")
            return exits.REFUSED
        case "invalid":
            for fault in decided.errors:
                print(f"{source}: {fault}", file=sys.stderr)
            return exits.BAD_INPUT
        case outcome:
            shared.print_error(f"{outcome}; the outcome is unknown")
            return exits.UNKNOWN


def find_exit_code(status: int, outcome: str) -> int:
    """Return the exit code for an HTTP response.

    Args:
        status: HTTP status.
        outcome: Value of the header ``Amaranthspar-Outcome``.
    """
    if status < 300:
        return exits.DONE
    if outcome == "unknown":
        return exits.UNKNOWN
    return exits.BAD_INPUT if status in BAD_INPUT_STATUSES else exits.REFUSED
