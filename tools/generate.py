"""Generates the Python modules of the schema layer from the schema files.

Run it as ``python -m tools.generate``. With ``--check`` it writes nothing, and the exit
code is 1 if a committed module is out of date.
"""

import argparse
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
MODULES = (
    "entries",
    "explanations",
    "linkmessages",
    "messages",
    "options",
    "runmessages",
    "viewmessages",
)
IMPORTS = "attrs,msgspec,typing.Annotated"


def generate_module(name: str) -> str:
    """Generate the source of one schema module.

    Args:
        name: Module name, as in ``messages``.

    Returns:
        Formatted Python source.

    Raises:
        subprocess.CalledProcessError: The generator or the formatter failed.
    """
    with tempfile.TemporaryDirectory() as folder:
        target = pathlib.Path(folder) / f"{name}.py"
        command = [sys.executable, "-W", "ignore", "-m", "datamodel_code_generator"]
        command += ["--input", str(ROOT / "schema" / f"{name}.yaml")]
        command += ["--input-file-type", "jsonschema", "--output", str(target)]
        command += ["--output-model-type", "dataclasses.dataclass"]
        command += ["--custom-template-dir", str(ROOT / "tools" / "templates")]
        command += ["--use-standard-collections", "--use-union-operator"]
        command += ["--target-python-version", "3.11", "--use-schema-description"]
        command += ["--disable-timestamp", "--additional-imports", IMPORTS]
        command += ["--enum-field-as-literal", "all"]
        command += ["--formatters", "builtin", "--field-constraints"]
        command += ["--field-extra-keys", "expected"]
        subprocess.run(command, check=True)
        body = target.read_text().partition("from __future__")[2]
        summary = f'"""Classes of the schema file ``schema/{name}.yaml``; generated."""'
        target.write_text(f"{summary}\n\nfrom __future__{body}")
        ruff = [sys.executable, "-m", "ruff"]
        settings = ["--config", str(ROOT / "pyproject.toml"), str(target)]
        unused = "F401,I001"
        fix = [*ruff, "check", "--quiet", "--select", unused, "--fix", *settings]
        subprocess.run(fix, check=True)
        subprocess.run([*ruff, "format", "--quiet", *settings], check=True)
        return target.read_text()


def main() -> int:
    """Generate every module, and write it or compare it with the committed one.

    Returns:
        1 if ``--check`` found a stale module, 0 otherwise.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--check", action="store_true", help="only compare with the committed modules"
    )
    arguments = parser.parse_args()
    stale = []
    for name in MODULES:
        path = ROOT / "amaranthspar" / "schema" / f"{name}.py"
        text = generate_module(name)
        if arguments.check:
            if path.read_text() != text:
                stale.append(name)
            continue
        path.write_text(text)
    for name in stale:
        print(f"amaranthspar/schema/{name}.py is out of date: run make generate")
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main())
