"""Writes the requirements files with the versions of the installed packages.

Run it as ``python -m tools.pin`` after installing ``requirements-dev.in``.
``requirements.txt`` pins the dependencies of the program, ``requirements-dev.txt``
those of the program and of its development.
"""

import importlib.metadata
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
NAME = re.compile(r"[A-Za-z0-9._-]+")


def read_names(path: pathlib.Path) -> list[str]:
    """Return the package names in a requirements file, without its option lines.

    Args:
        path: File with one requirement per line.
    """
    lines = path.read_text().splitlines()
    matches = [NAME.match(line) for line in lines if not line.startswith("-")]
    return [match.group() for match in matches if match]


def collect_pins(names: list[str]) -> dict[str, str]:
    """Return the installed versions of packages and of their dependencies.

    Packages that are not installed are skipped, and so are the dependencies of extras.

    Args:
        names: Names of packages.

    Returns:
        Version by normalized package name.
    """
    pins: dict[str, str] = {}
    pending = list(names)
    while pending:
        name = pending.pop()
        try:
            distribution = importlib.metadata.distribution(name)
        except importlib.metadata.PackageNotFoundError:
            continue
        key = re.sub(r"[-_.]+", "-", distribution.name).lower()
        if key in pins:
            continue
        pins[key] = distribution.version
        for requirement in distribution.requires or []:
            match = NAME.match(requirement)
            if match and "extra ==" not in requirement:
                pending.append(match.group())
    return pins


def write_pins(path: pathlib.Path, pins: dict[str, str]) -> None:
    """Write a requirements file.

    Args:
        path: File to write.
        pins: Version by package name.
    """
    lines = [f"{name}=={version}\n" for name, version in sorted(pins.items())]
    path.write_text("".join(lines))


def main() -> int:
    """Write ``requirements.txt`` and ``requirements-dev.txt``.

    Returns:
        0.
    """
    runtime = read_names(ROOT / "requirements.in")
    development = read_names(ROOT / "requirements-dev.in")
    write_pins(ROOT / "requirements.txt", collect_pins(runtime))
    write_pins(ROOT / "requirements-dev.txt", collect_pins(runtime + development))
    return 0


if __name__ == "__main__":
    sys.exit(main())
