"""Tests of the counters, their documentation and their export to StatsD."""

import re
import socket

from amaranthspar.observation import metrics
from tests import builders_shell

COUNTER_KEY = re.compile(r"counts\[\s*f?\"([^\"]+)\"\s*\]")
INITIAL_COUNTS = re.compile(r"counts(?:: [^=]+)? = \{([^}]*)\}")
ROW = re.compile(r"^\| `([^`]+)` \|", re.MULTILINE)


def find_counter_names() -> set[str]:
    names: set[str] = set()
    for path in (builders_shell.ROOT / "amaranthspar").rglob("*.py"):
        text = path.read_text()
        names.update(COUNTER_KEY.findall(text))
        for body in INITIAL_COUNTS.findall(text):
            names.update(re.findall(r"\"([^\"]+)\":", body))
    return {re.sub(r"\{(\w+)\}", lambda part: part[1].upper(), name) for name in names}


def test_table_lists_every_counter_and_no_other() -> None:
    table = (builders_shell.ROOT / "docs" / "METRICS.md").read_text()
    assert set(ROW.findall(table)) == find_counter_names()


def test_only_increases_are_sent() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sink:
        sink.bind(("127.0.0.1", 0))
        sink.settimeout(10)
        reporter = metrics.StatsdReporter("p", f"127.0.0.1:{sink.getsockname()[1]}")
        reporter.report({"tasks.started": 3, "tasks.refused": 0})
        assert sink.recv(1000) == b"amaranthspar.p.tasks.started:3|c"
        reporter.report({"tasks.started": 5})
        assert sink.recv(1000) == b"amaranthspar.p.tasks.started:2|c"
