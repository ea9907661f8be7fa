"""Command ``settings check``, which validates settings files."""

import argparse
import pathlib

from amaranthspar import errors, exits
from amaranthspar.commands import shared
from amaranthspar.roles import settings

EXAMPLES = """\
examples:
  amaranthspar settings check /etc/amaranthspar/gateway.ini

exit codes: 0 valid, 2 invalid; prints each fault with file, section and key
"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command.

    Args:
        parser: Parser of the command ``settings``.
    """
    subcommands = parser.add_subparsers(title="commands", required=True)
    summary = "Check the settings file of a gateway, sidecar or controller."
    check = shared.add_parser(subcommands, "check", summary, EXAMPLES)
    check.add_argument("files", type=pathlib.Path, nargs="+", metavar="FILE")
    check.set_defaults(run=_check)


def _check(arguments: argparse.Namespace) -> int:
    code = exits.DONE
    for path in arguments.files:
        try:
            loaded = settings.load_settings(path)
        except errors.SettingsError as error:
            shared.print_faults(error.faults)
            code = exits.BAD_INPUT
            continue
        print(f"{path}: valid settings of {loaded.role} {loaded.process.name}")
    return code
