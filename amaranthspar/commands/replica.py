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
      # gyor-2 must already run, with an empty data folder; safe to repeat
  amaranthspar replica show                  # wait until gyor-2 is a voter
"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command.

    Args:
        parser: Parser of the command ``replica``.
    """
    subcommands = parser.add_subparsers(title="commands", required=True)
    summary = "List the replicas of the controllers."
    show = remote.add_subcommand(
        subcommands, "show", _show_replicas, summary, SHOW_EXAMPLES
    )
    shared.add_json(show)
    summary = "Replace a replica whose host is lost with one on another host."
    replace = remote.add_subcommand(
        subcommands, "replace", _replace_replica, summary, REPLACE_EXAMPLES
    )
    replace.add_argument("--remove", default="", metavar="ID", help="replica to remove")
    replace.add_argument("--add", default="", metavar="ID", help="replica to add")
    replace.add_argument(
        "--address",
        default="",
        metavar="ADDRESS",
        help="address at which the added replica listens",
    )
    shared.add_json(replace)


def _show_replicas(arguments: argparse.Namespace) -> int:
    async def run(operator: operators.OperatorClient) -> int:
        changed = await operator.retry(lambda item: item.fetch_replicas())
        return _print_replicas(changed, arguments.json)

    return remote.run_operator(arguments, run)


def _replace_replica(arguments: argparse.Namespace) -> int:
    replacement = bodies.Replacement(arguments.remove, arguments.add, arguments.address)

    async def run(operator: operators.OperatorClient) -> int:
        changed = await operator.retry(lambda item: item.replace_replica(replacement))
        return _print_replicas(changed, arguments.json)

    return remote.run_operator(arguments, run)


def _print_replicas(changed: messages.ReplicasChanged, as_json: bool) -> int:
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
