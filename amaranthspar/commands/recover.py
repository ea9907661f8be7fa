"""Command ``recover``: a controller goes on alone after the majority is lost."""

import argparse
import pathlib

import attrs

from amaranthspar import errors, exits
from amaranthspar.commands import shared
from amaranthspar.roles import settings
from amaranthspar.storage import recovery

EXAMPLES = """\
examples:
  amaranthspar recover --settings controller.ini
      # changes nothing: prints what is kept, what can be lost and the confirmation
  amaranthspar recover --settings controller.ini --operator ANNA --confirm "TEXT"

Only if the other hosts can never run again: destroy their data folders first.
Run it on the stopped survivor with the greatest last index.
exit codes: 0 done, 1 refused, 2 bad settings
"""


def fill_parser(parser: argparse.ArgumentParser) -> None:
    """Add the arguments.

    Args:
        parser: Parser of the first word.
    """
    parser.epilog = EXAMPLES
    parser.formatter_class = argparse.RawDescriptionHelpFormatter
    parser.add_argument(
        "--settings", required=True, type=pathlib.Path, help="settings of a controller"
    )
    parser.add_argument("--operator", default="", help="who orders it; kept in the log")
    parser.add_argument("--confirm", default="", metavar="TEXT", help="confirmation")
    shared.add_json(parser)
    parser.set_defaults(run=_recover)


def _recover(arguments: argparse.Namespace) -> int:
    controller = settings.load_settings(arguments.settings).controller
    if controller is None:
        fault = f"{arguments.settings}: expected settings of a controller"
        raise errors.SettingsError([fault])
    place = (controller.data, controller.replica)
    if not arguments.confirm:
        _report(recovery.assess_recovery(*place), arguments.json)
        return exits.DONE
    if not arguments.operator:
        raise errors.SettingsError(["--operator: missing; it is kept in the log"])
    orders = (arguments.operator, arguments.confirm)
    _report(recovery.recover_quorum(*place, *orders), arguments.json)
    if not arguments.json:
        print(f"{controller.replica} is the only voter now")
    return exits.DONE


def _report(assessment: recovery.Assessment, as_json: bool) -> None:
    if as_json:
        shared.print_json(assessment)
        return
    for field in attrs.fields(recovery.Assessment):
        value = getattr(assessment, field.name)
        text = ", ".join(value) if isinstance(value, list) else value
        print(f"{field.name.replace('_', ' ')}: {text}")
