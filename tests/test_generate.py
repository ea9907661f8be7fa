"""Test that the committed schema modules match the schema files."""

import importlib.util

import pytest

from tools import generate


@pytest.mark.skipif(
    importlib.util.find_spec("datamodel_code_generator") is None,
    reason="the generator is not installed",
)
@pytest.mark.parametrize("name", generate.MODULES)
def test_committed_module_matches_schema_file(name: str) -> None:
    path = generate.ROOT / "amaranthspar" / "schema" / f"{name}.py"
    assert generate.generate_module(name) == path.read_text()
