"""Tests of the modules that a process of the platform imports at startup.

Imports that a role does not use delay its restart and so prolong an outage.
"""

import json
import subprocess
import sys

import pytest

PROGRAM = """
import importlib, json, sys
import amaranthspar.program, amaranthspar.commands.platform, amaranthspar.platform.program
importlib.import_module("amaranthspar.platform.ROLE")
print(json.dumps(sorted(sys.modules)))
"""
UNUSED = {
    # Importing these took a third as long as importing the package's own modules.
    "gateway": {"prometheus_client", "amaranthspar.schema.messages"},
    "sidecar": {"prometheus_client", "amaranthspar.schema.messages"},
    "controller": {"prometheus_client"},
}


@pytest.mark.parametrize("role", sorted(UNUSED))
def test_role_does_not_import_unused_modules(role):
    code = PROGRAM.replace("ROLE", role)
    found = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True
    )

    assert not UNUSED[role] & set(json.loads(found.stdout))
