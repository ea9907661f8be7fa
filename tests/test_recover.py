"""Tests of the command that recovers the quorum after the majority is lost."""

import asyncio
import json
import pathlib

import pytest
import uvloop

from amaranthspar import exits, ports, program
from amaranthspar.roles import cluster

SETTINGS = """\
[process]
name = controller-1
listen = 127.0.0.1:1
controllers = 127.0.0.1:1
failure_domain = gyor

[controller]
replica = c1
replicas = c1=127.0.0.1:1, c2=127.0.0.1:2, c3=127.0.0.1:3
data = {folder}
"""


@pytest.fixture
def settings(tmp_path: pathlib.Path) -> str:
    """Return the settings file of a controller of a stopped cluster."""

    async def run() -> None:
        running = cluster.Cluster(tmp_path, "secret", ports.find_ports(1))
        await running.start()
        await running.stop()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())
    path = tmp_path / "controller.ini"
    path.write_text(SETTINGS.format(folder=tmp_path / "controller-1"))
    return str(path)


def test_recovery_requires_printed_confirmation_and_operator(settings, capsys) -> None:
    command = ["recover", "--settings", settings]
    assert program.main([*command, "--json"]) == exits.DONE
    assessment = json.loads(capsys.readouterr().out)
    assert assessment["lost"] == ["c2", "c3"]
    unconfirmed = [*command, "--operator", "anna", "--confirm", "yes"]
    assert program.main(unconfirmed) == exits.REFUSED
    confirmed = [*command, "--confirm", assessment["confirmation"]]
    assert program.main(confirmed) == exits.BAD_INPUT
    assert program.main([*confirmed, "--operator", "anna"]) == exits.DONE
    assert program.main([*confirmed, "--operator", "anna"]) == exits.REFUSED
    assert "only voter" in capsys.readouterr().err
