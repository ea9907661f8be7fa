"""Bundles the program and its pinned dependencies into one executable zipapp.

Run it as ``python -m tools.bundle``. It copies the dependencies from the environment
that it runs in, so it needs no package index. The zipapp needs Python 3.11 and runs
each subcommand in its own process.
"""

import argparse
import importlib.metadata
import pathlib
import shutil
import subprocess
import sys

from tools import pin

ENTRY_POINT = "amaranthspar.program:main"
PACKAGE = "amaranthspar"
INTERPRETER = "/usr/bin/env python3"


def copy_distribution(name: str, folder: pathlib.Path) -> None:
    """Copy the files of an installed distribution.

    Args:
        name: Name of the distribution.
        folder: Folder to copy the files to.
    """
    for file in importlib.metadata.files(name) or []:
        source = pathlib.Path(str(file.locate()))
        if ".." in file.parts or "__pycache__" in file.parts or not source.is_file():
            continue
        target = folder / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(source, target)


def build_zipapp(target: pathlib.Path) -> None:
    """Build the zipapp.

    Args:
        target: Path of the zipapp to write.

    Raises:
        subprocess.CalledProcessError: shiv failed.
        importlib.metadata.PackageNotFoundError: A dependency is not installed.
    """
    build = target.parent / "site"
    shutil.rmtree(build, ignore_errors=True)
    build.mkdir(parents=True)
    for name in pin.read_names(pin.ROOT / "requirements.txt"):
        copy_distribution(name, build)
    ignored = shutil.ignore_patterns("__pycache__")
    shutil.copytree(pin.ROOT / PACKAGE, build / PACKAGE, ignore=ignored)
    command = [sys.executable, "-m", "shiv.cli", "--site-packages", str(build)]
    command += ["--entry-point", ENTRY_POINT, "--python", INTERPRETER]
    command += ["--reproducible", "--compressed", "--output-file", str(target)]
    subprocess.run(command, check=True)
    shutil.rmtree(build)


def main() -> int:
    """Build the zipapp, by default ``dist/amaranthspar``, and print its size.

    Returns:
        0.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    default = pin.ROOT / "dist" / PACKAGE
    parser.add_argument("target", nargs="?", type=pathlib.Path, default=default)
    target = parser.parse_args().target
    build_zipapp(target)
    print(f"{target}: {target.stat().st_size / 2**20:.1f} MB")
    return 0


if __name__ == "__main__":
    sys.exit(main())
