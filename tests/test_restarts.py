"""Restarts of controllers and replacement of hosts, with real processes."""

import asyncio
import json
import pathlib
import shutil

from amaranthspar import configuration
from amaranthspar.schema import messages
from tests import builders_control, builders_shell, test_stopping

CALLERS = test_stopping.CALLERS


async def wait_for_leader(roles: test_stopping.RoleProcesses, number: int) -> None:
    """Wait until a controller answers a request that needs a leader."""
    client = builders_control.Client()
    await client.links.open()
    address = f"127.0.0.1:{roles.ports[number]}"
    request = messages.ReplaceReplica(0, "", "", "", "")
    await client.ask([address], request, messages.ReplicasChanged)
    client.links.close()


def test_rolling_restart_of_controllers_fails_no_request(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario(roles: test_stopping.RoleProcesses) -> None:
        async with test_stopping.open_load(roles) as (load, _):
            for number in range(3):
                await roles.stop(f"controller-{number + 1}")
                roles.start_controller(number)
                await wait_for_leader(roles, number)
                await load.wait_answered(CALLERS)
        assert load.failures == []

    test_stopping.run(tmp_path, scenario)


def test_loss_of_all_controllers_refuses_only_unstarted_requests_and_recovers(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario(roles: test_stopping.RoleProcesses) -> None:
        async with test_stopping.open_load(roles) as (load, record):
            roles.kill(*(f"controller-{number + 1}" for number in range(3)))
            async with asyncio.timeout(builders_shell.START_TIMEOUT_S):
                while load.ready:
                    await asyncio.sleep(0.05)
            for number in range(3):
                roles.start_controller(number)
            await load.wait_answered(2 * CALLERS)
        started = [span.echo for span in record.spans]
        assert not [echo for echo in load.refused if echo in started]
        assert len(load.refused) == len(load.failures)

    test_stopping.run(tmp_path, scenario)


class Operator:
    """Runs operator commands against a gateway."""

    def __init__(self, url: str) -> None:
        self.environment = {"AMARANTHSPAR_GATEWAY": url, "AMARANTHSPAR_TOKEN": "secret"}

    def run(self, *args: str, text: str | None = None) -> str:
        result = builders_shell.run_program(*args, text=text, **self.environment)
        assert result.returncode == 0, result.stderr
        return result.stdout

    def add_team(self, team: str) -> None:
        shown = json.loads(self.run("config", "show", "--json"))
        changed = configuration.parse_text(shown["text"]).add_team(team)
        args = ("config", "submit", "-", "--base-version", str(shown["version"]))
        self.run(*args, "--change-id", team, text=str(changed))

    def list_replicas(self) -> dict[str, bool]:
        """Return whether each replica is a voter."""
        shown = json.loads(self.run("replica", "show", "--json"))
        return {item["id"]: item["voter"] for item in shown["replicas"]}


def lose_host(roles: test_stopping.RoleProcesses, number: int) -> None:
    """Kill a controller and delete its data folder."""
    roles.kill(f"controller-{number + 1}")
    shutil.rmtree(roles.folder / f"data-{number}")


def test_replaced_host_becomes_voter_and_second_loss_loses_no_change(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario(roles: test_stopping.RoleProcesses) -> None:
        roles.start_controllers()
        operator = Operator(roles.start_gateway(0))
        operator.add_team("before")
        lose_host(roles, 0)
        operator.add_team("between")
        roles.start_controller(3)
        address = f"127.0.0.1:{roles.ports[test_stopping.SPARE_PORT]}"
        args = ("--remove", "c0", "--add", "c3", "--address", address)
        operator.run("replica", "replace", *args)
        builders_shell.wait_until(lambda: operator.list_replicas().get("c3", False))
        assert operator.list_replicas() == {"c1": True, "c2": True, "c3": True}
        operator.add_team("after")
        lose_host(roles, 1)
        operator.add_team("last")
        history = json.loads(operator.run("config", "history", "--json"))
        found = [item["change_id"] for item in history]
        assert found == ["bootstrap", "before", "between", "after", "last"]

    test_stopping.run(tmp_path, scenario)
