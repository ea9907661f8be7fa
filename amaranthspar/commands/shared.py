"""What all commands share: parsers, input and output."""

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
    """Add a word of the command line.

    Args:
        subparsers: Where it belongs.
        name: The word.
        summary: What it does, in one sentence.
        epilog: Text after the list of arguments.
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
    """Add the arguments that give access; they stand before or after a command.

    Args:
        parser: Parser of the program or of a command.
    """
    # Without a default a command leaves what stands before it as it is.
    kept = argparse.SUPPRESS
    group = parser.add_argument_group("access")
    group.add_argument(
        "--gateway", action="append", default=kept, metavar="URL", help="gateway"
    )
    group.add_argument("--token", default=kept, metavar="TOKEN", help="bearer token")
    group.add_argument(
        "--access",
        type=pathlib.Path,
        default=kept,
        metavar="FILE",
        help="INI file with both",
    )


def add_json(parser: argparse.ArgumentParser) -> None:
    """Let a command print JSON for programs."""
    parser.add_argument("--json", action="store_true", help="print JSON")


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
        value: Instance of a class of the schema, or plain data.
    """
    print(msgspec.json.format(msgspec.json.encode(value)).decode())


def print_error(text: str) -> None:
    """Print a line to the standard error.

    Args:
        text: What went wrong.
    """
    print(f"amaranthspar: {text}", file=sys.stderr)


def print_faults(faults: list[str]) -> None:
    """Print faults to the standard error, one line each.

    Args:
        faults: Faults that name file, section and key.
    """
    for fault in faults:
        print(fault, file=sys.stderr)
