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
    parser = build_parser()
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file)
    except OSError as error:
        fault = f"{path}: {error.strerror or error}"
        raise errors.SettingsError([fault]) from error
    except (UnicodeDecodeError, configparser.Error) as error:
        line = " ".join(str(error).split())
        raise errors.SettingsError([f"{path}: {line}"]) from error
    return parser
