"""INI parsers without interpolation and default section."""

import configparser
import pathlib

from amaranthspar import errors

# Disables the default section, whose keys configparser adds to all other sections.
_NO_DEFAULT_SECTION = "\0"


def build_parser() -> configparser.ConfigParser:
    """Return a parser without interpolation and without a default section."""
    return configparser.ConfigParser(
        interpolation=None, default_section=_NO_DEFAULT_SECTION
    )


def load_file(path: pathlib.Path) -> configparser.ConfigParser:
    """Parse an INI file.

    Args:
        path: File to read.

    Raises:
        errors.SettingsError: The file cannot be read or is not valid INI text.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        fault = f"{path}: {error.strerror or error}"
        raise errors.SettingsError([fault]) from error
    except UnicodeDecodeError as error:
        raise _build_error(str(path), error) from error
    return parse_text(text, str(path))


def parse_text(text: str, source: str) -> configparser.ConfigParser:
    """Parse INI text.

    Args:
        text: INI text.
        source: File name, which begins each fault.

    Raises:
        errors.SettingsError: The text is not valid INI text.
    """
    parser = build_parser()
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        raise _build_error(source, error) from error
    return parser


def _build_error(source: str, error: Exception) -> errors.SettingsError:
    line = " ".join(str(error).split())
    return errors.SettingsError([f"{source}: {line}"])
