"""Commands ``domain out`` and ``domain in``."""

import argparse

from amaranthspar import exits
from amaranthspar.clients import operators
from amaranthspar.commands import remote, shared

EXAMPLES = """\
  amaranthspar domain {state} gyor
  amaranthspar status                        # shows who follows it already
"""
SUMMARIES = {
    "out": "Take a failure domain out of service: no task starts there any more.",
    "in": "Take a failure domain back into service.",
}


def fill_parser(parser: argparse.ArgumentParser) -> None:
    """Add the arguments.

    Args:
        parser: Parser of the first word.
    """
    verbs = parser.add_subparsers(title="commands", required=True)
    for state, summary in SUMMARIES.items():
        examples = EXAMPLES.format(state=state)
        verb = remote.add_verb(verbs, state, _set_state, summary, examples)
        verb.add_argument("name", metavar="NAME", help="failure domain")
        shared.add_json(verb)
        verb.set_defaults(state=state)


def _set_state(arguments: argparse.Namespace) -> int:
    async def run(operator: operators.OperatorClient) -> int:
        try:
            decided = await operator.set_domain_state(arguments.name, arguments.state)
        except operators.UnknownDomainError as error:
            shared.print_error(str(error))
            return exits.BAD_INPUT
        source = f"domain {arguments.state} {arguments.name}"
        return remote.report_decision(decided, source, arguments.json)

    return remote.run_operator(arguments, run)
