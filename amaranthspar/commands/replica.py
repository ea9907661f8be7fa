"""Commands ``replica show`` and ``replica replace``."""

import argparse

import tabulate

from amaranthspar import exits
from amaranthspar.clients import operators
from amaranthspar.commands import remote, shared
from amaranthspar.schema import bodies, messages

SHOW_EXAMPLES = """\
  amaranthspar replica show
"""
REPLACE_EXAMPLES = """\
  amaranthspar replica replace --remove gyor-1 --add gyor-2 --address 127.0.0.1:7103
      # gyor-2 is started already, with an empty data folder; safe to send again
  amaranthspar replica show                  # wait until gyor-2 is a voter
"""


def fill_parser(parser: argparse.ArgumentParser) -> None:
    """Add the arguments.

    Args:
        parser: Parser of the first word.
    """
    verbs = parser.add_subparsers(title="commands", required=True)
    summary = "List the replicas of the controllers."
    show = remote.add_verb(verbs, "show", _show, summary, SHOW_EXAMPLES)
    shared.add_json(show)
    summary = "Replace a replica whose host is lost by one on another host."
    replace = remote.add_verb(verbs, "replace", _replace, summary, REPLACE_EXAMPLES)
    replace.add_argument("--remove", default="", metavar="ID", help="lost replica")
    replace.add_argument("--add", default="", metavar="ID", help="new replica")
    replace.add_argument(
        "--address", default="", metavar="ADDRESS", help="where the new one listens"
    )
    shared.add_json(replace)


def _show(arguments: argparse.Namespace) -> int:
    async def run(operator: operators.OperatorClient) -> int:
        changed = await operator.retry(lambda item: item.fetch_replicas())
        return _report(changed, arguments.json)

    return remote.run_operator(arguments, run)


def _replace(arguments: argparse.Namespace) -> int:
    wanted = bodies.Replacement(arguments.remove, arguments.add, arguments.address)

    async def run(operator: operators.OperatorClient) -> int:
        changed = await operator.retry(lambda item: item.replace_replica(wanted))
        return _report(changed, arguments.json)

    return remote.run_operator(arguments, run)


def _report(changed: messages.ReplicasChanged, as_json: bool) -> int:
    if as_json:
        shared.print_json(changed)
        return exits.DONE
    rows = [
        (
            item.id,
            item.address,
            "voter" if item.voter else "learner",
            "leader" if item.id == changed.leader else "",
        )
        for item in changed.replicas
    ]
    print(tabulate.tabulate(rows, headers=("replica", "address", "state", "")))
    return exits.DONE
