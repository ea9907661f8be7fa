"""Tests of links of controllers: over TLS, and blocked without being closed."""

import asyncio
import random

import pytest
import uvloop

from amaranthspar.membership import leaseholder
from amaranthspar.roles import sidecar
from amaranthspar.schema import messages, options
from tests import builders_control, builders_links

FAULTS = ("authority", "expired", "plain", "name")
NO_ANSWER_WAIT_S = 0.8


def run(scenario, tmp_path, prepare, **changes):
    """Run a scenario with a cluster that is prepared before it starts."""

    async def main():
        cluster = builders_control.Cluster(tmp_path, **changes)
        try:
            await prepare(cluster)
            await cluster.start()
            await cluster.find_leader()
            await scenario(cluster)
        finally:
            cluster.close()
            for relay in cluster.relays.values():
                relay.close()

    uvloop.run(main())


class Certificates:
    """Link settings signed by a trusted or an untrusted certificate authority."""

    def __init__(self, folder) -> None:
        self.authority = builders_links.Authority(folder, "ca")
        self.untrusted = builders_links.Authority(folder, "untrusted")

    async def prepare(self, cluster) -> None:
        for name in cluster.addresses:
            cluster.sections[name] = self.authority.build_section(name)

    def build_invalid_section(self, name: str, fault: str) -> options.LinkOptions:
        """Return settings that make other processes reject this one."""
        match fault:
            case "authority":
                return self.untrusted.build_section(name, self.authority)
            case "expired":
                return self.authority.build_section(name, days=-1)
            case "plain":
                return options.LinkOptions(40)
        return self.authority.build_section("other")


async def wait_until(condition) -> None:
    async with asyncio.timeout(builders_control.WAIT_S):
        while not condition():
            await asyncio.sleep(0.01)


def build_proposal(change_id: str, base: int) -> messages.ProposeConfiguration:
    return messages.ProposeConfiguration(change_id, base, "ops", builders_control.TEXT)


async def accept_change(cluster, client, change_id, base, targets=None) -> None:
    proposal = build_proposal(change_id, base)
    outcome = "unavailable"
    while outcome == "unavailable":
        kind = messages.ConfigurationDecided
        decided = await client.ask(targets or cluster.targets, proposal, kind)
        outcome = decided.outcome
    assert (outcome, decided.version) == ("accepted", base + 1)


def test_controllers_elect_and_commit_over_tls(tmp_path):
    certificates = Certificates(tmp_path)

    async def scenario(cluster):
        section = certificates.authority.build_section("client")
        client = builders_control.Client(section=section)
        await client.links.open()
        await accept_change(cluster, client, "c1", 1)
        cluster.kill(await cluster.find_leader())
        await cluster.find_leader()
        targets = [cluster.addresses[name] for name in cluster.running]
        await accept_change(cluster, client, "c2", 2, targets)
        renewal = client.build_renewal()
        granted = await client.ask(targets, renewal, messages.LeaseGranted)
        assert granted.configuration.version == 3
        client.links.close()

    run(scenario, tmp_path, certificates.prepare)


@pytest.mark.parametrize("fault", FAULTS)
def test_controller_with_invalid_certificate_is_excluded(tmp_path, fault):
    certificates = Certificates(tmp_path)

    async def scenario(cluster):
        section = certificates.authority.build_section("client")
        client = builders_control.Client(section=section)
        await client.links.open()
        leader = await cluster.find_leader()
        invalid, lost = [name for name in cluster.running if name != leader]
        cluster.kill(invalid)
        cluster.kill(lost)
        good = cluster.sections[invalid]
        cluster.sections[invalid] = certificates.build_invalid_section(invalid, fault)
        await cluster.start(invalid)
        proposal = build_proposal("c1", 1)
        for target in cluster.targets:
            client.send(target, proposal)
        decided = await client.wait(messages.ConfigurationDecided, NO_ANSWER_WAIT_S)
        assert decided is None or decided.outcome == "unavailable"
        assert max(item.state.version for item in cluster.running.values()) == 1
        assert not cluster.running[invalid].leading
        cluster.kill(invalid)
        cluster.sections[invalid] = good
        await cluster.start(invalid)
        await accept_change(cluster, client, "c1", 1)
        await wait_until(lambda: cluster.running[invalid].state.version == 2)
        client.links.close()

    run(scenario, tmp_path, certificates.prepare)


async def start_sidecar(cluster, name: str, section) -> sidecar.Sidecar:
    process = options.ProcessOptions(
        name, builders_control.find_address(), cluster.targets, "gyor"
    )
    upstream = options.SidecarOptions(
        builders_control.find_address(), f"worker-{name}", "rack-1", ["lookup"]
    )
    role = sidecar.Sidecar(process, section, upstream)
    await role.start()
    return role


@pytest.mark.parametrize("fault", FAULTS)
def test_only_sidecar_with_valid_certificate_gets_lease(tmp_path, fault):
    certificates = Certificates(tmp_path)

    async def scenario(cluster):
        invalid = certificates.build_invalid_section("bad", fault)
        bad = await start_sidecar(cluster, "bad", invalid)
        section = certificates.authority.build_section("good")
        good = await start_sidecar(cluster, "good", section)
        states = [item.state for item in cluster.running.values()]
        await wait_until(lambda: all("good" in state.members for state in states))
        await wait_until(lambda: good.holder.view.configuration_version == 1)
        assert not any("bad" in state.members for state in states)
        assert bad.holder.view.configuration_version == 0
        await asyncio.gather(bad.stop(), good.stop())

    run(scenario, tmp_path, certificates.prepare)


class Holder:
    """Holder of a lease whose links run through relays in both directions."""

    def __init__(self, cluster) -> None:
        self.client = builders_control.Client("holder")
        self.expirations = 0
        self._cluster = cluster
        self._relay = builders_links.Relay(self.client.address)

    async def open(self) -> None:
        await self.client.links.open()
        await self._relay.open()
        self.client.links.address = self._relay.address
        member = builders_control.build_member("s1", address=self._relay.address)
        now_ms = self.client.clock.read_monotonic()
        self.machine = leaseholder.LeaseHolder(
            member, self._cluster.targets, now_ms, random.Random(1)
        )
        self.client.links._receive = self._receive
        self._running = asyncio.create_task(self._run())
        await wait_until(self.is_valid)

    def close(self) -> None:
        self._running.cancel()
        self.client.links.close()
        self._relay.close()

    def stop_forwarding(self) -> None:
        self._relay.stop_forwarding()

    def is_valid(self) -> bool:
        return self.machine.is_valid(self.client.clock.read_monotonic())

    async def _run(self) -> None:
        while True:
            held = self.is_valid()
            self._send(self.machine.tick(self.client.clock.read_monotonic()))
            await asyncio.sleep(0.01)
            self.expirations += held and not self.is_valid()

    def _receive(self, frame) -> None:
        for message in frame.messages:
            now_ms = self.client.clock.read_monotonic()
            self._send(self.machine.handle(message, now_ms))

    def _send(self, found) -> None:
        for effect in found:
            if hasattr(effect, "peer"):
                self.client.send(effect.peer, effect.message)


async def prepare_relays(cluster) -> None:
    await cluster.open_relays()


def count_redials(cluster) -> int:
    counts = [item._links.counts for item in cluster.running.values()]
    return sum(item["links.redialled"] for item in counts)


@pytest.mark.parametrize("blocked", ["leader", "follower", "all", "both ways"])
def test_unresponsive_links_are_redialled_and_no_lease_expires(tmp_path, blocked):
    async def scenario(cluster):
        holder = Holder(cluster)
        await holder.open()
        leader = await cluster.find_leader()
        term = cluster.running[leader].machine.term
        before = count_redials(cluster)
        for name, relay in cluster.relays.items():
            if blocked in ("all", "both ways") or (name == leader) == (
                blocked == "leader"
            ):
                relay.stop_forwarding()
        await wait_until(lambda: count_redials(cluster) > before)
        client = builders_control.Client()
        await client.links.open()
        await accept_change(cluster, client, "c1", 1)
        states = [item.state for item in cluster.running.values()]
        await wait_until(lambda: all(state.version == 2 for state in states))
        await wait_until(lambda: holder.machine.view.configuration_version == 2)
        assert holder.expirations == 0
        if blocked == "leader":
            assert cluster.running[leader].machine.term == term
        client.links.close()
        holder.close()

    run(scenario, tmp_path, prepare_relays, election_ms=600, heartbeat_ms=100)
