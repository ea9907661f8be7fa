"""Tests of the sidecar process: graceful stops and unresponsive connections."""

import asyncio
import pathlib
import signal

import attrs
import psutil
import uvloop

from amaranthspar import exits
from amaranthspar.clients import client
from amaranthspar.execution import executor
from amaranthspar.network import links
from amaranthspar.roles import cluster
from amaranthspar.schema import messages
from benchmarks import sidecar as site
from tests import builders_links, test_cluster

HOLDS = 120
SLEEP_MS = 200
TIMEOUT_S = 30
TASK = messages.TaskStart(0, b"{}")


def send_hold(caller: client.Client, number: int):
    body = test_cluster.encode({"sleep_ms": SLEEP_MS, "echo": number})
    key = {"Idempotency-Key": f"hold-{number}"}
    return asyncio.ensure_future(caller.send_request("hold", body, key))


def test_stop_under_load_answers_every_request(tmp_path: pathlib.Path) -> None:
    async def scenario(running: cluster.Cluster, caller: client.Client) -> None:
        asked = [send_hold(caller, number) for number in range(HOLDS)]
        stopping = running.sidecars[:3]
        while all(item.executor.is_idle for item in stopping):
            await asyncio.sleep(0.005)
        await asyncio.gather(*(item.stop() for item in stopping))
        replies = await asyncio.gather(*asked)
        assert {item.status for item in replies} == {200}
        running.sidecars = running.sidecars[3:]

    running = test_cluster.run_scenario(tmp_path, scenario)
    assert running.record.started == HOLDS
    assert not running.record.list_duplicates()


def test_second_stop_of_stopped_sidecar_returns(tmp_path: pathlib.Path) -> None:
    async def scenario(running: cluster.Cluster, caller: client.Client) -> None:
        item = running.sidecars[0]
        assert {reply.status for reply in [await send_hold(caller, 1)]} == {200}
        await item.stop()
        own = item.holder.member
        late = messages.StartTasks(
            1, own.incarnation, 1, "late", "hold", "json", 4000, 0, 0, 1, 0, [TASK]
        )
        received = executor.Received("late", 1, own.address, late)
        item.executor.handle(received, item._clock.read_monotonic())
        assert not item.executor.is_idle
        async with asyncio.timeout(TIMEOUT_S):
            await item.stop()

    test_cluster.run_scenario(tmp_path, scenario)


async def relay_role(role, relays) -> None:
    """Start a relay in front of a role and announce the relay's address to its peers."""
    relay = builders_links.Relay(role.holder.member.address)
    await relay.open()
    relays.append(relay)
    member = attrs.evolve(role.holder.member, address=relay.address)
    role._links.address = relay.address
    role._carry_out(role.holder.update_member(member, role.holder._next_renewal_ms))


def test_unresponsive_links_neither_lose_nor_duplicate_tasks(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario(running: cluster.Cluster, caller: client.Client) -> None:
        relays: list[builders_links.Relay] = []
        for role in (*running.gateways, *running.sidecars):
            await relay_role(role, relays)
        addresses = {relay.address for relay in relays}
        while not all(
            {route.member.address for route in item.dispatcher.routes.values()}
            <= addresses
            for item in running.gateways
        ):
            await asyncio.sleep(0.05)
        for role in (*running.gateways, *running.sidecars):
            for address in set(role._links._peers) - addresses:
                role._links.disconnect(address)
        asked = [send_hold(caller, number) for number in range(HOLDS)]
        await asyncio.sleep(SLEEP_MS / 2000)
        for relay in relays:
            relay.stop_forwarding()
        replies = await asyncio.gather(*asked)
        failed = [item.body for item in replies if item.status != 200]
        assert not failed
        redialled = [
            item._links.counts["links.redialled"]
            for item in (*running.gateways, *running.sidecars)
        ]
        assert sum(redialled) > 0
        for relay in relays:
            relay.close()

    running = test_cluster.run_scenario(tmp_path, scenario)
    assert running.record.started == HOLDS
    assert not running.record.list_duplicates()


def test_second_signal_does_not_shorten_graceful_stop(monkeypatch) -> None:
    monkeypatch.setattr(site, "RUN_MS", 1500)

    async def run() -> tuple[int, int]:
        async with site.open_site(1) as place:
            gateway = place.gateways[0]
            while not any(
                item.credit_limit for item in gateway.dispatcher.routes.values()
            ):
                await asyncio.sleep(0.05)
            for _ in range(site.SLOTS):
                gateway.submit()
            await asyncio.sleep(0.3)
            place.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.2)
            place.process.send_signal(signal.SIGTERM)
            code = await asyncio.to_thread(place.process.wait, 30)
            return gateway.ended, code

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(run()) == (site.SLOTS, 0)


@attrs.define
class NewerIncarnation:
    """Renews the lease of a process as a newer incarnation, which supersedes it."""

    link: links.Links
    control: str

    async def supersede(self, member: messages.Member, process: psutil.Process) -> int:
        """Supersede a process and return its exit code."""
        newer = attrs.evolve(member, incarnation=member.incarnation + 1_000_000)
        renewal = messages.RenewLease(newer, 1, 0, 0)
        async with asyncio.timeout(TIMEOUT_S):
            while process.is_running() and process.status() != psutil.STATUS_ZOMBIE:
                self.link.send(self.control, renewal)
                await asyncio.sleep(0.2)
        return process.wait()


def test_superseded_process_exits_with_error() -> None:
    async def run() -> int:
        async with site.open_site(1) as place:
            gateway = place.gateways[0]
            while not any(
                item.credit_limit for item in gateway.dispatcher.routes.values()
            ):
                await asyncio.sleep(0.05)
            member = next(iter(gateway.dispatcher.routes.values())).member
            newer = NewerIncarnation(
                gateway.links, gateway.holder.controllers.list_known()[0]
            )
            return await newer.supersede(member, place.process)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(run()) == exits.REFUSED
