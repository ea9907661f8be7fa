"""Command ``recover``, which makes a controller the only voter.

It is used when the majority of the replicas is lost.
"""

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
      # changes nothing: prints what remains, what may be lost and the confirmation
  amaranthspar recover --settings controller.ini --operator ANNA --confirm "TEXT"

Use it only if the other hosts can never run again; destroy their data folders first.
Run it on the surviving replica with the highest last index, while it is stopped.
exit codes: 0 done, 1 refused, 2 bad settings
"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command.

    Args:
        parser: Parser of the command ``recover``.
    """
    parser.epilog = EXAMPLES
    parser.formatter_class = argparse.RawDescriptionHelpFormatter
    parser.add_argument(
        "--settings",
        required=True,
        type=pathlib.Path,
        help="settings file of the controller",
    )
    parser.add_argument(
        "--operator", default="", help="name of the operator, recorded in the log"
    )
    parser.add_argument(
        "--confirm", default="", metavar="TEXT", help="confirmation text"
    )
    shared.add_json(parser)
    parser.set_defaults(run=_recover)


def _recover(arguments: argparse.Namespace) -> int:
    controller = settings.load_settings(arguments.settings).controller
    if controller is None:
        fault = f"{arguments.settings}: expected settings of a controller"
        raise errors.SettingsError([fault])
    folder = (controller.data, controller.replica)
    if not arguments.confirm:
        _print_assessment(recovery.assess_recovery(*folder), arguments.json)
        return exits.DONE
    if not arguments.operator:
        raise errors.SettingsError(["--operator: missing; it is recorded in the log"])
    approval = (arguments.operator, arguments.confirm)
    _print_assessment(recovery.recover_quorum(*folder, *approval), arguments.json)
    if not arguments.json:
        print(f"{controller.replica} is the only voter now")
    return exits.DONE


def _print_assessment(assessment: recovery.Assessment, as_json: bool) -> None:
    if as_json:
        shared.print_json(assessment)
        return
    for field in attrs.fields(recovery.Assessment):
        value = getattr(assessment, field.name)
        text = ", ".join(value) if isinstance(value, list) else value
        print(f"{field.name.replace('_', ' ')}: {text}")
