"""Tests of processes whose controllers are all replaced while they hear none of them."""

import asyncio
import pathlib
import signal

import pytest

from amaranthspar import ports, processes
from amaranthspar.observation import metering
from amaranthspar.platform import registrations, upstreams
from amaranthspar.roles import controller, jobgateway, runsidecar, sidecar
from amaranthspar.schema import messages, options
from tests import (
    builders_contact,
    builders_control,
    builders_platform,
    builders_shell,
)

OLD_VERSION, NEW_VERSION = 7, 9
SOUGHT = {
    "gateway": "Announce",
    "sidecar": "Announce",
    "controller": "JoinReplicas",
}


class Processes:
    """Gateway and sidecar in this process, with the first and the second controller."""

    def __init__(self) -> None:
        first, second, gate, side, self.control = ports.find_addresses(5)
        self.first = builders_contact.FakeController(first, OLD_VERSION)
        self.second = builders_contact.FakeController(second, NEW_VERSION)
        self.upstream = builders_platform.FakeUpstream()
        self.gateway = jobgateway.JobGateway(
            processes.ProcessSettings("gate", gate, [first]), metering.Meters()
        )
        self.sidecar = runsidecar.RunSidecar(
            processes.ProcessSettings("side", side, [first]),
            "quotes",
            "east",
            upstreams.Upstream(self.upstream.address, 1_000),
            metering.Meters(),
        )

    async def open(self) -> None:
        await self.upstream.open()
        await self.first.open()
        await self.gateway.start()
        await self.sidecar.start()
        registration = registrations.Registrations(self.sidecar, "quotes")
        await registration._register("i-1", builders_platform.build_heartbeat())
        await builders_contact.wait_until(
            lambda: self.gateway.is_ready and self.gateway.version == OLD_VERSION
        )

    async def replace_controllers(self, ignored: str) -> None:
        """Replace the first controller while one process gets no answer from it."""
        self.first.ignored.add(ignored)
        await asyncio.sleep(0.5)
        await self.second.open()
        self.first.listed = [self.second.address]
        self.first.revision += 1
        self.second.revision = self.first.revision
        heard = ("Announce", {"gate": "side", "side": "gate"}[ignored])
        await builders_contact.wait_until(lambda: heard in self.second.received)
        self.first.close()

    async def close(self) -> None:
        self.gateway.close()
        await self.sidecar.close()
        self.first.close()
        self.second.close()
        await self.upstream.close()


def run_scenario(scenario) -> None:
    async def run() -> None:
        system = Processes()
        await system.open()
        try:
            await scenario(system)
        finally:
            await system.close()

    asyncio.run(run())


def test_gateway_that_was_cut_off_while_all_controllers_changed_gets_the_new_document():
    async def scenario(system) -> None:
        await system.replace_controllers("gate")
        await builders_contact.wait_until(lambda: system.gateway.version == NEW_VERSION)

    run_scenario(scenario)


def test_sidecar_that_was_cut_off_while_all_controllers_changed_finds_the_new_ones():
    async def scenario(system) -> None:
        await system.replace_controllers("side")
        await builders_contact.wait_until(
            lambda: ("Announce", "side") in system.second.received
        )

    run_scenario(scenario)


@pytest.mark.parametrize("has_uncommitted_set", [False, True])
def test_controller_that_knows_no_other_asks_to_join_the_ones_that_a_gateway_knows(
    tmp_path: pathlib.Path, has_uncommitted_set: bool
):
    """A leader that was cut off may have changed the set without a majority."""
    own, lost, current, gate = ports.find_addresses(4)

    async def run() -> None:
        found = builders_contact.FakeController(current)
        cut_off = controller.Controller(
            options.ProcessOptions("core", own, [lost], "east"),
            options.LinkOptions(),
            options.ControllerOptions("c9", [], str(tmp_path), join=[lost]),
        )
        gateway = jobgateway.JobGateway(
            processes.ProcessSettings("gate", gate, [own, current]), metering.Meters()
        )
        await found.open()
        await cut_off.start()
        if has_uncommitted_set:
            last_index = found.revision + 1
            cut_off.machine.journal.append(
                [
                    builders_contact.build_set_entry(index, lost)
                    for index in range(1, last_index + 1)
                ]
            )
        await gateway.start()
        try:
            await builders_contact.wait_until(
                lambda: ("JoinReplicas", "core") in found.received
            )
        finally:
            gateway.close()
            cut_off.abort()
            found.close()

    asyncio.run(run())


@pytest.mark.parametrize("has_signal", [False, True])
@pytest.mark.parametrize("role", sorted(SOUGHT))
def test_process_finds_the_controllers_of_its_changed_settings(
    tmp_path: pathlib.Path, role: str, has_signal: bool
):
    # Each role listens for links at one of the ports that follow the first.
    port = ports.find_ports(4)[0]
    path = tmp_path / builders_contact.SETTINGS_NAME
    first, second = (
        builders_contact.build_platform_settings(role, seed, port, tmp_path / "data")
        for seed in (builders_contact.FIRST_IP, builders_contact.SECOND_IP)
    )
    path.write_text(first)

    async def run() -> None:
        found = builders_contact.FakeController(f"{builders_contact.SECOND_IP}:{port}")
        await found.open()
        process = builders_shell.start_program(
            "platform", role, AMARANTHSPAR_SETTINGS=str(path)
        )
        try:
            await builders_contact.wait_until(
                lambda: "process started" in builders_shell.read_output(process)
            )
            await asyncio.sleep(1)
            path.write_text(second)
            if has_signal:
                process.send_signal(signal.SIGHUP)
            await builders_contact.wait_until(
                lambda: (SOUGHT[role], role) in found.received
            )
        finally:
            process.kill()
            process.wait()
            found.close()

    asyncio.run(run())


@pytest.mark.parametrize("has_signal", [False, True])
@pytest.mark.parametrize("role", ["gateway", "sidecar"])
def test_member_finds_the_controllers_of_its_changed_settings_file(
    tmp_path: pathlib.Path, role: str, has_signal: bool
):
    lost, added, listen, http = ports.find_addresses(4)
    path = tmp_path / "process.ini"
    path.write_text(builders_contact.build_settings(role, listen, lost, http))

    async def run() -> None:
        found = builders_contact.FakeController(added)
        await found.open()
        process = builders_shell.start_program(role, "--settings", str(path))
        try:
            await builders_contact.wait_until(
                lambda: "started" in builders_shell.read_output(process)
            )
            text = builders_contact.build_settings(role, listen, added, http)
            path.write_text(text)
            if has_signal:
                process.send_signal(signal.SIGHUP)
            await builders_contact.wait_until(
                lambda: ("RenewLease", role) in found.received
            )
        finally:
            process.kill()
            process.wait()
            found.close()

    asyncio.run(run())


def test_member_keeps_its_lease_while_all_controllers_are_replaced_in_turn(tmp_path):
    async def run() -> None:
        cluster = builders_control.Cluster(tmp_path)
        client = builders_control.Client()
        await client.links.open()
        await cluster.start(*cluster.first)
        await cluster.find_leader()
        listen, http = ports.find_addresses(2)
        member = sidecar.Sidecar(
            options.ProcessOptions("s1", listen, cluster.targets, "gyor"),
            options.LinkOptions(),
            options.SidecarOptions(http, "w1", "r1", ["lookup"]),
        )
        await member.start()
        try:
            for removed, added in zip(cluster.first, ("d", "e", "f"), strict=True):
                cluster.addresses[added] = builders_control.find_address()
                await cluster.start(added)
                await replace(cluster, client, removed, added)
                await wait_for_renewal(member.holder)
            await wait_for_renewal(member.holder)
        finally:
            await member.close()
            cluster.close()
            client.links.close()

    asyncio.run(run())


async def wait_for_renewal(holder) -> None:
    """Wait until a lease is granted, as it is about every second."""
    renewed_ms = holder._expires_ms
    await builders_contact.wait_until(lambda: holder._expires_ms > renewed_ms)


async def replace(cluster, client, removed: str, added: str) -> None:
    """Replace one controller by another, and end it once that one votes."""
    targets = [cluster.addresses[name] for name in cluster.running]
    change = builders_contact.build_replacement(
        removed, added, cluster.addresses[added]
    )
    answer = await client.ask(targets, change, messages.ReplicasChanged)
    assert answer.outcome == "accepted", answer.reason
    newcomer = cluster.running[added]
    await builders_contact.wait_until(
        lambda: any(
            item.id == added and item.voter
            for item in newcomer.machine.journal.members.replicas
        )
    )
    cluster.kill(removed)
    await cluster.find_leader()
