"""Command ``platform``, which runs one role on the users' platform."""

import argparse

from amaranthspar.platform import program

EXAMPLES = """\
examples:
  amaranthspar platform gateway     # reads the settings that the platform provides
"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command.

    Args:
        parser: Parser of the command ``platform``.
    """
    parser.epilog = EXAMPLES
    parser.add_argument("role", choices=("gateway", "sidecar", "controller"))
    parser.set_defaults(run=_run)


def _run(arguments: argparse.Namespace) -> int:
    return program.run_role(arguments.role)
