"""Entry point of the command line."""

import argparse
import importlib
import os
import sys

import attrs

import amaranthspar
from amaranthspar import errors, exits
from amaranthspar.commands import shared
from amaranthspar.observation import logs


@attrs.frozen(slots=True)
class Command:
    """A command of the command line.

    Attributes:
        name: Name of the command on the command line.
        summary: Short description of the command.
        module: Module of `amaranthspar.commands` that implements the command.
    """

    name: str
    summary: str
    module: str


EPILOG = """\
run a role:  amaranthspar gateway|sidecar|controller --settings FILE
try it out:  amaranthspar demo
operate it:  amaranthspar config show, then config submit, domain out, job submit
each command has its own --help with examples

exit codes: 0 done, 1 refused, 2 bad input, 3 outcome unknown
"""
# Only the module of the requested command is imported.
_COMMANDS = (
    Command("gateway", "run a gateway", "role"),
    Command("sidecar", "run a sidecar", "role"),
    Command("controller", "run a controller", "role"),
    Command("platform", "run a role on the users' platform", "platform"),
    Command("demo", "run every role in one process", "demo"),
    Command("settings", "check settings files", "settings"),
    Command("config", "submit or show the configuration", "config"),
    Command("domain", "take a failure domain out of service or back in", "domain"),
    Command("status", "show members and load", "status"),
    Command("explain", "show where a request or job would go now", "explain"),
    Command("replica", "show or replace the controllers' replicas", "replica"),
    Command(
        "recover",
        "make a controller the only voter after the majority is lost",
        "recover",
    ),
    Command("job", "submit, show or cancel a job", "job"),
)


def main(arguments: list[str] | None = None) -> int:
    """Run the command line.

    Args:
        arguments: Arguments after the program name; None for those of the process.

    Returns:
        Exit code: 0 done, 1 refused, 2 bad input, 3 outcome unknown.
    """
    words = sys.argv[1:] if arguments is None else arguments
    options = build_parser(words).parse_args(words)
    logs.set_up_logs()
    try:
        code: int = options.run(options)
        sys.stdout.flush()
    except errors.SettingsError as error:
        shared.print_faults(error.faults)
        return exits.BAD_INPUT
    except errors.AmaranthsparError as error:
        shared.print_error(str(error))
        return exits.REFUSED
    except BrokenPipeError:
        # The reader has closed the output; the interpreter must not flush it again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return exits.REFUSED
    return code


def build_parser(words: list[str]) -> argparse.ArgumentParser:
    """Return the parser of a command line.

    Args:
        words: Arguments after the program name; only the commands named among them
            get their arguments.
    """
    parser = argparse.ArgumentParser(
        prog="amaranthspar",
        description=amaranthspar.__doc__,
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    version = f"amaranthspar {amaranthspar.__version__}"
    parser.add_argument("--version", action="version", version=version)
    shared.add_access(parser)
    subparsers = parser.add_subparsers(title="commands", required=True)
    for command in _COMMANDS:
        subparser = shared.add_parser(subparsers, command.name, command.summary)
        if command.name in words:
            module = importlib.import_module(f"amaranthspar.commands.{command.module}")
            module.add_arguments(subparser)
    return parser
