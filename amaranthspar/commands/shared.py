"""Helpers of all commands: parsers, input and output."""

import argparse
import pathlib
import sys
from typing import Any

import msgspec

from amaranthspar import errors

Subparsers = Any


def add_parser(
    subparsers: Subparsers, name: str, summary: str, epilog: str = ""
) -> argparse.ArgumentParser:
    """Add a command or subcommand.

    Args:
        subparsers: Subparsers to which the command is added.
        name: Name of the command.
        summary: Description of the command in one sentence.
        epilog: Help text after the list of arguments.
    """
    parser: argparse.ArgumentParser = subparsers.add_parser(
        name,
        help=summary,
        description=summary,
        epilog=epilog,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    return parser


def add_access(parser: argparse.ArgumentParser) -> None:
    """Add the access arguments, which are accepted before and after a command.

    Args:
        parser: Parser of the program or of a command.
    """
    # A default would overwrite the value that is given before the command.
    unset = argparse.SUPPRESS
    group = parser.add_argument_group("access")
    group.add_argument(
        "--gateway",
        action="append",
        default=unset,
        metavar="URL",
        help="URL of a gateway",
    )
    group.add_argument("--token", default=unset, metavar="TOKEN", help="bearer token")
    group.add_argument(
        "--access",
        type=pathlib.Path,
        default=unset,
        metavar="FILE",
        help="INI file with gateways and token",
    )


def add_json(parser: argparse.ArgumentParser) -> None:
    """Add the argument that selects JSON output for programs."""
    parser.add_argument(
        "--json", action="store_true", help="print JSON instead of text"
    )


def read_input(source: str) -> bytes:
    """Return the content of a file.

    Args:
        source: Path; ``-`` for the standard input.

    Raises:
        errors.SettingsError: The file cannot be read.
    """
    if source == "-":
        return sys.stdin.buffer.read()
    try:
        return pathlib.Path(source).read_bytes()
    except OSError as error:
        fault = f"{source}: {error.strerror or error}"
        raise errors.SettingsError([fault]) from error


def print_json(value: Any) -> None:
    """Print a value as indented JSON.

    Args:
        value: Instance of a class of the schema, or built-in types.
    """
    print(msgspec.json.format(msgspec.json.encode(value)).decode())


def print_error(text: str) -> None:
    """Print an error to the standard error.

    Args:
        text: Description of the error.
    """
    print(f"amaranthspar: {text}", file=sys.stderr)


def print_faults(faults: list[str]) -> None:
    """Print faults to the standard error, one line each.

    Args:
        faults: Faults, each with its file, section and key.
    """
    for fault in faults:
        print(fault, file=sys.stderr)
