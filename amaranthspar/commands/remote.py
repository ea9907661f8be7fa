"""What the operators' commands share: access, failures and exit codes."""

import argparse
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


def fill_parser(parser: argparse.ArgumentParser, run: Run, examples: str) -> None:
    """Give a command the arguments by which it reaches the system.

    Args:
        parser: Parser of the command.
        run: Carries the command out and returns the exit code.
        examples: Lines that show its use.
    """
    shared.add_access(parser)
    parser.epilog = f"examples:\n{examples.rstrip()}\n\n{access.HELP}"
    parser.add_argument(
        "--timeout-ms",
        type=int,
        default=DEFAULT_TIMEOUT_MS,
        metavar="N",
        help="time to go on asking in ms, %(default)s by default",
    )
    parser.set_defaults(run=run)


def add_verb(
    verbs: shared.Subparsers, name: str, run: Run, summary: str, examples: str
) -> argparse.ArgumentParser:
    """Add the second word of a command that reaches the system.

    Args:
        verbs: Where it belongs.
        name: The word.
        run: Carries the command out and returns the exit code.
        summary: What it does, in one sentence.
        examples: Lines that show its use.

    Returns:
        Parser for the command's own arguments.
    """
    parser = shared.add_parser(verbs, name, summary)
    fill_parser(parser, run, examples)
    return parser


def run_operator(
    arguments: argparse.Namespace,
    carry_out: Callable[[operators.OperatorClient], Awaitable[int]],
) -> int:
    """Run a command against the system and turn failures into exit codes.

    Args:
        arguments: Parsed command line.
        carry_out: The command; returns the exit code.

    Raises:
        errors.SettingsError: The access to the system is not given.
    """
    wanted = access.find_access(arguments, os.environ)

    async def run() -> int:
        operator = operators.OperatorClient(wanted, arguments.timeout_ms)
        try:
            return await carry_out(operator)
        finally:
            await operator.close()

    try:
        return loop.run_loop(run())
    except client.RefusedError as error:
        shared.print_error(str(error))
        return judge_status(error.problem.status, error.problem.outcome)
    except client.ClientError as error:
        shared.print_error(f"{error}; the outcome is unknown")
        return exits.UNKNOWN


def report_decision(
    decided: messages.ConfigurationDecided, source: str, as_json: bool
) -> int:
    """Print how a change ended.

    Args:
        decided: What the controllers decided.
        source: What the change came from.
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


def judge_status(status: int, outcome: str) -> int:
    """Return the exit code for an answer.

    Args:
        status: HTTP status.
        outcome: Value of the header ``Amaranthspar-Outcome``.
    """
    if status < 300:
        return exits.DONE
    if outcome == "unknown":
        return exits.UNKNOWN
    return exits.BAD_INPUT if status in BAD_INPUT_STATUSES else exits.REFUSED
