"""Commands ``domain out`` and ``domain in``."""

import argparse

from amaranthspar import exits
from amaranthspar.clients import operators
from amaranthspar.commands import remote, shared

EXAMPLES = """\
  amaranthspar domain {state} gyor
  amaranthspar status                        # shows the state of each failure domain
"""
SUMMARIES = {
    "out": "Take a failure domain out of service: no more tasks start there.",
    "in": "Take a failure domain back into service.",
}


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command.

    Args:
        parser: Parser of the command ``domain``.
    """
    subcommands = parser.add_subparsers(title="commands", required=True)
    for state, summary in SUMMARIES.items():
        examples = EXAMPLES.format(state=state)
        subcommand = remote.add_subcommand(
            subcommands, state, _set_state, summary, examples
        )
        subcommand.add_argument(
            "name", metavar="NAME", help="name of the failure domain"
        )
        shared.add_json(subcommand)
        subcommand.set_defaults(state=state)


def _set_state(arguments: argparse.Namespace) -> int:
    async def run(operator: operators.OperatorClient) -> int:
        try:
            decided = await operator.set_domain_state(arguments.name, arguments.state)
        except operators.UnknownDomainError as error:
            shared.print_error(str(error))
            return exits.BAD_INPUT
        source = f"domain {arguments.state} {arguments.name}"
        return remote.print_decision(decided, source, arguments.json)

    return remote.run_operator(arguments, run)
